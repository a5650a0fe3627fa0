//! The core's table of workers: which of a worker's transports is used as its endpoint changes, and which idle
//! connections are closed when there are too many.
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wrenseam::core::tables::WorkerTable;
use wrenseam::discovery::membership::ConnectionAction;
use wrenseam::model::{AttemptKey, Endpoint, Request, TransportProtocol};
use wrenseam::worker::pool::PoolLimit;
use wrenseam::worker::{AttemptLimits, CancelOutcome, ConnectionUsage, Transport};
use wrenseam_policy::{FunctionId, WorkerState};

const KEY: AttemptKey = AttemptKey {
    request: 1,
    attempt: 0,
};

/// The calls that the transports received, each as the text "TRANSPORT CALL".
#[derive(Clone, Default)]
struct Calls(Arc<Mutex<Vec<String>>>);

impl Calls {
    fn add(&self, transport: &str, call: &str) {
        let mut calls = self.0.lock().expect("not poisoned");
        calls.push(format!("{transport} {call}"));
    }

    fn take(&self) -> Vec<String> {
        std::mem::take(&mut *self.0.lock().expect("not poisoned"))
    }
}

/// A transport that records its calls and returns fixed results.
struct FakeTransport {
    name: &'static str,
    calls: Calls,
    cancel_result: CancelOutcome,
    connections: usize,
    idle_since: Option<Instant>,
}

impl FakeTransport {
    /// A transport without connections and open attempts.
    fn new(name: &'static str, calls: &Calls) -> Self {
        FakeTransport {
            name,
            calls: calls.clone(),
            cancel_result: CancelOutcome::Unknown,
            connections: 0,
            idle_since: None,
        }
    }

    fn record(&self, call: &str) {
        self.calls.add(self.name, call);
    }
}

impl Transport for FakeTransport {
    fn send(&mut self, _key: AttemptKey, _request: &Arc<Request>, _limits: AttemptLimits) {
        self.record("send");
    }

    fn cancel(&mut self, _key: AttemptKey) -> CancelOutcome {
        self.cancel_result
    }

    fn abandon_order(&mut self, order: u64) {
        self.record(&format!("abandons order {order}"));
    }

    fn is_idle(&self) -> bool {
        self.connections == 0
    }

    fn order(
        &mut self,
        _order: u64,
        _function: FunctionId,
        _replicas: u32,
        _start_deadline: Option<Instant>,
    ) {
        self.record("order");
    }

    fn check_health(&mut self, check: u64) {
        self.record(&format!("check {check}"));
    }

    fn abandon_health_check(&mut self, check: u64) {
        self.record(&format!("abandons check {check}"));
    }

    fn unload(&mut self, _function: FunctionId) {
        self.record("unload");
    }

    fn drain(&mut self) {
        self.record("drains");
    }

    fn check_keepalive(&mut self) {
        self.record("liveness");
    }

    fn sweep(&mut self) {
        self.record("sweep");
    }

    fn connections(&self) -> ConnectionUsage {
        ConnectionUsage {
            open: self.connections,
            next_attempt_opens: true,
        }
    }

    fn idle_since(&self) -> Option<Instant> {
        self.idle_since
    }

    fn close_idle(&mut self) {
        self.record("closes the connection idle longest");
        self.connections -= 1;
        self.idle_since = None;
    }
}

fn endpoint(id: &str, state: WorkerState) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: "127.0.0.1:8443".parse().expect("an address"),
        state,
        started_at: 0,
        zone: String::new(),
        kind: String::new(),
        cell: None,
        protocol: TransportProtocol::Frames,
    }
}

/// Adds a worker, or moves it to another address, with this transport.
fn connect(table: &mut WorkerTable, id: &str, transport: FakeTransport) {
    let endpoint = endpoint(id, WorkerState::Ready);
    table.update(endpoint, ConnectionAction::Connect, || Box::new(transport));
}

/// Changes a worker that keeps its address, and so its transport.
fn change(table: &mut WorkerTable, id: &str, state: WorkerState, action: ConnectionAction) {
    table.update(endpoint(id, state), action, || {
        panic!("the transport is kept")
    });
}

#[test]
fn a_new_address_gets_a_new_transport_and_the_former_one_drains() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    connect(&mut table, "w1", FakeTransport::new("first", &calls));
    assert!(calls.take().is_empty());
    connect(&mut table, "w1", FakeTransport::new("second", &calls));
    assert_eq!(calls.take(), ["first drains"]);
    table.unload("w1", 7);
    assert_eq!(calls.take(), ["second unload"]);
}

