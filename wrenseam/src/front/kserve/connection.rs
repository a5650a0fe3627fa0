//! Serves one HTTP connection, of a KServe v2 client or of the administration API.
use super::admin_api;
use super::answers::HttpClient;
use super::decoder::{advice_header, Decoded, HttpError, HttpRequest, RequestDecoder};
use super::routes::{self, Reply};
use crate::front::connection::{
    self, ConnectionError, ConnectionLog, ConnectionReader, Flow, LastRead, Protocol,
};
use crate::front::ListenerContext;
use crate::http::response;
use crate::net::{SlotGuard, HTTP_REQUEST_UNITS};
use may::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// The interim response for which a client waits before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

static LOG: ConnectionLog = ConnectionLog::new();

/// Serves one KServe v2 client connection until it ends.
pub fn serve(stream: TcpStream, context: &ListenerContext, guard: SlotGuard) {
    serve_routes(stream, context, &guard, "kserve", routes::reply);
}

/// Serves one connection of the read-only administration API.
pub fn serve_admin(stream: TcpStream, context: &ListenerContext, guard: SlotGuard) {
    serve_routes(stream, context, &guard, "admin", admin_api::reply);
}

/// A function that handles one request according to its method and path.
type Routes = fn(&HttpConnection, HttpRequest) -> Reply;

fn serve_routes(
    stream: TcpStream,
    context: &ListenerContext,
    guard: &SlotGuard,
    front: &'static str,
    routes: Routes,
) {
    let protocol = Protocol {
        front,
        can_cancel: false,
        log: &LOG,
    };
    let read = |reader: &mut ConnectionReader, client: &Arc<HttpClient>| {
        let mut connection = HttpConnection {
            context,
            client: client.clone(),
            tag: 0,
            submitted: 0,
            last_read: LastRead::default(),
            routes,
        };
        connection.run(reader)
    };
    connection::serve(stream, context, guard, &protocol, HttpClient::new, read);
}

/// The state of one HTTP connection while its requests are read.
pub(super) struct HttpConnection<'a> {
    pub(super) context: &'a ListenerContext,
    pub(super) client: Arc<HttpClient>,
    /// The tag of the last complete request. Tags are counted from 1; 0 before the first request.
    pub(super) tag: u64,
    /// The number of requests that have been passed to the core.
    submitted: u64,
    /// When the data that is being handled was read.
    pub(super) last_read: LastRead,
    routes: Routes,
}

impl HttpConnection<'_> {
    fn run(&mut self, reader: &mut ConnectionReader) -> Result<(), ConnectionError> {
        let limits = &self.context.limits;
        let mut decoder = RequestDecoder::new(self.context.partial_request_budget.clone());
        let mut checked_at = Instant::now();
        loop {
            if reader.receive(decoder.is_between_requests())? == Flow::Ended {
                return Ok(());
            }
            self.last_read = reader.last_read();
            // A request that is never completed would otherwise hold the connection's slot and memory forever.
            if decoder.is_overdue(limits.request_read_timeout) {
                self.respond_last(reader, &HttpError::Timeout);
                return Err(ConnectionError::RequestTimeout);
            }
            while let Some(decoded) = self.decode(&mut decoder, reader)? {
                reader.take_turn(HTTP_REQUEST_UNITS);
                let submitted = self.submitted;
                let flow = self
                    .handle(decoded)
                    .inspect_err(|error| self.reject_excess_request(reader, error))?;
                if self.submitted > submitted {
                    reader.resume_work(); // it may have waited for the core
                }
                if reader.is_input_refused() {
                    reader.close_after_answers();
                    return Ok(());
                }
                if flow == Flow::Ended {
                    // No further request is read. Input is still read, only to notice that the client disconnects.
                    reader.discard_until_closed();
                    return Ok(());
                }
            }
            // After the requests, as a connection in use has some in almost every read.
            if checked_at.elapsed() >= limits.client_check_interval {
                checked_at = Instant::now();
                let is_idle = decoder.is_between_requests() && reader.ring.is_empty();
                if is_idle && reader.check_idle_timeout() == Flow::Ended {
                    return Ok(());
                }
            }
        }
    }

    /// Decodes the next request. One that cannot be read is answered with an error.
    fn decode(
        &self,
        decoder: &mut RequestDecoder,
        reader: &mut ConnectionReader,
    ) -> Result<Option<Decoded>, HttpError> {
        decoder
            .next(&mut reader.ring, &self.context.limits)
            .inspect_err(|error| self.respond_last(reader, error))
    }

    /// Handles what was decoded. Returns whether the connection accepts further requests.
    fn handle(&mut self, decoded: Decoded) -> Result<Flow, ConnectionError> {
        match decoded {
            Decoded::ExpectsContinue => {
                self.client.channel.out.send(CONTINUE.to_vec());
                Ok(Flow::Open)
            }
            Decoded::Request(request) => {
                let close = request.head.close;
                self.complete(request)?;
                Ok(if close { Flow::Ended } else { Flow::Open })
            }
        }
    }

    /// Rejects a request for which no response can be added to the pending ones, which are sent before the connection
    /// closes.
    fn reject_excess_request(&self, reader: &mut ConnectionReader, error: &ConnectionError) {
        if matches!(error, ConnectionError::TooManyRequests(_)) {
            self.respond_last(reader, &HttpError::TooManyRequests);
        }
    }

    /// Sends the response to a request that cannot be read, behind those to the requests before it. The connection closes
    /// after it, and input is discarded until then.
    fn respond_last(&self, reader: &mut ConnectionReader, error: &HttpError) {
        let tag = self.tag + 1;
        // Sent even if the connection has the maximum number of pending responses.
        let _ = self.client.add_pending(tag, true, usize::MAX);
        self.client.respond(tag, |close| error.response(close));
        reader.discard_until_closed();
    }

    /// Handles a complete request: answers it at once or passes it to the core.
    fn complete(&mut self, request: HttpRequest) -> Result<(), ConnectionError> {
        self.tag += 1;
        let limit = self.context.limits.max_requests_per_connection;
        self.client
            .add_pending(self.tag, request.head.close, limit)?;
        match (self.routes)(self, request) {
            Reply::Deferred => {
                self.submitted += 1;
                Ok(())
            }
            Reply::Evicted => Err(ConnectionError::Evicted),
            Reply::Now { status, body } => {
                self.client.channel.slot.touch();
                self.client.respond(self.tag, |close| {
                    response(status.as_str(), advice_header(status), &body, close)
                });
                Ok(())
            }
        }
    }
}
