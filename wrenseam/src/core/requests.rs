//! Requests, from their arrival to their final answer.
use super::log_lines::{InvalidRequest, LogLine};
use super::tables::OpenRequest;
use super::timers::TimerEvent;
use super::Core;
use crate::latency::{Stage, LATENCIES};
use crate::model::{Answer, Client, Milestone, Request, RequestEnd};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;
use wrenseam_policy::{Event, Idempotency, Micros, NewRequest};

impl Core {
    /// Handles a request that a front passed to the core, and carries out the policy's actions.
    pub(super) fn handle_request(&mut self, request: Request, client: Arc<dyn Client>, tag: u64) {
        request.timeline.reach(Milestone::Accepted, Instant::now());
        LATENCIES.record(Stage::CoreQueue, request.timeline.in_core_queue());
        self.admit_request(request, client, tag);
        self.process_events();
    }

    /// Accepts a request. One that is invalid is answered as failed at once, one that the fleet sheds as rejected.
    fn admit_request(&mut self, request: Request, client: Arc<dyn Client>, tag: u64) {
        let class = self.settings.class(&request.class);
        let tenant = self.settings.tenant(&request.tenant);
        if let Err(reason) = self.validate(&request, class, tenant) {
            let wire_id = request.wire_id;
            log_limited!("{}", LogLine::InvalidRequest { wire_id, reason });
            self.request_counters.record_end(class, RequestEnd::Failed);
            client.answer(tag, Answer::Failed);
            return;
        }
        self.tenant_counters.record_received(tenant);
        if let Some(retry_after) = self.shed(class) {
            self.request_counters
                .record_end(class, RequestEnd::Rejected);
            client.answer(tag, Answer::Rejected { retry_after });
            return;
        }
        self.accept(OpenRequest {
            request: Arc::new(request),
            client,
            tag,
            class,
            tenant,
        });
    }

    fn validate(
        &self,
        request: &Request,
        class: usize,
        tenant: Option<usize>,
    ) -> Result<(), InvalidRequest> {
        let Some(class) = self.settings.classes.get(class) else {
            return Err(InvalidRequest::UnknownClass);
        };
        if tenant.is_none() && !self.settings.tenants.is_empty() {
            return Err(InvalidRequest::UnknownTenant);
        }
        // Without the key a worker could not recognise a retry as a duplicate, and would execute it again.
        if class.idempotency == Idempotency::Keyed && request.idempotency_key.is_none() {
            return Err(InvalidRequest::MissingIdempotencyKey);
        }
        // Workers identify requests by this id, so two open requests must not share it.
        if self.requests.has_wire_id(request.wire_id) {
            return Err(InvalidRequest::DuplicateId);
        }
        if class.idempotency == Idempotency::NotIdempotent
            && self
                .executed_ids
                .contains(request.wire_id, self.clock.now())
        {
            return Err(InvalidRequest::ExecutedId);
        }
        Ok(())
    }

    /// The Retry-After of the rejection if a request of this class is shed now; `None` if it is not.
    fn shed(&mut self, class: usize) -> Option<Micros> {
        let fleet_admission = self.fleet_admission.as_mut()?;
        fleet_admission.shed(self.clock.now(), class)
    }

    fn accept(&mut self, accepted: OpenRequest) {
        let now = self.clock.now();
        let id = self.next_number();
        let request = &accepted.request;
        let time_left = self.time_left(now, request);
        self.events.push_back(Event::Request(NewRequest {
            id,
            class: accepted.class,
            tenant: accepted.tenant,
            function: request.function,
            time_left,
            memory_mb: request.memory_mb,
            concurrency: request.concurrency,
            load_time: request.load_time,
            retry: request.is_retry,
        }));
        self.requests.insert(id, accepted);
        self.process_state
            .open_requests
            .fetch_add(1, Ordering::AcqRel);
        // The policy is expected to end each request in time. This timer answers the request if the policy does not.
        self.timers.set(
            now.saturating_add(time_left),
            TimerEvent::RequestDeadline(id),
        );
    }

    /// What is left of the client's timeout, less a margin for delivering the answer. With the margin, an answer still
    /// reaches its client in time if the machine is paused for some tens of milliseconds.
    pub(super) fn time_left(&self, now: Micros, request: &Request) -> Micros {
        let elapsed = now.saturating_sub(self.clock.at(request.received_at));
        let margin = self.limits.response_margin(request.timeout);
        request.timeout.saturating_sub(elapsed + margin)
    }

    /// Ends the request that this connection sent under this tag, as its client cancelled it.
    pub(super) fn cancel_request(&mut self, connection: u64, tag: u64) {
        if let Some(id) = self.requests.find(connection, tag) {
            self.end_cancelled(id);
        }
    }

    /// Ends all requests of a client connection that has closed.
    pub(super) fn cancel_requests_of(&mut self, connection: u64) {
        for id in self.requests.of_connection(connection) {
            self.end_cancelled(id);
        }
    }

    /// Ends a cancelled request without an answer. The policy then cancels its attempts.
    fn end_cancelled(&mut self, id: u64) {
        if self.requests.close(id).is_some() {
            self.events.push_back(Event::RequestCancelled { id });
            self.process_events();
            self.remove_if_finished(id);
        }
    }

    /// Sends the final answer, unless the request has already been answered or cancelled.
    pub(super) fn answer(&mut self, id: u64, answer: Answer) {
        let Some(closed) = self.requests.close(id) else {
            return;
        };
        let end = answer.request_end();
        if end != RequestEnd::Completed {
            self.log_request_end(id, end);
        }
        self.tenant_counters.record_end(closed.tenant, end);
        self.request_counters.record_end(closed.class, end);
        closed.client.answer(closed.tag, answer);
    }

    fn log_request_end(&self, id: u64, end: RequestEnd) {
        let Some(request) = self.requests.request(id) else {
            return;
        };
        let received_at = self.clock.at(request.received_at);
        let line = LogLine::RequestNotServed {
            wire_id: request.wire_id,
            end,
            attempts: self.requests.attempts_made(id),
            elapsed: self.clock.now().saturating_sub(received_at),
        };
        log_limited!("{line}");
    }

    /// Sends the final answer, and removes the request's record if no attempt is open.
    pub(super) fn finish_request(&mut self, id: u64, answer: Answer) {
        self.answer(id, answer);
        self.remove_if_finished(id);
    }

    /// Removes the request's record if it is answered or cancelled and has no open attempt.
    pub(super) fn remove_if_finished(&mut self, id: u64) {
        if self.requests.remove_finished(id) {
            self.process_state
                .open_requests
                .fetch_sub(1, Ordering::AcqRel);
        }
    }
}
