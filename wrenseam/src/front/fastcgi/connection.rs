//! Serves one FastCGI connection: reads its records and assembles requests from them.
use super::answers::{request_tag, status_response, FastCgiClient};
use super::decoder::{Admission, Decoded, RecordDecoder, RecordHeader};
use super::partial::{EarlyRejection, PartialRequest, Rejection};
use super::records::{
    decode_pairs, end_request, get_values_result, unknown_type, BeginRequest, FastCgiError, Record,
    ABORT_REQUEST, BEGIN_REQUEST, GET_VALUES, PARAMS, STDIN,
};
use crate::front::connection::{
    self, ConnectionError, ConnectionLog, ConnectionReader, Flow, LastRead, Protocol,
};
use crate::front::{messages, ListenerContext, ParameterError};
use crate::memory_budget::MemoryBudget;
use crate::net::SlotGuard;
use may::net::TcpStream;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Units of work that a record counts as.
const RECORD_UNITS: u32 = 1;

static LOG: ConnectionLog = ConnectionLog::new();

/// Serves one FastCGI connection until it ends.
pub fn serve(stream: TcpStream, context: &ListenerContext, guard: SlotGuard) {
    let protocol = Protocol {
        front: "fastcgi",
        can_cancel: true,
        log: &LOG,
    };
    let read = |reader: &mut ConnectionReader, client: &Arc<FastCgiClient>| {
        FastCgiConnection::new(context, client.clone()).run(reader)
    };
    connection::serve(stream, context, &guard, &protocol, FastCgiClient::new, read);
}

/// The state of one FastCGI connection while its requests are read.
pub(super) struct FastCgiConnection<'a> {
    pub(super) context: &'a ListenerContext,
    pub(super) client: Arc<FastCgiClient>,
    /// The memory budget of this connection's requests that are not completely received.
    partial_request_budget: MemoryBudget,
    /// The memory budget of this connection's completely received requests.
    pub(super) request_budget: MemoryBudget,
    /// Requests that are neither completely received nor answered yet, by FastCGI request id.
    partial_requests: HashMap<u16, PartialRequest>,
    /// The number of requests that have been passed to the core.
    pub(super) submitted: u64,
    /// Bytes that have been discarded since the last request began: records of answered requests, and records of types
    /// that are not used.
    discarded: usize,
    /// When the data that is being handled was read.
    pub(super) last_read: LastRead,
}

impl<'a> FastCgiConnection<'a> {
    fn new(context: &'a ListenerContext, client: Arc<FastCgiClient>) -> Self {
        let max_bytes = context.limits.max_connection_request_bytes;
        FastCgiConnection {
            context,
            client,
            partial_request_budget: context.partial_request_budget.part(max_bytes),
            request_budget: context.request_budget.part(max_bytes),
            partial_requests: HashMap::new(),
            submitted: 0,
            discarded: 0,
            last_read: LastRead::default(),
        }
    }

    fn run(&mut self, reader: &mut ConnectionReader) -> Result<(), ConnectionError> {
        let check_interval = self.context.limits.client_check_interval;
        let mut records = RecordDecoder::new();
        let mut checked_at = Instant::now();
        loop {
            if reader.receive(self.is_between_requests(&records))? == Flow::Ended {
                return Ok(());
            }
            self.last_read = reader.last_read();
            while let Some(decoded) = records.next(&mut reader.ring, |header| self.admit(header))? {
                match decoded {
                    Decoded::Record(record) => {
                        reader.take_turn(RECORD_UNITS);
                        let submitted = self.submitted;
                        self.handle(&record)?;
                        if self.submitted > submitted {
                            reader.resume_work(); // it may have waited for the core
                        }
                    }
                    Decoded::Discarded(0) => reader.continue_turn(RECORD_UNITS),
                    Decoded::Discarded(bytes) => {
                        reader.take_turn(RECORD_UNITS);
                        self.discard(bytes)?;
                    }
                }
                if reader.is_input_refused() {
                    reader.close_after_answers();
                    return Ok(());
                }
            }
            if checked_at.elapsed() >= check_interval {
                checked_at = Instant::now();
                self.check_read_timeouts(&records)?;
                if self.is_between_requests(&records) && reader.check_idle_timeout() == Flow::Ended
                {
                    return Ok(());
                }
            }
        }
    }

    fn is_between_requests(&self, records: &RecordDecoder) -> bool {
        self.partial_requests.is_empty() && records.is_between_records()
    }

