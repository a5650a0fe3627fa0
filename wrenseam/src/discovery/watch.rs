//! Applies the discovery service's events in the order of their numbers, and decides after which event the next request
//! asks the service to continue. Several requests may be open at a time. No sockets and no clock.
//!
//! An event that arrives late must not undo what an event with a higher number has changed. While an event is
//! incomplete (a part of it was invalid), the latest endpoint of each instance listed since is kept, so that the event
//! can be applied in its place when it is received again.
use crate::discovery::event::{parse_event, EndpointEvent, EventError};
use crate::discovery::log_lines;
pub use crate::discovery::watch_request::WatchRequest;
use crate::discovery::watch_request::{RestartedList, BEFORE_ALL_EVENTS};
use crate::model::Endpoint;
use miniserde::json::{Object, Value};
use std::collections::{BTreeMap, HashSet};
use thiserror::Error;
use wrenseam_policy::json::{list, object, parse, unsigned};

/// How often an incomplete event is requested again before its faults are ignored. The first repeated request, made as
/// soon as a fault is received, does not count.
const MAX_REPEATED_REQUESTS: u32 = 3;

/// Number of comments without an event between them after which the service has sent all pending events. It sends one
/// comment each second.
const COMMENTS_AFTER_ALL_EVENTS: u32 = 2;

/// A change of the endpoint list.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointListUpdate {
    /// Whether this is the complete list, which replaces everything received before.
    pub complete: bool,
    /// The endpoints that are listed; without `complete` only those that have changed.
    pub endpoints: Vec<Endpoint>,
}

/// Why a new request must be made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WatchError {
    /// The service has restarted its event numbers, and its complete list is needed.
    #[error("events are numbered lower than {last}")]
    NumbersRestarted {
        /// The last event received before.
        last: u64,
    },
    /// Events may have been lost.
    #[error("event {number} came after {last}")]
    Gap {
        /// The event received.
        number: u64,
        /// The last event received before.
        last: u64,
    },
    /// An event, or a part of it, is invalid.
    #[error("event {number}: {source}")]
    Fault {
        /// The event's number.
        number: u64,
        /// The first of its faults.
        source: EventError,
    },
    /// An event has no valid number.
    #[error("an event without a number: {id}")]
    Unnumbered {
        /// The id that was received instead of a number, or "none".
        id: String,
    },
}

/// The state at startup, after the known events of the configuration.
pub struct InitialWatch {
    /// The state after these events.
    pub state: WatchState,
    /// The changes of the endpoint list by these events.
    pub updates: Vec<EndpointListUpdate>,
}

/// What has been received over all requests.
#[derive(Default)]
pub struct WatchState {
    last_event: u64,
    /// Events with faults, and how often each has been requested again.
    incomplete: BTreeMap<u64, u32>,
    /// While events are incomplete: the latest endpoint of each instance listed since, by id.
    latest: BTreeMap<String, LatestEndpoint>,
    /// The event that the last request asked for again. If it arrives with the same defect again, it is used as it is.
    repeated: Option<RepeatedRequest>,
    /// Whether the next request must ask for the complete list.
    needs_complete_list: bool,
}

struct LatestEndpoint {
    event: u64,
    endpoint: Endpoint,
}

/// An event that is requested once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatedRequest {
    /// The event of this number: there was a gap before it, or a fault in it.
    Numbered(u64),
    /// An event without a number.
    Unnumbered,
}

/// An event's number and its content, as far as they are valid.
struct ParsedEvent {
    number: Option<u64>,
    event: Result<EndpointEvent, EventError>,
}

impl ParsedEvent {
    /// The number is the id in the stream, or else the number in the event's data.
    fn parse(id: Option<&str>, data: &str) -> ParsedEvent {
        let id_number = id.and_then(|id| id.parse().ok());
        let Ok(Value::Object(fields)) = parse(data) else {
            return ParsedEvent {
                number: id_number,
                event: Err(EventError::NotAnObject),
            };
        };
        ParsedEvent {
            number: id_number.or_else(|| unsigned(&fields, "rev")),
            event: parse_event(&fields),
        }
    }
}

impl WatchState {
    /// Starts from the known events of the configuration and the number of the last of them.
    pub fn from_known_events(known: &Object) -> InitialWatch {
        let mut state = WatchState::default();
        let mut updates = Vec::new();
        for event in list(known, "notices").iter().filter_map(object) {
            updates.extend(state.apply_known_event(event));
        }
        state.last_event = unsigned(known, "rev").unwrap_or(state.last_event);
        state.clear_latest_if_complete();
        InitialWatch { state, updates }
    }

    fn apply_known_event(&mut self, fields: &Object) -> Option<EndpointListUpdate> {
        let number = unsigned(fields, "rev").unwrap_or(self.last_event);
        self.last_event = self.last_event.max(number);
        match parse_event(fields) {
            Ok(event) => {
                for fault in &event.faults {
                    log_limited!("{}", log_lines::known_event_fault(number, fault));
                }
                self.apply(number, event)
            }
            Err(error) => {
                log_limited!("{}", log_lines::known_event_skipped(number, &error));
                self.incomplete.insert(number, 0);
                None
            }
        }
    }

