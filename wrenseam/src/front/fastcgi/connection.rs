//! One FastCGI connection: its records, and the requests that they make up.
use super::answers::{request_tag, status_response, FastCgiClient};
use super::partial::{EarlyRejection, PartialRequest, Rejection};
use super::records::{
    decode_pairs, end_request, get_values_result, unknown_type, BeginRequest, FastCgiError, Record,
    RecordDecoder, ABORT_REQUEST, BEGIN_REQUEST, GET_VALUES, PARAMS, STDIN,
};
use crate::front::connection::{
    self, ConnectionError, ConnectionLog, ConnectionReader, Flow, Protocol,
};
use crate::front::{messages, ListenerContext, ParameterError};
use crate::limits::Limits;
use crate::net::SlotGuard;
use may::net::TcpStream;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

static LOG: ConnectionLog = ConnectionLog::new();

/// Serves one connection until it ends.
pub fn serve(stream: TcpStream, context: &ListenerContext, guard: SlotGuard) {
    let protocol = Protocol {
        front: "fastcgi",
        log: &LOG,
    };
    let read = |reader: &mut ConnectionReader, client: &Arc<FastCgiClient>| {
        FastCgiConnection::new(context, client.clone()).run(reader)
    };
    connection::serve(stream, context, &guard, &protocol, FastCgiClient::new, read);
}

/// The requests of one connection.
pub(super) struct FastCgiConnection<'a> {
    pub(super) context: &'a ListenerContext,
    pub(super) client: Arc<FastCgiClient>,
    partial: HashMap<u16, PartialRequest>,
    /// How many requests of it have been sent to the core.
    pub(super) submitted: u64,
    /// Bytes discarded of requests that have been rejected.
    discarded: usize,
}

impl<'a> FastCgiConnection<'a> {
    fn new(context: &'a ListenerContext, client: Arc<FastCgiClient>) -> Self {
        FastCgiConnection {
            context,
            client,
            partial: HashMap::new(),
            submitted: 0,
            discarded: 0,
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
            while let Some(record) = records.next(&mut reader.ring)? {
                self.handle(&record)?;
            }
            if checked_at.elapsed() >= check_interval {
                checked_at = Instant::now();
                self.check_read_timeouts(&records)?;
                if self.is_between_requests(&records) && reader.check_idle_timeout() == Flow::Ended
                {
                    return Ok(());
                }
            }
            reader.finish_turn();
        }
    }

    fn is_between_requests(&self, records: &RecordDecoder) -> bool {
        self.partial.is_empty() && records.is_between_records()
    }

    /// Rejects requests that are not complete in time, or ends the connection if no other is pending on it. Guards
    /// against requests that never end: each needs a response or a close, and holds memory.
    fn check_read_timeouts(&mut self, records: &RecordDecoder) -> Result<(), ConnectionError> {
        let limit = self.context.limits.request_read_timeout;
        if records.is_overdue(limit) && self.client.channel.slot.is_idle() {
            return Err(FastCgiError::RecordTimeout.into());
        }
        let any_overdue = self
            .partial
            .values()
            .any(|partial| partial.is_overdue(limit));
        if any_overdue && self.client.channel.slot.is_idle() {
            return Err(ConnectionError::RequestTimeout);
        }
        let overdue = |partial: &PartialRequest| partial.is_accepted() && partial.is_overdue(limit);
        let request_ids: Vec<u16> = self
            .partial
            .iter()
            .filter(|(_, partial)| overdue(partial))
            .map(|(&request_id, _)| request_id)
            .collect();
        for request_id in request_ids {
            self.reject_partial(request_id, ParameterError::Incomplete.into());
        }
        Ok(())
    }

    /// Answers a request that is still being read: a client that sends without end would else get no response.
    fn reject_partial(&mut self, request_id: u16, rejection: Rejection) {
        let Some(partial) = self.partial.get_mut(&request_id) else {
            return;
        };
        partial.reject();
        let close = partial.close;
        self.reject(request_id, rejection, close);
    }

    pub(super) fn reject(&self, request_id: u16, rejection: Rejection, close: bool) {
        match rejection {
            Rejection::Early(reason) => self.end_at_once(request_id, reason),
            Rejection::Invalid(error) => {
                log_limited!("{}", messages::fastcgi_request_invalid(request_id, &error));
                let response = status_response(request_id, "400 Bad Request");
                self.client.channel.out.send(response);
            }
        }
        self.client.channel.slot.touch();
        self.client.channel.close_if(close);
    }