#[test]
fn a_transport_drains_only_if_the_change_requires_it() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    connect(&mut table, "w1", FakeTransport::new("first", &calls));
    change(&mut table, "w1", WorkerState::Ready, ConnectionAction::Keep);
    assert!(calls.take().is_empty());
    change(
        &mut table,
        "w1",
        WorkerState::Draining,
        ConnectionAction::Drain,
    );
    assert_eq!(calls.take(), ["first drains"]);
}

#[test]
fn attempts_are_cancelled_at_former_addresses_too() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    let first = FakeTransport {
        cancel_result: CancelOutcome::PendingConfirmation,
        ..FakeTransport::new("first", &calls)
    };
    connect(&mut table, "w1", first);
    connect(&mut table, "w1", FakeTransport::new("second", &calls));
    assert_eq!(table.cancel("w1", KEY), CancelOutcome::PendingConfirmation);
    assert_eq!(
        table.cancel("w2", KEY),
        CancelOutcome::Unknown,
        "the worker is unknown"
    );
}

#[test]
fn load_orders_are_abandoned_at_former_addresses_too() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    connect(&mut table, "w1", FakeTransport::new("first", &calls));
    connect(&mut table, "w1", FakeTransport::new("second", &calls));
    calls.take();
    table.abandon_load_order("w1", 4);
    let expected = ["second abandons order 4", "first abandons order 4"];
    assert_eq!(calls.take(), expected);
}

#[test]
fn only_a_ready_worker_gets_new_work() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    connect(&mut table, "w1", FakeTransport::new("first", &calls));
    assert!(table.ready_transport("w1").is_some());
    assert!(table.ready_transport("w2").is_none());
    change(
        &mut table,
        "w1",
        WorkerState::Draining,
        ConnectionAction::Drain,
    );
    assert!(table.ready_transport("w1").is_none());
    assert!(table.transport("w1").is_some(), "it may still be polled");
}

#[test]
fn a_worker_that_is_gone_is_removed_once_its_connections_have_closed() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    let busy = FakeTransport {
        connections: 1,
        ..FakeTransport::new("busy", &calls)
    };
    connect(&mut table, "w1", busy);
    connect(&mut table, "w2", FakeTransport::new("idle", &calls));
    connect(&mut table, "w3", FakeTransport::new("ready", &calls));
    change(&mut table, "w1", WorkerState::Gone, ConnectionAction::Drain);
    change(&mut table, "w2", WorkerState::Gone, ConnectionAction::Drain);
    assert_eq!(table.remove_gone(), ["w2"]);
    let left: Vec<&str> = table.endpoints().map(|e| e.id.as_str()).collect();
    assert_eq!(left, ["w1", "w3"]);
}

#[test]
fn connections_idle_longest_are_closed_to_make_room() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    let now = Instant::now();
    for (id, name, idle_for) in [("w1", "late", 1), ("w2", "early", 9)] {
        let transport = FakeTransport {
            connections: 1,
            idle_since: now.checked_sub(Duration::from_millis(idle_for)),
            ..FakeTransport::new(name, &calls)
        };
        connect(&mut table, id, transport);
    }
    let pool = PoolLimit::new(64, 64); // all descriptors are reserved, so only the minimum of four connections is left
    assert!(table.trim_idle_connections(2, pool, 0) && calls.take().is_empty());
    assert!(table.trim_idle_connections(3, pool, 0));
    assert_eq!(calls.take(), ["early closes the connection idle longest"]);
    assert!(
        !table.trim_idle_connections(5, pool, 0),
        "at most four may be open"
    );
}

#[test]
fn connections_that_are_being_closed_count_against_the_descriptors() {
    let calls = Calls::default();
    let mut table = WorkerTable::default();
    connect(&mut table, "w1", FakeTransport::new("ready", &calls));
    let pool = PoolLimit::new(64, 64); // all descriptors are reserved, so only the minimum of four connections is left
    let gauge = table.gauge();
    let mut closing: Vec<_> = (0..4).map(|_| gauge.count()).collect();
    let clients = 0;
    for call in [None, Some(9)] {
        assert!(!table.ensure_connection_available("w1", call, pool, clients));
    }
    closing.pop();
    for call in [None, Some(9)] {
        assert!(table.ensure_connection_available("w1", call, pool, clients));
    }
}
