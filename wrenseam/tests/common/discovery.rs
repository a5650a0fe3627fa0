//! A stand-in discovery service: watch streams of server-sent events.
use super::support::http::read_message;
use super::support::sockets::listen;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const COMMENT: &[u8] = b": here\n\n";
/// Time between two comments on a stream that carries nothing else.
const COMMENT_INTERVAL: Duration = Duration::from_millis(100);

/// A discovery service that accepts watches and leaves to the test what they carry.
pub(crate) struct DiscoveryService {
    pub(crate) address: SocketAddr,
    /// The watches that the program began, in their order.
    pub(crate) watches: Receiver<WatchStream>,
}

/// A watch that the program began.
pub(crate) struct WatchStream {
    /// The last event that the program says it knows.
    pub(crate) last_event_id: String,
    stream: TcpStream,
}

impl DiscoveryService {
    pub(crate) fn start() -> DiscoveryService {
        let (begun, watches) = channel();
        let address = listen(move |stream| {
            if let Some(watch) = WatchStream::accept(stream) {
                let _ = begun.send(watch); // the test may have ended
            }
        });
        DiscoveryService { address, watches }
    }
}

impl WatchStream {
    fn accept(mut stream: TcpStream) -> Option<WatchStream> {
        let request = read_message(&mut stream).ok()?;
        let last_event_id = request.header("Last-Event-ID").expect("the last event");
        let _ = stream.write_all(STREAM_HEAD); // it may have closed
        Some(WatchStream {
            last_event_id: last_event_id.to_owned(),
            stream,
        })
    }

    /// Sends an event that a worker came to this state.
    pub(crate) fn send_event(&self, id: &str, worker: &str, state: &str) {
        let instance = format!(
            r#"{{"instanceId":"{worker}","hostPort":"127.0.0.1:9","zone":"hall-a","machineType":"std","cell":0,"lifecycle":"{state}","startedAtMs":0}}"#
        );
        let pool = format!(r#"{{"reset":false,"instances":[{instance}]}}"#);
        let event = format!("id: {id}\ndata: {{\"rev\":{id},\"pool\":{pool}}}\n\n");
        let mut stream = &self.stream;
        stream.write_all(event.as_bytes()).expect("written");
    }

    /// Sends a comment now and then, until the connection ends.
    pub(crate) fn send_comments(&self) {
        let mut stream = self.stream.try_clone().expect("cloned");
        std::thread::spawn(move || {
            while stream.write_all(COMMENT).is_ok() {
                std::thread::sleep(COMMENT_INTERVAL);
            }
        });
    }

    /// Ends the connection.
    pub(crate) fn close(&self) {
        self.stream.shutdown(Shutdown::Both).expect("open");
    }
}
