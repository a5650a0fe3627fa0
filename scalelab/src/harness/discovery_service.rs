//! A simulated discovery service: a watch stream of endpoint events over HTTP.
use super::{failed, lock, spawn_thread, WatchEvent};
use crate::ExperimentError;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which a watcher is sent a comment line while there are no events for it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A discovery service that counts its watches and what it sends on them.
pub struct DiscoveryService {
    /// The address at which it serves watches.
    pub address: SocketAddr,
    state: Arc<ServiceState>,
}

#[derive(Default)]
struct ServiceState {
    feed: Mutex<EventFeed>,
    changed: Condvar,
    bytes_sent: AtomicU64,
    events_sent: AtomicU64,
    watches: AtomicU64,
    /// Watches that were closed at once because the service was down.
    rejected: AtomicU64,
}

#[derive(Default)]
struct EventFeed {
    /// The events in order of revision; a watcher is sent those after its last revision.
    events: Vec<Arc<WatchEvent>>,
    /// Number of interruptions so far; a connection closes when it differs from the number at its start.
    interruptions: u64,
    /// Whether new watches are closed at once.
    down: bool,
}

impl EventFeed {
    /// The events with a higher revision than this.
    fn after(&self, revision: u64) -> Vec<Arc<WatchEvent>> {
        let later = self.events.iter().filter(|event| event.revision > revision);
        later.cloned().collect()
    }
}

impl DiscoveryService {
    /// Starts a service that sends these events to each new watcher.
    ///
    /// # Errors
    /// The listener or the thread cannot be created.
    pub fn start(events: Vec<WatchEvent>) -> Result<DiscoveryService, ExperimentError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let state = Arc::new(ServiceState::default());
        lock(&state.feed).events = events.into_iter().map(Arc::new).collect();
        let accepting = state.clone();
        spawn_thread(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                let _ = spawn_thread(move || drop(serving.serve(stream)));
            }
        })?;
        Ok(DiscoveryService { address, state })
    }

    /// Adds an event and sends it to all watchers.
    pub fn publish(&self, event: WatchEvent) {
        lock(&self.state.feed).events.push(Arc::new(event));
        self.state.changed.notify_all();
    }

    /// Takes the service down: closes all connections, and new ones at once, until [`DiscoveryService::restore`]. The
    /// given events replace those that watchers are sent.
    pub fn interrupt(&self, events: Vec<WatchEvent>) {
        let mut feed = lock(&self.state.feed);
        feed.events = events.into_iter().map(Arc::new).collect();
        feed.interruptions += 1;
        feed.down = true;
        self.state.changed.notify_all();
    }

    /// Brings the service up again after [`DiscoveryService::interrupt`].
    pub fn restore(&self) {
        lock(&self.state.feed).down = false;
    }

    /// Bytes of events sent so far, over all watchers.
    pub fn bytes(&self) -> u64 {
        self.state.bytes_sent.load(Ordering::Relaxed)
    }

    /// Events sent so far, over all watchers.
    pub fn events(&self) -> u64 {
        self.state.events_sent.load(Ordering::Relaxed)
    }

    /// Watches that were closed at once because the service was down.
    pub fn rejected(&self) -> u64 {
        self.state.rejected.load(Ordering::Relaxed)
    }

    /// Watches that were accepted and served.
    pub fn watches(&self) -> u64 {
        self.state.watches.load(Ordering::Relaxed)
    }
}

/// Reads the head of a request. Returns the revision of the last event that the watcher has, 0 if it names none; `None`
/// if the connection ended before the end of the head.
fn last_event_id(stream: &TcpStream) -> std::io::Result<Option<u64>> {
    let mut last = 0;
    let mut head = BufReader::new(stream.try_clone()?);
    loop {
        let mut line = String::new();
        if head.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
            last = id.trim().parse().unwrap_or(0);
        }
        if line.trim().is_empty() {
            return Ok(Some(last));
        }
    }
}

impl ServiceState {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let interruptions = lock(&self.feed).interruptions;
        let Some(mut revision) = last_event_id(&stream)? else {
            return Ok(());
        };
        if lock(&self.feed).down {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            return stream.shutdown(Shutdown::Both);
        }
        self.watches.fetch_add(1, Ordering::Relaxed);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        while let Some(events) = self.wait_for_events(interruptions, revision) {
            if events.is_empty() {
                stream.write_all(b":\n\n")?;
            }
            for event in events {
                self.send(&mut stream, &event)?;
                revision = event.revision;
            }
        }
        stream.shutdown(Shutdown::Both)
    }

    /// Waits for events after this revision, at most for a heartbeat interval. Returns them, an empty list if none
    /// came, or `None` if the service was interrupted.
    fn wait_for_events(&self, interruptions: u64, revision: u64) -> Option<Vec<Arc<WatchEvent>>> {
        let mut feed = lock(&self.feed);
        if feed.interruptions == interruptions && feed.after(revision).is_empty() {
            let waited = self.changed.wait_timeout(feed, HEARTBEAT_INTERVAL);
            feed = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if feed.interruptions != interruptions {
            return None;
        }
        Some(feed.after(revision))
    }

    fn send(&self, stream: &mut TcpStream, event: &WatchEvent) -> std::io::Result<()> {
        let text = format!("id: {}\ndata: {}\n\n", event.revision, event.body);
        stream.write_all(text.as_bytes())?;
        self.bytes_sent
            .fetch_add(text.len() as u64, Ordering::Relaxed);
        self.events_sent.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}
