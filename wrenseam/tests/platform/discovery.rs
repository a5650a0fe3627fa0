//! A simulated discovery service that speaks the platform's protocol and can be made unreachable.
use super::support::http::read_message;
use super::{unique_loopback_address, POLL_INTERVAL};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// A comment of the event stream, by which a front end sees that the connection is alive.
const COMMENT: &[u8] = b": here\n\n";
/// Interval at which comments are sent.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// All events published so far. They are numbered from 1.
#[derive(Clone, Default)]
pub(crate) struct EventLog(Arc<Mutex<Vec<PublishedEvent>>>);

struct PublishedEvent {
    json: String,
    published_at: Instant,
}

/// How long events take to reach a front end, while comments come all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventDelay {
    /// From when they are published or requested, whichever is later.
    FromRequest(Duration),
    /// From when they are published.
    FromPublication(Duration),
    /// Without end on a connection whose request came before them; at once on one whose request comes later.
    UntilNextRequest,
}

impl EventDelay {
    /// Whether an event is sent by now on a connection.
    fn is_due(self, published_at: Instant, requested_at: Instant) -> bool {
        let now = Instant::now();
        match self {
            EventDelay::FromRequest(delay) => published_at.max(requested_at) + delay <= now,
            EventDelay::FromPublication(delay) => published_at + delay <= now,
            EventDelay::UntilNextRequest => published_at <= requested_at,
        }
    }
}

impl EventLog {
    /// Adds an event with these instances. The first event is a complete list, each later one lists changed instances.
    pub(crate) fn publish(&self, instances: &[String]) {
        let mut events = self.0.lock().expect("not poisoned");
        let number = events.len() + 1;
        let is_complete = events.is_empty();
        let instances = instances.join(",");
        let json = format!(
            r#"{{"rev":{number},"pool":{{"generation":1,"reset":{is_complete},"instances":[{instances}]}}}}"#
        );
        events.push(PublishedEvent {
            json,
            published_at: Instant::now(),
        });
    }

    /// The events so far, in the form of `known` in a configuration file.
    pub(crate) fn to_known_events(&self) -> String {
        let events = self.0.lock().expect("not poisoned");
        let json: Vec<&str> = events.iter().map(|event| event.json.as_str()).collect();
        format!(
            r#"{{"rev":{},"notices":[{}]}}"#,
            events.len(),
            json.join(",")
        )
    }

    /// The events after event `number` that are due by now on a connection whose request came at `requested_at`, in the
    /// form of the event stream.
    fn events_after(&self, number: usize, requested_at: Instant, delay: EventDelay) -> Vec<String> {
        let events = self.0.lock().expect("not poisoned");
        let later_events = events.iter().enumerate().skip(number);
        later_events
            .take_while(|(_, event)| delay.is_due(event.published_at, requested_at))
            .map(|(index, event)| format!("id: {}\ndata: {}\n\n", index + 1, event.json))
            .collect()
    }
}

/// How the service is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outage {
    /// Open connections are reset, and new ones are refused.
    Refused,
    /// Open connections are reset. New ones are accepted, but nothing is sent on them.
    Silent,
    /// Open connections stay open and new ones are accepted, but nothing is sent on any of them.
    Stalled,
    /// Open connections and each new one are closed in the middle of an event.
    CutShort,
}

#[derive(Default)]
struct ServiceState {
    /// `None` while the service is reachable.
    outage: Option<Outage>,
    /// Open connections.
    streams: Vec<TcpStream>,
    restored_at: Option<Instant>,
    /// `None` while events are sent at once.
    event_delay: Option<EventDelay>,
}

/// A discovery service with its own IP address.
pub(crate) struct DiscoveryService {
    pub(crate) address: SocketAddr,
    log: EventLog,
    state: Arc<Mutex<ServiceState>>,
}

impl DiscoveryService {
    /// Starts a service that sends the events of `log`, including those published later.
    pub(crate) fn start(log: &EventLog) -> DiscoveryService {
        let listener = TcpListener::bind((unique_loopback_address(), 0)).expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::<Mutex<ServiceState>>::default();
        let discovery = DiscoveryService {
            address,
            log: log.clone(),
            state,
        };
        discovery.accept_on(listener);
        discovery
    }

    /// Delays events from now on.
    pub(crate) fn delay_events(&self, delay: EventDelay) {
        let mut state = self.state.lock().expect("not poisoned");
        state.event_delay = Some(delay);
    }

    /// Sends events at once again, also those that were delayed.
    pub(crate) fn end_delay(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.event_delay = None;
    }

    /// Makes the service unreachable.
    pub(crate) fn interrupt(&self, outage: Outage) {
        let mut state = self.state.lock().expect("not poisoned");
        state.outage = Some(outage);
        let streams = std::mem::take(&mut state.streams);
        match outage {
            Outage::Refused | Outage::Silent => streams.iter().for_each(reset),
            Outage::Stalled => state.streams = streams,
            Outage::CutShort => {
                for mut stream in streams {
                    let _ = stream.write_all(b"id: 9"); // it may have closed
                }
            }
        }
    }

    /// Makes the service reachable again. Connections from the outage are reset.
    pub(crate) fn restore(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        let was_refusing = state.outage == Some(Outage::Refused);
        state.outage = None;
        state.streams.iter().for_each(reset);
        state.streams.clear();
        state.restored_at = Some(Instant::now());
        drop(state);
        if was_refusing {
            self.accept_on(TcpListener::bind(self.address).expect("the port is free"));
        }
    }

    /// Accepts connections, each in a thread of its own, until an outage in which they are refused.
    fn accept_on(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("set");
        let state = self.state.clone();
        let log = self.log.clone();
        std::thread::spawn(move || loop {
            if state.lock().expect("not poisoned").outage == Some(Outage::Refused) {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let (state, log) = (state.clone(), log.clone());
                    std::thread::spawn(move || serve(stream, &state, &log));
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        });
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Reads one request and sends events until the connection ends or an outage begins.
fn serve(mut stream: TcpStream, state: &Mutex<ServiceState>, log: &EventLog) {
    let _ = stream.set_nonblocking(false);
    let Ok(request) = read_message(&mut stream) else {
        return;
    };
    let last_event = request.header("Last-Event-ID").unwrap_or("0");
    let mut last_event: usize = last_event.parse().expect("a number");
    {
        let mut state = state.lock().expect("not poisoned");
        match state.outage {
            Some(Outage::CutShort) => {
                let _ = stream.write_all(STREAM_HEAD); // it may have closed
                let _ = stream.write_all(b"id: 9");
                return;
            }
            Some(_) => return state.streams.push(stream),
            None => state.streams.push(stream.try_clone().expect("cloned")),
        }
    }
    if stream.write_all(STREAM_HEAD).is_err() {
        return;
    }
    let requested_at = Instant::now();
    let mut commented_at = requested_at;
    loop {
        let delay = {
            let state = state.lock().expect("not poisoned");
            if state.outage.is_some() {
                return;
            }
            state.event_delay
        };
        let delay = delay.unwrap_or(EventDelay::FromPublication(Duration::ZERO));
        let events = log.events_after(last_event, requested_at, delay);
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
