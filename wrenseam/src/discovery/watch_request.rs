//! One request for events, and what has been received on it. No sockets and no clock.
use super::event::{EndpointEvent, EventError};
use crate::model::Endpoint;
use std::collections::BTreeMap;

/// Requesting the events after this number makes the service send its complete list: no event has this number.
pub(super) const BEFORE_ALL_EVENTS: u64 = 0;

/// A request, and what has been received on it.
#[derive(Default)]
pub struct WatchRequest {
    /// The number of the event after which the service is asked to continue.
    pub(super) after: u64,
    /// The last event received before the request.
    pub(super) known_event: u64,
    /// Whether that event, a newer one or an incomplete one has arrived.
    pub(super) reached_last_event: bool,
    /// Whether that event or a newer one has arrived.
    pub(super) has_caught_up: bool,
    /// Whether events with lower numbers have arrived before that.
    pub(super) has_older_events: bool,
    /// The list that these events form, in case the service has restarted its event numbers.
    pub(super) restarted_list: Option<RestartedList>,
    pub(super) comments_since_event: u32,
}

pub(super) struct RestartedList {
    pub(super) last_event: u64,
    pub(super) endpoints: BTreeMap<String, Endpoint>,
}

impl WatchRequest {
    /// The number of the event after which the service is asked to continue.
    pub fn after(&self) -> u64 {
        self.after
    }

    /// Whether the service has sent an event at least as new as the last one known before the request, or none was known.
    /// Until then the service may not have taken up the request, although it sends comments.
    pub fn has_caught_up(&self) -> bool {
        self.has_caught_up || self.known_event == BEFORE_ALL_EVENTS
    }

    pub(super) fn record_number(&mut self, number: u64) {
        self.has_caught_up |= number >= self.known_event;
    }

    pub(super) fn reach_last_event(&mut self) {
        self.reached_last_event = true;
        self.restarted_list = None;
    }

    /// Handles an event with a number received before: the service sent it twice, sent it again on request, or has
    /// restarted its event numbers.
    pub(super) fn handle_older_event(
        &mut self,
        number: u64,
        event: Result<EndpointEvent, EventError>,
    ) {
        if number >= self.known_event {
            self.reach_last_event();
        }
        if self.reached_last_event {
            return;
        }
        self.has_older_events = true;
        let Ok(event) = event else {
            return;
        };
        if event.complete {
            self.restarted_list = Some(RestartedList {
                last_event: number,
                endpoints: BTreeMap::new(),
            });
        }
        let Some(restarted) = &mut self.restarted_list else {
            return;
        };
        restarted.last_event = number.max(restarted.last_event);
        for endpoint in event.endpoints {
            restarted.endpoints.insert(endpoint.id.clone(), endpoint);
        }
    }
}
