//! Follows the discovery service: makes requests, and passes what they bring to the core.
//!
//! A connection that sends only comments may have an event that never arrives on it, so requests are made again and
//! again. A service that is slow may bring an event late on a connection that has long been open, so a connection is kept
//! until a newer one is seen to bring everything.
use crate::discovery::address::DiscoveryAddress;
use crate::discovery::backoff::ReconnectBackoff;
use crate::discovery::connection::Connection;
pub use crate::discovery::connection::ConnectionError;
use crate::discovery::log_lines;
use crate::discovery::watch::{EndpointListUpdate, WatchState};
use crate::limits::DiscoveryLimits;
use crate::model::{DiscoveryContact, TransportProtocol};
use crate::queue::CoreHandle;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wrenseam_policy::readiness_lease::Interruption;

/// Receives the discovery service's events and never returns. Whenever all connections have ended, a new one asks for the
/// events after the last one received.
pub fn run(
    service: &DiscoveryAddress,
    state: WatchState,
    seed: u64,
    limits: &DiscoveryLimits,
    core: &CoreHandle,
) {
    let mut client = Client {
        service,
        state,
        backoff: ReconnectBackoff::new(seed, limits),
        limits,
        core,
        connections: Vec::new(),
        next_request_at: Instant::now(),
        is_out_of_contact: false,
        interrupted_at: None,
    };
    loop {
        let pause = client.follow();
        if !pause.is_zero() {
            crate::net::sleep(pause);
        }
    }
}

struct Client<'a> {
    service: &'a DiscoveryAddress,
    state: WatchState,
    backoff: ReconnectBackoff,
    limits: &'a DiscoveryLimits,
    core: &'a CoreHandle,
    /// The open connections, the oldest first.
    connections: Vec<Connection>,
    /// No request is made before this time while a connection is open.
    next_request_at: Instant,
    /// Whether an interruption has been reported, and no confirmation since.
    is_out_of_contact: bool,
    /// The time of the last interruption that was reported.
    interrupted_at: Option<Instant>,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    /// The events after the last one received.
    NewEvents,
    /// The last event received and those after it: its arrival shows that the service has taken up the request.
    Probe,
}