    /// Rejects requests that were not completely received in time. If the connection has no other request, it is closed
    /// instead. A request that is never completed would otherwise hold memory forever, and its client would get neither a
    /// response nor a close.
    fn check_read_timeouts(&mut self, records: &RecordDecoder) -> Result<(), ConnectionError> {
        let limit = self.context.limits.request_read_timeout;
        let is_slot_idle = self.client.channel.slot.is_idle();
        if records.is_overdue(limit) && is_slot_idle {
            return Err(FastCgiError::RecordTimeout.into());
        }
        let is_overdue = |(_, partial): &(&u16, &PartialRequest)| partial.is_overdue(limit);
        let overdue: Vec<u16> = self
            .partial_requests
            .iter()
            .filter(is_overdue)
            .map(|(&request_id, _)| request_id)
            .collect();
        let has_others = overdue.len() < self.partial_requests.len() || !is_slot_idle;
        if !overdue.is_empty() && !has_others {
            return Err(ConnectionError::RequestTimeout);
        }
        for request_id in overdue {
            self.reject_partial(request_id, ParameterError::ReadTimeout.into());
        }
        Ok(())
    }

    /// Rejects a request that is not completely received, without waiting for the rest of it: a client that sends
    /// without end would otherwise get no response. Its id is free for another request from then on, and what still
    /// arrives of it is discarded.
    fn reject_partial(&mut self, request_id: u16, rejection: Rejection) {
        if let Some(partial) = self.partial_requests.remove(&request_id) {
            self.reject(request_id, rejection, partial.close);
        }
    }

    /// Logs that a request is rejected and sends the response. With `close`, the connection closes after it.
    pub(super) fn reject(&self, request_id: u16, rejection: Rejection, close: bool) {
        match rejection {
            Rejection::Early(reason) => self.reject_early(request_id, reason),
            Rejection::Invalid(error) => {
                log_limited!("{}", messages::fastcgi_request_invalid(request_id, &error));
                let response = status_response(request_id, "400 Bad Request");
                self.client.channel.out.send(response);
            }
        }
        self.client.channel.slot.touch();
        self.client.channel.close_if(close);
    }

    /// Counts discarded bytes, and closes the connection above `Limits::max_discarded_bytes`.
    fn discard(&mut self, bytes: usize) -> Result<(), ConnectionError> {
        self.discarded += bytes;
        if self.discarded > self.context.limits.max_discarded_bytes {
            return Err(FastCgiError::DiscardLimit.into());
        }
        Ok(())
    }

    /// Decides what becomes of a record before its content is received, and handles it if its content does not matter.
    fn admit(&mut self, header: RecordHeader) -> Result<Admission, ConnectionError> {
        let request_id = header.request_id;
        let is_stored = match (header.record_type, request_id) {
            (GET_VALUES, 0) => true,
            (record_type, 0) => {
                self.client.channel.out.send(unknown_type(record_type));
                false
            }
            (BEGIN_REQUEST, _) => {
                self.check_unused(request_id)?;
                true
            }
            (ABORT_REQUEST, _) => {
                self.abort(request_id);
                false
            }
            (PARAMS | STDIN, _) => self.admit_part(header),
            // DATA records are for the Filter role; the other types have no meaning for a Responder.
            _ => false,
        };
        if !is_stored {
            return Ok(Admission::Discard);
        }
        Ok(
            match self.partial_request_budget.reserve(header.content_length) {
                Some(reserved) => Admission::Store(reserved),
                None => self.reject_record(header),
            },
        )
    }

    /// Whether a part of a request is stored. A part that is too long is rejected, with its request, before it comes.
    fn admit_part(&mut self, header: RecordHeader) -> bool {
        let limits = &self.context.limits;
        let Some(partial) = self.partial_requests.get(&header.request_id) else {
            return false;
        };
        let check = match header.record_type {
            PARAMS => partial.check_params(header.content_length, limits),
            _ => partial.check_body(header.content_length, limits),
        };
        if let Err(rejection) = check {
            self.reject_partial(header.request_id, rejection);
            return false;
        }
        true
    }

    /// Rejects the request of a record for which there is no memory.
    fn reject_record(&mut self, header: RecordHeader) -> Admission {
        let rejection = EarlyRejection::MemoryLimit;
        match header.record_type {
            BEGIN_REQUEST => self.reject_early(header.request_id, rejection),
            _ => self.reject_partial(header.request_id, rejection.into()),
        }
        Admission::Discard
    }

