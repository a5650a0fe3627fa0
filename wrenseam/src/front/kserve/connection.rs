//! One HTTP connection of a v2 client or of the administration API.
use super::admin_api;
use super::answers::HttpClient;
use super::decoder::{Decoded, HttpError, HttpRequest, RequestDecoder};
use super::routes::{self, Reply};
use crate::front::connection::{
    self, ConnectionError, ConnectionLog, ConnectionReader, Flow, Protocol,
};
use crate::front::ListenerContext;
use crate::http::{response, Status};
use crate::net::SlotGuard;
use may::net::TcpStream;
use std::sync::Arc;

/// The interim response after which a client sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The header beside a 503 that is given without the core's advice.
const RETRY_AFTER: &str = "Retry-After: 1\r\n";

static LOG: ConnectionLog = ConnectionLog::new();

/// Serves one v2 client connection until it ends.
pub fn serve(stream: TcpStream, context: &ListenerContext, guard: SlotGuard) {
    serve_routes(stream, context, &guard, "kserve", routes::reply);
}

/// Serves one connection of the read-only administration API.
pub fn serve_admin(stream: TcpStream, context: &ListenerContext, guard: SlotGuard) {
    serve_routes(stream, context, &guard, "admin", admin_api::reply);
}

/// What answers the requests of a connection.
type Routes = fn(&HttpConnection, HttpRequest) -> Reply;

fn serve_routes(
    stream: TcpStream,
    context: &ListenerContext,
    guard: &SlotGuard,
    front: &'static str,
    routes: Routes,
) {
    let protocol = Protocol { front, log: &LOG };
    let read = |reader: &mut ConnectionReader, client: &Arc<HttpClient>| {
        let mut connection = HttpConnection {
            context,
            client: client.clone(),
            tag: 0,
            routes,
        };
        connection.run(reader)
    };
    connection::serve(stream, context, guard, &protocol, HttpClient::new, read);
}

/// The requests of one connection.
pub(super) struct HttpConnection<'a> {
    pub(super) context: &'a ListenerContext,
    pub(super) client: Arc<HttpClient>,
    /// The tag of the last complete request, counted from 1.
    pub(super) tag: u64,
    routes: Routes,
}

impl HttpConnection<'_> {
    fn run(&mut self, reader: &mut ConnectionReader) -> Result<(), ConnectionError> {
        let limits = &self.context.limits;
        let mut decoder = RequestDecoder::default();
        loop {
            if reader.receive(decoder.is_between_requests())? == Flow::Ended {
                return Ok(());
            }
            // Guards against requests that are never complete.
            if decoder.is_overdue(limits.request_read_timeout) {
                self.respond_last(&HttpError::Timeout);
                return Err(ConnectionError::RequestTimeout);
            }
            let is_idle = decoder.is_between_requests() && reader.ring.is_empty();
            if is_idle && reader.check_idle_timeout() == Flow::Ended {
                return Ok(());
            }
            while let Some(decoded) = self.decode(&mut decoder, reader)? {
                if self.handle(decoded)? == Flow::Ended {
                    // Nothing more is read, but the client's leaving is seen.
                    reader.discard_until_closed();
                    return Ok(());
                }
            }
            reader.yield_if_full_speed();
        }
    }

    fn decode(
        &self,
        decoder: &mut RequestDecoder,
        reader: &mut ConnectionReader,
    ) -> Result<Option<Decoded>, HttpError> {
        decoder
            .next(&mut reader.ring, &self.context.limits)
            .inspect_err(|error| self.respond_last(error))
    }

    /// Answers what has been read. Whether the connection takes more requests.
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

    /// The response to what cannot be read; the connection ends behind it.
    fn respond_last(&self, error: &HttpError) {
        let tag = self.tag + 1;
        // Given even where as many responses are pending as the connection may have.
        let _ = self.client.open(tag, true, usize::MAX);
        self.client.respond(tag, |close| error.response(close));
    }

    fn complete(&mut self, request: HttpRequest) -> Result<(), ConnectionError> {
        self.tag += 1;
        let limit = self.context.limits.max_requests_per_connection;
        self.client.open(self.tag, request.head.close, limit)?;
        match (self.routes)(self, request) {
            Reply::Deferred => Ok(()),
            Reply::Evicted => Err(ConnectionError::Evicted),
            Reply::Now { status, body } => {
                self.client.channel.slot.touch();
                let headers = match status {
                    Status::ServiceUnavailable => RETRY_AFTER,
                    _ => "",
                };
                self.client.respond(self.tag, |close| {
                    response(status.as_str(), headers, &body, close)
                });
                Ok(())
            }
        }
    }
}
