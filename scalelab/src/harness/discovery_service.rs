//! A stand-in notice discovery.
use super::{failed, lock, thread};
use crate::ExperimentError;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// A stand-in notice discovery.
pub struct DiscoveryService {
    pub address: SocketAddr,
    state: Arc<ServiceState>,
}

#[derive(Default)]
struct ServiceState {
    told: Mutex<EndpointFeed>,
    changed: Condvar,
    /// Bytes of events, events and calls so far.
    bytes: AtomicU64,
    events: AtomicU64,
    calls: AtomicU64,
    /// Calls that were ended at once, while it was down.
    rejected_connections: AtomicU64,
}

#[derive(Default)]
struct EndpointFeed {
    /// Numbers and texts of what a caller is told that is behind.
    events: Vec<(u64, Arc<str>)>,
    /// Raised when all connections are to end.
    cut: u64,
    down: bool,
}

impl DiscoveryService {
    /// Starts it with these events to tell.
    ///
    /// # Errors
    /// No port or thread can be had.
    pub fn start(events: Vec<(u64, String)>) -> Result<DiscoveryService, ExperimentError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let events = events
            .into_iter()
            .map(|(rev, text)| (rev, text.into()))
            .collect();
        let told = Mutex::new(EndpointFeed {
            events,
            ..EndpointFeed::default()
        });
        let state = Arc::new(ServiceState {
            told,
            ..ServiceState::default()
        });
        let of = state.clone();
        thread(move || {
            for stream in listener.incoming().flatten() {
                let of = of.clone();
                let _ = thread(move || drop(of.serve(stream)));
            }
        })?;
        Ok(DiscoveryService { address, state })
    }

    /// Tells one more event.
    pub fn tell(&self, rev: u64, text: String) {
        lock(&self.state.told).events.push((rev, text.into()));
        self.state.changed.notify_all();
    }

    /// Ends all connections and takes none wait_until it is up again; from then on whoever is behind is told `instead`.
    pub fn cut(&self, instead: Vec<(u64, String)>) {
        let mut told = lock(&self.state.told);
        told.events = instead
            .into_iter()
            .map(|(rev, text)| (rev, text.into()))
            .collect();
        (told.cut, told.down) = (told.cut + 1, true);
        self.state.changed.notify_all();
    }

    /// Takes connections again.
    pub fn up(&self) {
        lock(&self.state.told).down = false;
    }

    /// Bytes of events written so far, all callers together.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Events written so far.
    pub fn events(&self) -> u64 {
        self.state.events.load(Ordering::Relaxed)
    }

    /// Calls that it ended at once, as it was down.
    pub fn rejected_connections(&self) -> u64 {
        self.state.rejected_connections.load(Ordering::Relaxed)
    }

    /// Calls that it took.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }
}

impl ServiceState {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut at, mut head) = (0, BufReader::new(stream.try_clone()?));
        let cut = lock(&self.told).cut;
        loop {
            let mut line = String::new();
            if head.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(last) = line.strip_prefix("Last-Event-ID: ") {
                at = last.trim().parse().unwrap_or(0);
            }
            if line.trim().is_empty() {
                break;
            }
        }
        if lock(&self.told).down {
            self.rejected_connections.fetch_add(1, Ordering::Relaxed);
            return stream.shutdown(Shutdown::Both);
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        loop {
            let mut told = lock(&self.told);
            if told.cut == cut && !told.events.iter().any(|e| e.0 > at) {
                let wait = self.changed.wait_timeout(told, Duration::from_secs(1));
                told = wait.unwrap_or_else(PoisonError::into_inner).0;
            }
            if told.cut != cut {
                return stream.shutdown(Shutdown::Both);
            }
            let due: Vec<_> = told.events.iter().filter(|e| e.0 > at).cloned().collect();
            drop(told);
            if due.is_empty() {
                stream.write_all(b":\n\n")?;
            }
            for (rev, text) in due {
                let text = format!("id: {rev}\ndata: {text}\n\n");
                stream.write_all(text.as_bytes())?;
                self.bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
                self.events.fetch_add(1, Ordering::Relaxed);
                at = rev;
            }
        }
    }
}