    /// Counts what is discarded; too much of it ends the connection.
    fn discard(&mut self, bytes: usize) -> Result<(), ConnectionError> {
        self.discarded += bytes;
        if self.discarded > self.context.limits.max_discarded_bytes {
            return Err(FastCgiError::DiscardLimit.into());
        }
        Ok(())
    }

    fn handle(&mut self, record: &Record) -> Result<(), ConnectionError> {
        let Record {
            record_type,
            request_id,
            content,
        } = *record;
        match (record_type, request_id) {
            (GET_VALUES, 0) => self.report_values(content),
            (_, 0) => self.client.channel.out.send(unknown_type(record_type)),
            (BEGIN_REQUEST, _) => return self.begin(request_id, content),
            (ABORT_REQUEST, _) => self.abort(request_id),
            (PARAMS, _) => return self.extend(request_id, content, PartialRequest::extend_params),
            (STDIN, _) if content.is_empty() => return self.finish_body(request_id),
            (STDIN, _) => return self.extend(request_id, content, PartialRequest::extend_body),
            // DATA belongs to another role; other types mean nothing to a Responder.
            _ => return self.discard(content.len()),
        }
        Ok(())
    }

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

    fn begin(&mut self, request_id: u16, content: &[u8]) -> Result<(), ConnectionError> {
        let begin = BeginRequest::parse(content)?;
        let open = self.client.open.lock();
        let open = open.map_err(|_| ConnectionError::Poisoned)?;
        let open_count = open.len() + self.partial.len();
        let is_open = open.contains_key(&request_id) || self.partial.contains_key(&request_id);
        drop(open);
        if is_open {
            return Err(FastCgiError::DuplicateRequestId(request_id).into());
        }
        if !begin.is_responder() {
            self.end_at_once(request_id, EarlyRejection::UnknownRole);
        } else if open_count >= self.context.limits.max_requests_per_connection {
            self.end_at_once(request_id, EarlyRejection::TooManyRequests);
        } else {
            let partial =
                PartialRequest::new(!begin.keeps_connection(), self.context.budget.reserve(0));
            self.partial.insert(request_id, partial);
        }
        Ok(())
    }

    /// Ends a request whose parameters are not looked at; its connection stays.
    fn end_at_once(&self, request_id: u16, reason: EarlyRejection) {
        log_limited!(
            "{}",
            messages::fastcgi_request_rejected(request_id, &reason)
        );
        let response = end_request(request_id, reason.status());
        self.client.channel.out.send(response);
    }

    fn abort(&mut self, request_id: u16) {
        self.partial.remove(&request_id);
        let Ok(mut open) = self.client.open.lock() else {
            return;
        };
        if let Some(request) = open.remove(&request_id) {
            request.client_gone.store(true, Ordering::Release);
            let slot = &self.client.channel.slot;
            slot.finish_request(false);
            let tag = request_tag(request.use_number, request_id);
            self.context.core.request_cancelled(slot.number, tag);
        }
    }

    /// The request of this id, if more of it is wanted.
    fn accepted(&mut self, request_id: u16) -> Option<&mut PartialRequest> {
        self.partial
            .get_mut(&request_id)
            .filter(|partial| partial.is_accepted())
    }

    /// Appends to one of the streams of a request.
    fn extend(
        &mut self,
        request_id: u16,
        content: &[u8],
        append: fn(&mut PartialRequest, &[u8], &Limits) -> Result<(), Rejection>,
    ) -> Result<(), ConnectionError> {
        let limits = &self.context.limits;
        let Some(partial) = self.accepted(request_id) else {
            return self.discard(content.len());
        };
        if let Err(rejection) = append(partial, content, limits) {
            self.reject_partial(request_id, rejection);
        }
        Ok(())
    }

    /// The body's last record has come.
    fn finish_body(&mut self, request_id: u16) -> Result<(), ConnectionError> {
        match self.partial.remove(&request_id) {
            Some(partial) if partial.is_accepted() => self.complete(request_id, partial),
            _ => Ok(()),
        }
    }
}