impl Client<'_> {
    /// Follows the service until no connection is open any more. Returns the pause before the next request.
    fn follow(&mut self) -> Duration {
        let address = self.service.get();
        let last_event = self.state.last_event();
        let error = self.receive_events(address);
        self.connections.clear();
        self.log_end(address, &error);
        // Without new events the service may be down: the pause grows with each such request.
        let unsuccessful = self.state.last_event() == last_event && self.service.get() == address;
        if unsuccessful {
            self.backoff.after_failure()
        } else {
            self.backoff.after_success()
        }
    }

    fn receive_events(&mut self, address: Option<SocketAddr>) -> ConnectionError {
        let Some(address) = address else {
            return ConnectionError::NoAddress;
        };
        if let Err(error) = self.request(address, RequestKind::NewEvents) {
            return error;
        }
        loop {
            if let Err(error) = self.receive(address) {
                return error;
            }
            self.confirm();
            if let Some(kind) = self.due_request() {
                self.request_again(address, kind);
            }
        }
    }

    /// Reads from each connection, and waits a little for input on the newest. Fails if no connection is left or all are
    /// of no further use.
    fn receive(&mut self, address: SocketAddr) -> Result<(), ConnectionError> {
        let newest = self.connections.len().saturating_sub(1);
        let wait = if newest > 0 {
            self.limits.shared_read_interval
        } else {
            self.limits.address_check_interval
        };
        let mut index = 0;
        while index < self.connections.len() {
            let is_newest = index + 1 == self.connections.len();
            let result = self.receive_from(index, is_newest.then_some(wait));
            if self.service.get() != Some(address) {
                return Err(ConnectionError::AddressChanged);
            }
            match result {
                Ok(()) => index += 1,
                Err(error) => self.end_connection(index, address, error)?,
            }
        }
        Ok(())
    }

    /// Reads from a connection, and passes changes to the core. With `wait`, waits for input.
    fn receive_from(
        &mut self,
        index: usize,
        wait: Option<Duration>,
    ) -> Result<(), ConnectionError> {
        let core = self.core;
        let mut apply = |update: EndpointListUpdate| {
            core.endpoint_update(TransportProtocol::Frames, update.complete, update.endpoints);
        };
        let silence_timeout = self.limits.silence_timeout;
        let connection = &mut self.connections[index];
        match wait {
            Some(wait) => connection.receive(wait, silence_timeout, &mut self.state, &mut apply),
            None => connection.receive_ready(silence_timeout, &mut self.state, &mut apply),
        }
    }

    /// Removes a connection that has ended. Its end is an interruption unless a newer connection is open, on which
    /// everything is asked for that it has not brought.
    ///
    /// # Errors
    /// The same error, if no connection is left, or if events must be requested again, which ends all of them.
    fn end_connection(
        &mut self,
        index: usize,
        address: SocketAddr,
        error: ConnectionError,
    ) -> Result<(), ConnectionError> {
        let connection = self.connections.remove(index);
        let is_newest = index == self.connections.len();
        if is_newest {
            self.report_end(&connection, &error);
        }
        if self.connections.is_empty() || matches!(error, ConnectionError::Watch(_)) {
            return Err(error);
        }
        if is_newest {
            self.postpone_request();
        }
        self.log_end(Some(address), &error);
        Ok(())
    }

    fn log_end(&self, address: Option<SocketAddr>, error: &ConnectionError) {
        if let Some(address) = address {
            let last_event = self.state.last_event();
            log_limited!(
                "{}",
                log_lines::connection_ended(address, last_event, error)
            );
        }
    }

    /// The request that is due, if any. A connection that is merely alive does not show whether something is pending, and
    /// an old one may have an event that never arrives on it.
    fn due_request(&self) -> Option<RequestKind> {
        let newest = self.connections.last()?;
        if Instant::now() < self.next_request_at {
            return None;
        }
        let needs_probe = newest.is_only_alive() && !newest.is_probe;
        if !needs_probe && !newest.is_old() {
            return None;
        }
        Some(if newest.has_settled {
            RequestKind::Probe
        } else {
            RequestKind::NewEvents
        })
    }

    /// Makes another request while connections are open. If these are as many as may be, the newest is given up: the
    /// oldest bring what a slow service has to tell first.
    fn request_again(&mut self, address: SocketAddr, kind: RequestKind) {
        if self.connections.len() >= self.limits.max_connections {
            self.connections.pop();
            self.log_end(Some(address), &ConnectionError::RequestExpired);
        }
        if let Err(error) = self.request(address, kind) {
            self.postpone_request();
            self.log_end(Some(address), &error);
        }
    }

    fn postpone_request(&mut self) {
        self.next_request_at = Instant::now() + self.backoff.after_failure();
    }

    fn request(&mut self, address: SocketAddr, kind: RequestKind) -> Result<(), ConnectionError> {
        let state = &mut self.state;
        let is_probe = kind == RequestKind::Probe;
        let begin = || match kind {
            RequestKind::NewEvents => state.begin_request(),
            RequestKind::Probe => state.begin_probe(),
        };
        let event_timeout = self.backoff.event_timeout();
        let opened = Connection::open(address, begin, is_probe, event_timeout, self.limits);
        match opened {
            Ok(connection) => self.connections.push(connection),
            Err(error) => {
                self.report_failed_request(Instant::now(), Interruption::Unreachable);
                return Err(error);
            }
        }
        Ok(())
    }

    /// Reports the end of a connection, unless the client itself ended it: then the next request's confirmation or
    /// failure is reported.
    fn report_end(&mut self, connection: &Connection, error: &ConnectionError) {
        let now = Instant::now();
        match error {
            ConnectionError::Silent if connection.has_received => {
                self.report_interruption(connection.last_received_at, Interruption::Silent);
            }
            ConnectionError::Silent => {
                self.report_failed_request(connection.requested_at, Interruption::Silent);
            }
            ConnectionError::Io(_) | ConnectionError::Closed | ConnectionError::Stream(_) => {
                if connection.has_received {
                    self.report_interruption(now, Interruption::Broken);
                } else {
                    self.report_failed_request(now, Interruption::Unreachable);
                }
            }
            _ => {}
        }
    }

    /// Reports a request that ended without a response, unless an interruption has been reported already.
    fn report_failed_request(&mut self, at: Instant, cause: Interruption) {
        if !self.is_out_of_contact {
            self.report_interruption(at, cause);
        }
    }

    fn report_interruption(&mut self, at: Instant, cause: Interruption) {
        self.is_out_of_contact = true;
        self.interrupted_at = Some(at);
        self.core
            .discovery_contact(DiscoveryContact::Interrupted { at, cause });
    }

    /// Once a connection is up to date and no event is incomplete: closes those that are older, and reports that every
    /// change up to the time of its request has been received.
    fn confirm(&mut self) {
        let Some(index) = self.connections.iter().rposition(Connection::is_up_to_date) else {
            return;
        };
        if !self.state.is_complete() {
            return;
        }
        self.connections.drain(..index);
        let connection = &mut self.connections[0];
        if std::mem::replace(&mut connection.is_confirmed, true) {
            return;
        }
        let requested_at = connection.requested_at;
        if self.interrupted_at.is_some_and(|at| requested_at < at) {
            return;
        }
        self.is_out_of_contact = false;
        self.backoff.reset();
        self.core
            .discovery_contact(DiscoveryContact::Confirmed { requested_at });
    }
}