    /// Number of the last event received; 0: none.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Whether everything that the events have changed is known: none is incomplete, and the complete list is not
    /// needed.
    pub fn is_complete(&self) -> bool {
        self.incomplete.is_empty() && !self.needs_complete_list
    }

    /// Begins a request for the events after the last one, or after the one before the first incomplete one.
    pub fn begin_request(&mut self) -> WatchRequest {
        self.begin_request_after(self.last_event)
    }

    /// Like [`WatchState::begin_request`], but asks for the last event again: once the service has sent it, it has taken
    /// up the request, which its silence does not show.
    pub fn begin_probe(&mut self) -> WatchRequest {
        self.begin_request_after(self.last_event.saturating_sub(1))
    }

    fn begin_request_after(&mut self, after: u64) -> WatchRequest {
        WatchRequest {
            after: self.first_missing_after().unwrap_or(after),
            known_event: self.last_event,
            ..WatchRequest::default()
        }
    }

    /// The number of the event after which something is missing; `None` if nothing is known to be.
    fn first_missing_after(&mut self) -> Option<u64> {
        if std::mem::take(&mut self.needs_complete_list) {
            return Some(BEFORE_ALL_EVENTS);
        }
        self.drop_persistent_faults();
        let (&number, repeated_requests) = self.incomplete.iter_mut().next()?;
        *repeated_requests += 1;
        Some(number.saturating_sub(1))
    }

    fn drop_persistent_faults(&mut self) {
        self.incomplete.retain(|&number, repeated_requests| {
            let request_again = *repeated_requests < MAX_REPEATED_REQUESTS;
            if !request_again {
                log_limited!("{}", log_lines::event_fault_ignored(number));
            }
            request_again
        });
        self.clear_latest_if_complete();
    }

    /// Handles an event and returns what it changes; `Ok(None)`: nothing.
    ///
    /// # Errors
    ///
    /// A [`WatchError`] if a new request must be made.
    pub fn handle_event(
        &mut self,
        request: &mut WatchRequest,
        id: Option<&str>,
        data: &str,
    ) -> Result<Option<EndpointListUpdate>, WatchError> {
        request.comments_since_event = 0;
        if self.is_known(request, id) {
            request.reach_last_event();
            request.has_caught_up = true;
            return Ok(None);
        }
        let parsed = ParsedEvent::parse(id, data);
        let Some(number) = parsed.number else {
            return self.handle_unnumbered_event(id, parsed.event);
        };
        request.record_number(number);
        if number <= self.last_event && !self.incomplete.contains_key(&number) {
            request.handle_older_event(number, parsed.event);
            return Ok(None);
        }
        request.reach_last_event();
        self.handle_newer_or_repeated_event(number, parsed.event)
    }

    /// Whether this is the last event known before the request, or one that another request has brought since: its data
    /// need not be parsed, and may be the complete list.
    fn is_known(&self, request: &WatchRequest, id: Option<&str>) -> bool {
        let number = id.and_then(|id| id.parse().ok());
        let is_known = |number| {
            let is_received = number >= request.known_event && number <= self.last_event;
            is_received && !self.incomplete.contains_key(&number)
        };
        number.is_some_and(is_known)
    }

    /// Handles an event without a number. It has no place in the order: it is requested once more, then it is treated
    /// as the newest event.
    fn handle_unnumbered_event(
        &mut self,
        id: Option<&str>,
        event: Result<EndpointEvent, EventError>,
    ) -> Result<Option<EndpointListUpdate>, WatchError> {
        let error = WatchError::Unnumbered {
            id: id.unwrap_or("none").to_owned(),
        };
        self.request_once_more(RepeatedRequest::Unnumbered, error)?;
        self.repeated = None;
        let Ok(event) = event else {
            return Ok(None);
        };
        Ok(Some(EndpointListUpdate {
            complete: event.complete && event.faults.is_empty(),
            endpoints: event.endpoints,
        }))
    }

    fn handle_newer_or_repeated_event(
        &mut self,
        number: u64,
        event: Result<EndpointEvent, EventError>,
    ) -> Result<Option<EndpointListUpdate>, WatchError> {
        self.check_gap(number)?;
        if let Some(fault) = first_fault(&event) {
            self.check_fault(number, fault)?;
        }
        self.last_event = self.last_event.max(number);
        let update = match event {
            Ok(event) => self.apply(number, event),
            Err(_) => {
                self.incomplete.entry(number).or_insert(0);
                None
            }
        };
        self.clear_latest_if_complete();
        Ok(update)
    }

    /// Fails at a gap before an event, as events may have been lost. If the gap is still there after the new request,
    /// the numbers in it were never used.
    fn check_gap(&mut self, number: u64) -> Result<(), WatchError> {
        let last = self.last_event;
        if last == 0 || number <= last + 1 {
            return Ok(());
        }
        self.request_once_more(
            RepeatedRequest::Numbered(number),
            WatchError::Gap { number, last },
        )
    }

