//! A stand-in discovery service of the platform's protocol that can be out of reach.
use super::support::http::read_message;
use super::{own_address, POLL_INTERVAL};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const COMMENT: &[u8] = b": here\n\n";
/// Time between two comments.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// All events so far, each as JSON; the first is number 1.
#[derive(Clone, Default)]
pub(crate) struct EventLog(Arc<Mutex<Vec<String>>>);

impl EventLog {
    /// Adds an event with these instances; the complete list, if it is the first.
    pub(crate) fn publish(&self, instances: &[String]) {
        let mut events = self.0.lock().expect("not poisoned");
        let number = events.len() + 1;
        let is_complete = events.is_empty();
        let instances = instances.join(",");
        events.push(format!(
            r#"{{"rev":{number},"pool":{{"generation":1,"reset":{is_complete},"instances":[{instances}]}}}}"#
        ));
    }

    /// The events so far, as a start configuration holds them.
    pub(crate) fn known(&self) -> String {
        let events = self.0.lock().expect("not poisoned");
        format!(
            r#"{{"rev":{},"notices":[{}]}}"#,
            events.len(),
            events.join(",")
        )
    }

    /// The events after this number, as they go over the wire.
    fn after(&self, number: usize) -> Vec<String> {
        let events = self.0.lock().expect("not poisoned");
        let later = events.iter().enumerate().skip(number);
        later
            .map(|(index, event)| format!("id: {}\ndata: {event}\n\n", index + 1))
            .collect()
    }
}

/// How the service is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outage {
    /// Connections are reset and no new one is accepted.
    Refused,
    /// Connections are accepted, and nothing is ever sent.
    Silent,
    /// Connections stay open and nothing more is sent; new ones are accepted, and nothing is sent there either.
    Stalled,
    /// Connections end in the middle of an event, and those that come after get the same.
    CutShort,
}

#[derive(Default)]
struct Service {
    outage: Option<Outage>,
    streams: Vec<TcpStream>,
    restored_at: Option<Instant>,
}

/// A discovery service at an address of its own.
pub(crate) struct DiscoveryService {
    pub(crate) address: SocketAddr,
    log: EventLog,
    service: Arc<Mutex<Service>>,
}

impl DiscoveryService {
    /// Starts a service that tells the events of this log.
    pub(crate) fn start(log: &EventLog) -> DiscoveryService {
        let listener = TcpListener::bind((own_address(), 0)).expect("a port");
        let address = listener.local_addr().expect("bound");
        let service = Arc::<Mutex<Service>>::default();
        let discovery = DiscoveryService {
            address,
            log: log.clone(),
            service,
        };
        discovery.accept_on(listener);
        discovery
    }

    /// Puts the service out of reach.
    pub(crate) fn interrupt(&self, outage: Outage) {
        let mut service = self.service.lock().expect("not poisoned");
        service.outage = Some(outage);
        let streams = std::mem::take(&mut service.streams);
        match outage {
            Outage::Refused | Outage::Silent => streams.iter().for_each(reset_on_close),
            Outage::Stalled => service.streams = streams,
            Outage::CutShort => {
                for mut stream in streams {
                    let _ = stream.write_all(b"id: 9"); // it may have closed
                }
            }
        }
    }

    /// Brings the service back.
    pub(crate) fn restore(&self) {
        let mut service = self.service.lock().expect("not poisoned");
        let was_refusing = service.outage == Some(Outage::Refused);
        service.outage = None;
        service.streams.iter().for_each(reset_on_close);
        service.streams.clear();
        service.restored_at = Some(Instant::now());
        drop(service);
        if was_refusing {
            self.accept_on(TcpListener::bind(self.address).expect("the port is free"));
        }
    }

    /// Accepts connections until the service refuses them.
    fn accept_on(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("set");
        let service = self.service.clone();
        let log = self.log.clone();
        std::thread::spawn(move || loop {
            if service.lock().expect("not poisoned").outage == Some(Outage::Refused) {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let (service, log) = (service.clone(), log.clone());
                    std::thread::spawn(move || serve(stream, &service, &log));
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        });
    }
}

fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Serves one request until the connection ends or the service is out of reach.
fn serve(mut stream: TcpStream, service: &Mutex<Service>, log: &EventLog) {
    let _ = stream.set_nonblocking(false);
    let Ok(request) = read_message(&mut stream) else {
        return;
    };
    let last_event = request.header("Last-Event-ID").unwrap_or("0");
    let mut last_event: usize = last_event.parse().expect("a number");
    {
        let mut service = service.lock().expect("not poisoned");
        match service.outage {
            Some(Outage::CutShort) => {
                let _ = stream.write_all(STREAM_HEAD); // it may have closed
                let _ = stream.write_all(b"id: 9");
                return;
            }
            Some(_) => return service.streams.push(stream),
            None => service.streams.push(stream.try_clone().expect("cloned")),
        }
    }
    if stream.write_all(STREAM_HEAD).is_err() {
        return;
    }
    let mut commented_at = Instant::now();
    loop {
        if service.lock().expect("not poisoned").outage.is_some() {
            return;
        }
        let events = log.after(last_event);
        last_event += events.len();
        let mut bytes = events.concat().into_bytes();
        if commented_at.elapsed() >= COMMENT_INTERVAL {
            bytes.extend(COMMENT);
            commented_at = Instant::now();
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
