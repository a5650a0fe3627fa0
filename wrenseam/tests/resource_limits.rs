//! A front end process beside clients and workers that cost it memory and descriptors: it stays within its limits, does
//! not end, and serves usual clients once the others have gone.
mod platform;

use platform::{
    start_workers, wait_until, Abuse, AbusiveClients, ClientSettings, Clients, Deployment,
    DiscoveryService, EventLog, FrontEnd, FrontEndSettings, ProcessLimits, SimulatedWorker,
};
use rstest::rstest;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const WORKERS: usize = 13;
/// Clients of each kind of abuse.
const ABUSIVE_CLIENTS: usize = 4;
/// How long clients misuse the front end.
const ABUSE_TIME: Duration = Duration::from_secs(4);
/// The least limits that the platform sets.
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 48,
    descriptors: 384,
};
const KIB_PER_MB: u64 = 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Held by the test that runs: beside each other, the clients of several tests would slow each other down.
static TURN: Mutex<()> = Mutex::new(());

/// A front end process with workers that answer at once, and the most that it has used.
struct Platform {
    log: EventLog,
    discovery: DiscoveryService,
    workers: Vec<SimulatedWorker>,
    front_end: FrontEnd,
    peak_descriptors: usize,
    _turn: MutexGuard<'static, ()>,
}

impl Platform {
    fn start() -> Platform {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let (workers, log) = start_workers(WORKERS, Duration::ZERO);
        let discovery = DiscoveryService::start(&log);
        let settings = FrontEndSettings {
            deployment: Deployment::default(),
            index: 0,
            seed: 0x31,
            limits: LIMITS,
        };
        let front_end = FrontEnd::start(settings, &log, discovery.address);
        Platform {
            log,
            discovery,
            workers,
            front_end,
            peak_descriptors: 0,
            _turn: turn,
        }
    }

    /// Has clients misuse the front end for a while, and returns how often they did.
    fn misuse(&mut self, abuse: Abuse) -> u64 {
        let clients = AbusiveClients::start(abuse, ABUSIVE_CLIENTS, self.front_end.address, 1);
        self.observe(ABUSE_TIME);
        let count = clients.count();
        clients.stop();
        count
    }

    fn observe(&mut self, time: Duration) {
        let since = Instant::now();
        while since.elapsed() < time {
            self.peak_descriptors = self.peak_descriptors.max(self.front_end.open_descriptors());
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Fails the test if the process has ended, was near its limit of descriptors or passed its limit of memory, or if
    /// it does not serve usual clients soon.
    fn assert_within_limits(&mut self) {
        assert!(self.front_end.is_running(), "the process has ended");
        let peak_kib = self.front_end.peak_resident_kib().expect("it runs");
        let peak_descriptors = self.peak_descriptors;
        eprintln!("at most {peak_kib} KiB resident and {peak_descriptors} descriptors");
        assert!(
            peak_kib <= LIMITS.memory_mb * KIB_PER_MB,
            "{peak_kib} KiB were resident, limit {} MB",
            LIMITS.memory_mb
        );
        assert!(
            peak_descriptors < LIMITS.descriptors,
            "{peak_descriptors} descriptors were open, limit {}",
            LIMITS.descriptors
        );
        self.assert_serves_usual_clients();
    }

    fn assert_serves_usual_clients(&self) {
        let since = Instant::now();
        let mut clients = Clients::new(7);
        let client = ClientSettings {
            front_end: 0,
            address: self.front_end.address,
            timeout: Duration::from_secs(1),
            pause: Duration::from_millis(20),
        };
        clients.add(4, client);
        wait_until("usual clients are served", Duration::from_secs(10), || {
            clients.served_between(since, Instant::now()) > 50
        });
        clients.stop();
    }
}

#[rstest]
#[case::repeat_a_request_id(Abuse::RepeatsRequestId)]
#[case::cancel_at_once(Abuse::CancelsAtOnce)]
#[case::read_no_response(Abuse::ReadsNothing)]
#[case::send_without_pause(Abuse::SendsWithoutPause)]
#[case::hold_connections(Abuse::HoldsConnections)]
#[case::send_garbage(Abuse::SendsGarbage)]
fn memory_and_descriptors_stay_within_limits_while_clients(#[case] abuse: Abuse) {
    let mut platform = Platform::start();
    let count = platform.misuse(abuse);
    eprintln!("{abuse:?}: {count} times");
    platform.assert_within_limits();
}

#[rstest]
#[case::repeat_a_request_id(Abuse::RepeatsRequestId)]
#[case::send_without_pause(Abuse::SendsWithoutPause)]
#[case::cancel_at_once(Abuse::CancelsAtOnce)]
fn memory_stays_within_its_limit_while_workers_refuse_connections_and_clients(
    #[case] abuse: Abuse,
) {
    let mut platform = Platform::start();
    platform.workers.iter().for_each(SimulatedWorker::stop);
    platform.misuse(abuse);
    platform.workers.iter().for_each(SimulatedWorker::restart);
    let ready: Vec<String> = platform
        .workers
        .iter()
        .map(|worker| worker.instance("ready"))
        .collect();
    platform.log.publish(&ready);
    platform.assert_within_limits();
}

#[test]
fn timers_of_answered_requests_with_long_timeouts_do_not_accumulate() {
    let mut platform = Platform::start();
    let clients = AbusiveClients::start(
        Abuse::StatesLongestTimeout,
        ABUSIVE_CLIENTS,
        platform.front_end.address,
        1,
    );
    wait_until("requests are answered", Duration::from_secs(60), || {
        clients.count() > 20_000
    });
    let timers = platform
        .front_end
        .metric("app.process.timers")
        .expect("a metric");
    let answered = clients.count();
    clients.stop();
    assert!(
        timers < answered / 2,
        "{timers} timers after {answered} answered requests"
    );
    platform.assert_within_limits();
}

#[test]
fn a_process_serves_on_when_its_log_cannot_be_written() {
    let mut platform = Platform::start();
    platform.front_end.close_log();
    let garbage = AbusiveClients::start(Abuse::SendsGarbage, 1, platform.front_end.address, 1);
    wait_until("the log is closed", Duration::from_secs(10), || {
        platform.front_end.is_log_closed()
    });
    let count = garbage.count();
    wait_until("garbage is answered", Duration::from_secs(10), || {
        garbage.count() > count + 20
    });
    garbage.stop();
    platform.workers[0].drain();
    platform
        .log
        .publish(&[platform.workers[0].instance("draining")]);
    wait_until("the endpoint list arrives", Duration::from_secs(10), || {
        platform.front_end.metric("app.members_unavailable") == Some(1)
    });
    platform
        .front_end
        .move_discovery(&platform.log, platform.discovery.address);
    platform.assert_within_limits();
}