    /// Fails at the first fault of an event, so that it is requested once more; then its valid part is used.
    fn check_fault(&mut self, number: u64, fault: &EventError) -> Result<(), WatchError> {
        if !self.incomplete.contains_key(&number) {
            let error = WatchError::Fault {
                number,
                source: fault.clone(),
            };
            self.request_once_more(RepeatedRequest::Numbered(number), error)?;
        }
        log_limited!("{}", log_lines::event_fault(number, fault));
        Ok(())
    }

    /// Handles a comment and returns what it changes; `Ok(None)`: nothing. Once the service has sent all pending
    /// events, a comment decides whether it has restarted its event numbers.
    ///
    /// # Errors
    ///
    /// [`WatchError::NumbersRestarted`] if it has and did not send its complete list, which must then be requested.
    pub fn handle_comment(
        &mut self,
        request: &mut WatchRequest,
    ) -> Result<Option<EndpointListUpdate>, WatchError> {
        request.comments_since_event += 1;
        if request.comments_since_event < COMMENTS_AFTER_ALL_EVENTS
            || !request.has_older_events
            || request.reached_last_event
        {
            return Ok(None);
        }
        request.has_older_events = false;
        let Some(restarted) = request.restarted_list.take() else {
            self.needs_complete_list = true;
            return Err(WatchError::NumbersRestarted {
                last: self.last_event,
            });
        };
        request.reach_last_event();
        request.has_caught_up = true;
        Ok(Some(self.adopt_restarted_list(restarted)))
    }

    /// Replaces everything received before by the list of a service that has restarted its event numbers.
    fn adopt_restarted_list(&mut self, restarted: RestartedList) -> EndpointListUpdate {
        log_limited!(
            "{}",
            log_lines::numbers_restarted(restarted.last_event, self.last_event)
        );
        self.last_event = restarted.last_event;
        self.repeated = None;
        self.incomplete.clear();
        self.clear_latest_if_complete();
        EndpointListUpdate {
            complete: true,
            endpoints: restarted.endpoints.into_values().collect(),
        }
    }

    /// Fails with this error, but not twice in a row for the same event: it is requested only once more.
    fn request_once_more(
        &mut self,
        event: RepeatedRequest,
        error: WatchError,
    ) -> Result<(), WatchError> {
        if self.repeated == Some(event) {
            return Ok(());
        }
        self.repeated = Some(event);
        Err(error)
    }

    /// Applies an event, except for endpoints that later events list, and returns what it changes.
    fn apply(&mut self, number: u64, event: EndpointEvent) -> Option<EndpointListUpdate> {
        let has_faults = !event.faults.is_empty();
        if has_faults {
            self.incomplete.entry(number).or_insert(0);
        } else {
            self.incomplete.remove(&number);
        }
        // An endpoint that is missing from a list with an invalid part is not gone: it may be in that part.
        let complete = event.complete && !has_faults;
        let mut endpoints = self.without_outdated(number, complete, event.endpoints);
        if complete {
            self.add_listed_later(number, &mut endpoints);
        }
        if !self.incomplete.is_empty() {
            self.keep_latest(number, &endpoints);
        }
        if !complete && endpoints.is_empty() {
            return None;
        }
        Some(EndpointListUpdate {
            complete,
            endpoints,
        })
    }

    /// The endpoints of this event without those that a later event lists. A complete list gets the later state of
    /// these instead, as endpoints that are not in it are gone.
    fn without_outdated(
        &self,
        number: u64,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Endpoint> {
        let mut current = Vec::new();
        for endpoint in endpoints {
            match self.latest.get(&endpoint.id) {
                Some(later) if later.event > number => {
                    if complete {
                        current.push(later.endpoint.clone());
                    }
                }
                _ => current.push(endpoint),
            }
        }
        current
    }

    /// Adds to a complete list the endpoints that only later events list.
    fn add_listed_later(&self, number: u64, endpoints: &mut Vec<Endpoint>) {
        let listed: HashSet<String> = endpoints
            .iter()
            .map(|endpoint| endpoint.id.clone())
            .collect();
        let later = self
            .latest
            .iter()
            .filter(|(id, later)| later.event > number && !listed.contains(*id))
            .map(|(_, later)| later.endpoint.clone());
        endpoints.extend(later);
    }

    fn keep_latest(&mut self, number: u64, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let event = self
                .latest
                .get(&endpoint.id)
                .map_or(number, |latest| latest.event.max(number));
            let latest = LatestEndpoint {
                event,
                endpoint: endpoint.clone(),
            };
            self.latest.insert(endpoint.id.clone(), latest);
        }
    }

    /// Drops the latest endpoints if no event is incomplete: no event received so far can be applied late then.
    fn clear_latest_if_complete(&mut self) {
        if self.incomplete.is_empty() {
            self.latest.clear();
        }
    }
}

/// The first fault of an event; `None` if it is valid.
fn first_fault(event: &Result<EndpointEvent, EventError>) -> Option<&EventError> {
    match event {
        Ok(event) => event.faults.first(),
        Err(error) => Some(error),
    }
}