    fn handle(&mut self, record: &Record) -> Result<(), ConnectionError> {
        let Record {
            record_type,
            request_id,
            content,
        } = *record;
        match record_type {
            BEGIN_REQUEST => return self.begin(request_id, content),
            PARAMS => self.extend(request_id, content, PartialRequest::extend_params),
            STDIN if content.is_empty() => return self.finish_body(request_id),
            STDIN => self.extend(request_id, content, PartialRequest::extend_body),
            _ => self.report_values(content), // no other record is stored
        }
        Ok(())
    }

    /// Answers GET_VALUES. Variables that are not known are left out of the response, as the protocol requires.
    fn report_values(&self, content: &[u8]) {
        let connections = self.context.limits.max_client_connections;
        let requests = connections * self.context.limits.max_requests_per_connection;
        let mut values = Vec::new();
        for (name, _) in decode_pairs(content) {
            let value = match name.as_str() {
                "FCGI_MAX_CONNS" => connections,
                "FCGI_MAX_REQS" => requests,
                "FCGI_MPXS_CONNS" => 1,
                _ => continue,
            };
            values.push((name, value));
        }
        self.client.channel.out.send(get_values_result(&values));
    }

    /// Fails if the id is that of a request which is not answered yet.
    fn check_unused(&self, request_id: u16) -> Result<(), ConnectionError> {
        let open_requests = self.client.open_requests.lock();
        let open_requests = open_requests.map_err(|_| ConnectionError::Poisoned)?;
        if open_requests.contains_key(&request_id)
            || self.partial_requests.contains_key(&request_id)
        {
            return Err(FastCgiError::DuplicateRequestId(request_id).into());
        }
        Ok(())
    }

    fn begin(&mut self, request_id: u16, content: &[u8]) -> Result<(), ConnectionError> {
        let begin = BeginRequest::parse(content)?;
        self.discarded = 0;
        let open_requests = self.client.open_requests.lock();
        let open_requests = open_requests.map_err(|_| ConnectionError::Poisoned)?;
        let open_count = open_requests.len() + self.partial_requests.len();
        drop(open_requests);
        let request_limit = self.context.limits.max_requests_per_connection;
        if !begin.is_responder() {
            self.reject_early(request_id, EarlyRejection::UnknownRole);
        } else if open_count >= request_limit {
            let rejection = EarlyRejection::TooManyRequests(request_limit);
            self.reject_early(request_id, rejection);
        } else {
            let record_bytes = self.context.limits.request_record_bytes;
            let reserved = self.partial_request_budget.reserve(record_bytes);
            let partial = PartialRequest::new(!begin.keeps_connection(), reserved);
            self.partial_requests.insert(request_id, partial);
        }
        Ok(())
    }

    /// Ends a request without its parameters being parsed. The connection stays open.
    fn reject_early(&self, request_id: u16, reason: EarlyRejection) {
        log_limited!(
            "{}",
            messages::fastcgi_request_rejected(request_id, &reason)
        );
        let response = end_request(request_id, reason.status());
        self.client.channel.out.send(response);
    }

    /// Handles ABORT_REQUEST, by which the client cancels a request. No response is sent.
    fn abort(&mut self, request_id: u16) {
        self.partial_requests.remove(&request_id);
        let Ok(mut open_requests) = self.client.open_requests.lock() else {
            return;
        };
        if let Some(request) = open_requests.remove(&request_id) {
            request.client_gone.store(true, Ordering::Release);
            let slot = &self.client.channel.slot;
            slot.finish_request(false);
            let tag = request_tag(request.sequence_number, request_id);
            self.context.core.request_cancelled(slot.number, tag);
        }
    }

    /// Appends a record's content to a stream of a partly received request with `append`.
    fn extend(
        &mut self,
        request_id: u16,
        content: &[u8],
        append: fn(&mut PartialRequest, &[u8]) -> Result<(), Rejection>,
    ) {
        let appended = self
            .partial_requests
            .get_mut(&request_id)
            .map_or(Ok(()), |partial| append(partial, content));
        if let Err(rejection) = appended {
            self.reject_partial(request_id, rejection);
        }
    }

    /// Handles the empty STDIN record, which ends the body and with it the request.
    fn finish_body(&mut self, request_id: u16) -> Result<(), ConnectionError> {
        match self.partial_requests.remove(&request_id) {
            Some(partial) => self.complete(request_id, partial),
            None => Ok(()),
        }
    }
}
