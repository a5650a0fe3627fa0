//! A stand-in discovery service, which serves watches as streams of server-sent events.
use super::support::http::read_message;
use super::support::sockets::listen;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Response head of a watch.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// A comment event, which shows that the watch is alive and carries no data.
const COMMENT: &[u8] = b": here\n\n";
/// Interval between the comments of `send_comments`.
const COMMENT_INTERVAL: Duration = Duration::from_millis(100);

/// A discovery service that accepts watches and sends on them only what the test tells it to.
pub(crate) struct DiscoveryService {
    pub(crate) address: SocketAddr,
    /// Watches that the front end started, in order of arrival.
    pub(crate) watches: Receiver<WatchStream>,
}

/// A watch that the front end started.
pub(crate) struct WatchStream {
    /// Value of the request's `Last-Event-ID` header.
    pub(crate) last_event_id: String,
    stream: TcpStream,
}

impl DiscoveryService {
    /// Listens on a free loopback port.
    pub(crate) fn start() -> DiscoveryService {
        let (sender, watches) = channel();
        let address = listen(move |stream| {
            if let Some(watch) = WatchStream::accept(stream) {
                let _ = sender.send(watch); // fails once the test has ended
            }
        });
        DiscoveryService { address, watches }
    }
}

impl WatchStream {
    /// Reads the request and sends the response head; `None` if the connection ends before the request is complete.
    fn accept(mut stream: TcpStream) -> Option<WatchStream> {
        let request = read_message(&mut stream).ok()?;
        let last_event_id = request
            .header("Last-Event-ID")
            .expect("a Last-Event-ID header");
        let _ = stream.write_all(STREAM_HEAD); // the front end may have closed the connection
        Some(WatchStream {
            last_event_id: last_event_id.to_owned(),
            stream,
        })
    }

    /// Sends an event that reports a worker in the lifecycle state `state`.
    pub(crate) fn send_event(&self, id: &str, worker: &str, state: &str) {
        let instance = format!(
            r#"{{"instanceId":"{worker}","hostPort":"127.0.0.1:9","zone":"hall-a","machineType":"std","cell":0,"lifecycle":"{state}","startedAtMs":0}}"#
        );
        let pool = format!(r#"{{"reset":false,"instances":[{instance}]}}"#);
        let event = format!("id: {id}\ndata: {{\"rev\":{id},\"pool\":{pool}}}\n\n");
        let mut stream = &self.stream;
        stream.write_all(event.as_bytes()).expect("send an event");
    }

    /// Sends a comment every `COMMENT_INTERVAL` in the background until the connection ends.
    pub(crate) fn send_comments(&self) {
        let mut stream = self.stream.try_clone().expect("clone the socket");
        std::thread::spawn(move || {
            while stream.write_all(COMMENT).is_ok() {
                std::thread::sleep(COMMENT_INTERVAL);
            }
        });
    }

    /// Closes the connection of the watch.
    pub(crate) fn close(&self) {
        self.stream
            .shutdown(Shutdown::Both)
            .expect("shut down an open connection");
    }
}
