//! Handles complete FastCGI requests: answers health checks, rejects requests, and passes the others to the core.
use super::answers::{answer_response, request_tag, status_response, OpenRequest};
use super::connection::FastCgiConnection;
use super::partial::{EarlyRejection, PartialRequest};
use super::request::Parameters;
use crate::front::connection::ConnectionError;
use crate::memory_budget::MemoryReservation;
use crate::model::{Answer, Milestone, Request, RequestEnd};
use std::sync::atomic::Ordering;
use std::time::Instant;
use wrenseam_policy::Micros;

/// The retry advice of a process that shuts down, in µs: the shortest that the `Srv-Wait-Ms` header can express, as
/// another process accepts the request at once.
const SHUTDOWN_RETRY_AFTER: Micros = 1_000;

/// The retry advice of a process that drains, in µs: its connection has closed by then, unless its client is slow, and
/// the retry goes to another process.
const DRAIN_RETRY_AFTER: Micros = 300_000;

/// The retry advice for a client that sends more than is taken, in µs.
const BACKLOG_RETRY_AFTER: Micros = 500_000;

impl FastCgiConnection<'_> {
    /// Answers a complete request or passes it to the core.
    pub(super) fn complete(
        &mut self,
        request_id: u16,
        partial: PartialRequest,
    ) -> Result<(), ConnectionError> {
        let received_at = Instant::now();
        let parameters = Parameters::decode(&partial.params);
        if parameters.path() == "/healthz" {
            self.report_health(request_id, partial.close);
            return Ok(());
        }
        if let Some(retry_after) = self.rejection_advice(received_at) {
            self.reject_unseen(request_id, &parameters, partial, retry_after);
            return Ok(());
        }
        let Some(mut reserved_bytes) = self.request_budget.reserve(self.request_size(&partial))
        else {
            let rejection = EarlyRejection::MemoryLimit;
            self.reject(request_id, rejection.into(), partial.close);
            return Ok(());
        };
        let response_memory = reserved_bytes.split(self.context.limits.short_response_bytes);
        let request = parameters.to_request(partial.body, &self.context.limits);
        let request = request.map(|request| Request {
            received_at,
            reserved_bytes: Some(reserved_bytes),
            client_probe: Some(self.client.channel.out.client_probe()),
            timeline: self.last_read.timeline(),
            ..request
        });
        match request {
            Ok(request) => self.submit(request_id, request, response_memory, partial.close),
            Err(error) => {
                self.reject(request_id, error.into(), partial.close);
                Ok(())
            }
        }
    }

    /// The memory that a complete request takes, with what it keeps for a short response.
    fn request_size(&self, partial: &PartialRequest) -> usize {
        let limits = &self.context.limits;
        let records = limits.request_record_bytes + limits.short_response_bytes;
        records + partial.params.len() + partial.body.len()
    }

    fn report_health(&self, request_id: u16, close: bool) {
        let status = if self.context.process_state.accepts_clients() {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let response = status_response(request_id, status);
        self.client.channel.respond_directly(response, close);
    }

    /// The retry advice if requests are rejected before the core sees them. A process that drains or is about to exit does
    /// so, as another process accepts the retry, and so does a connection whose client sends more than is taken or reads
    /// less than it is sent.
    fn rejection_advice(&self, now: Instant) -> Option<Micros> {
        let process_state = &self.context.process_state;
        if process_state.rejects_requests(&self.context.limits) {
            let stopping = process_state.stopping.load(Ordering::Acquire);
            return Some(if stopping {
                SHUTDOWN_RETRY_AFTER
            } else {
                DRAIN_RETRY_AFTER
            });
        }
        let is_far_behind = self.client.channel.out.input().is_far_behind(now);
        let has_backlog = is_far_behind || self.client.channel.has_response_backlog();
        has_backlog.then_some(BACKLOG_RETRY_AFTER)
    }

    /// Rejects a request that the core has not seen.
    fn reject_unseen(
        &self,
        request_id: u16,
        parameters: &Parameters,
        partial: PartialRequest,
        retry_after: Micros,
    ) {
        if let Ok(request) = parameters.to_request(partial.body, &self.context.limits) {
            self.context
                .core
                .answered_at_front(request.class, RequestEnd::Rejected);
        }
        let answer = Answer::Rejected { retry_after };
        let response = answer_response(request_id, &answer);
        self.client
            .channel
            .respond_directly(response, partial.close);
    }

    fn submit(
        &mut self,
        request_id: u16,
        request: Request,
        response_memory: MemoryReservation,
        close: bool,
    ) -> Result<(), ConnectionError> {
        if !self.client.channel.slot.begin_request() {
            return Err(ConnectionError::Evicted);
        }
        self.submitted += 1;
        if let Ok(mut open_requests) = self.client.open_requests.lock() {
            let open_request = OpenRequest {
                sequence_number: self.submitted,
                close,
                client_gone: request.client_gone.clone(),
                response_memory,
                trace: request.trace(),
            };
            open_requests.insert(request_id, open_request);
        }
        let tag = request_tag(self.submitted, request_id);
        request.timeline.reach(Milestone::Queued, Instant::now());
        self.context.core.request(request, self.client.clone(), tag);
        Ok(())
    }
}
