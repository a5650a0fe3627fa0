//! The relays, which inject the network faults: one for UDP in front of each front end's gossip socket, one for TCP in
//! front of each worker. Peers send to a gossip relay because the front end's fleet file states its address as
//! `advertise`. [`crate::faults`] decides what a relay does with a datagram or connection.
use crate::coroutine::{sleep, spawn};
use crate::faults::{ConnectionAction, DatagramAction, Faults};
use may::net::{TcpListener, TcpStream, UdpSocket};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

/// Size of the receive buffer in bytes: no UDP datagram is larger.
const MAX_DATAGRAM: usize = 64 * 1024;
/// Maximum number of bytes forwarded at once; one such read is a chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// Gossip socket of each front end, by index; `None` until it has logged its address.
pub type GossipSockets = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// Counts of what the relays did, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// Datagrams and connections forwarded without a fault.
    pub passed: u64,
    /// Datagrams dropped by a fault.
    pub dropped: u64,
    /// Datagrams sent twice.
    pub duplicated: u64,
    /// Datagrams delayed.
    pub delayed: u64,
    /// Connections closed as they were accepted.
    pub reset: u64,
    /// Connections accepted and never answered.
    pub black_holed: u64,
}

/// State that all relays of a run share.
#[derive(Clone)]
pub struct RelaySettings {
    /// The faults that are active now.
    pub faults: Arc<RwLock<Faults>>,
    /// Counts of what the relays did.
    pub counts: Arc<Mutex<RelayCounts>>,
}

impl RelaySettings {
    /// Updates the counts under their lock. `count` must not yield: a coroutine that waits for a lock blocks the
    /// scheduler thread, and a coroutine that holds the lock while it waits for I/O could then never resume: both would
    /// hang.
    fn count(&self, count: impl FnOnce(&mut RelayCounts)) {
        count(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Whether a connection is severed at this chunk; `chance` is a uniform random number in [0, 1).
    fn severs(&self, chance: f64) -> bool {
        self.faults.read().is_ok_and(|faults| faults.severs(chance))
    }
}

/// Starts the gossip relay of front end `to`, and returns the address that its peers must send to.
///
/// # Errors
/// No port can be bound.
pub fn start_gossip_relay(
    to: usize,
    sockets: GossipSockets,
    settings: RelaySettings,
    seed: u64,
) -> std::io::Result<SocketAddr> {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
    let address = socket.local_addr()?;
    let relay = GossipRelay {
        to,
        socket,
        sockets,
        settings,
        rng: SmallRng::seed_from_u64(seed),
    };
    spawn(move || relay.run());
    Ok(address)
}

struct GossipRelay {
    /// Index of the front end that it forwards to.
    to: usize,
    /// Socket of the relay: receives from the peers and sends to the front end.
    socket: Arc<UdpSocket>,
    sockets: GossipSockets,
    settings: RelaySettings,
    rng: SmallRng,
}

impl GossipRelay {
    fn run(mut self) {
        let mut buffer = vec![0u8; MAX_DATAGRAM];
        while let Ok((length, source)) = self.socket.recv_from(&mut buffer) {
            self.forward(source, &buffer[..length]);
        }
    }

    /// Applies the active faults to a datagram from `source`. It is dropped while the front end has not logged its
    /// gossip socket.
    fn forward(&mut self, source: SocketAddr, bytes: &[u8]) {
        let sockets = self.sockets.read().unwrap_or_else(PoisonError::into_inner);
        let from = sockets.iter().position(|known| *known == Some(source));
        let target = sockets[self.to];
        drop(sockets);
        let Some(target) = target else {
            return;
        };
        match self.action(from) {
            DatagramAction::Pass => {
                self.settings.count(|counts| counts.passed += 1);
                self.send(bytes, target);
            }
            DatagramAction::Drop => self.settings.count(|counts| counts.dropped += 1),
            DatagramAction::Duplicate => {
                self.settings.count(|counts| counts.duplicated += 1);
                self.send(bytes, target);
                self.send(bytes, target);
            }
            DatagramAction::Delay(ms) => {
                self.settings.count(|counts| counts.delayed += 1);
                self.send_later(bytes.to_vec(), target, Duration::from_millis(ms));
            }
        }
    }

    fn action(&mut self, from: Option<usize>) -> DatagramAction {
        let Ok(faults) = self.settings.faults.read() else {
            return DatagramAction::Pass;
        };
        faults.datagram(from, self.to, self.rng.random::<f64>())
    }

    fn send(&self, bytes: &[u8], target: SocketAddr) {
        let _ = self.socket.send_to(bytes, target); // fails if the target has exited, as faults make it do
    }

    fn send_later(&self, bytes: Vec<u8>, target: SocketAddr, delay: Duration) {
        let socket = self.socket.clone();
        spawn(move || {
            sleep(delay);
            let _ = socket.send_to(&bytes, target); // fails if the target has exited
        });
    }
}

/// Starts the relay of worker `index`, whose address is `worker`, and returns the address that front ends must connect
/// to.
///
/// # Errors
/// No port can be bound.
pub fn start_worker_relay(
    index: usize,
    worker: SocketAddr,
    settings: RelaySettings,
    seed: u64,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let mut relay = WorkerRelay {
        index,
        worker,
        settings,
        rng: SmallRng::seed_from_u64(seed),
    };
    spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            relay.accept(client);
        }
    });
    Ok(address)
}

struct WorkerRelay {
    /// Index of the worker.
    index: usize,
    /// Address of the worker.
    worker: SocketAddr,
    settings: RelaySettings,
    rng: SmallRng,
}

impl WorkerRelay {
    /// Applies the active faults to a new connection.
    fn accept(&mut self, client: TcpStream) {
        match self.action() {
            ConnectionAction::Reset => {
                self.settings.count(|counts| counts.reset += 1);
                // Closed before any byte is read or answered.
                let _ = client.shutdown(Shutdown::Both);
            }
            ConnectionAction::BlackHole => {
                self.settings.count(|counts| counts.black_holed += 1);
                spawn(move || discard(client));
            }
            ConnectionAction::Pass => {
                self.settings.count(|counts| counts.passed += 1);
                let Ok(worker) = TcpStream::connect(self.worker) else {
                    return;
                };
                let seed = self.rng.random::<u64>();
                pipe(client, worker, &self.settings, seed);
            }
        }
    }

    fn action(&mut self) -> ConnectionAction {
        let Ok(faults) = self.settings.faults.read() else {
            return ConnectionAction::Pass;
        };
        faults.connection(self.index, self.rng.random::<f64>())
    }
}

/// Reads a connection until it ends, and answers nothing.
fn discard(mut client: TcpStream) {
    let mut sink = [0u8; 4096];
    while matches!(client.read(&mut sink), Ok(length) if length > 0) {}
}

/// Forwards the bytes between two connections in both directions. `seed` is that of the fault `sever`.
fn pipe(client: TcpStream, worker: TcpStream, settings: &RelaySettings, seed: u64) {
    let (Ok(to_client), Ok(to_worker)) = (client.try_clone(), worker.try_clone()) else {
        return;
    };
    let client_to_worker = settings.clone();
    let worker_to_client = settings.clone();
    spawn(move || copy(client, to_worker, &client_to_worker, seed));
    spawn(move || copy(worker, to_client, &worker_to_client, seed.wrapping_add(1)));
}

/// Forwards the bytes of one direction until `from` ends or the fault `sever` applies. Then closes this direction, or
/// both while `sever` is active with a ratio above 0.
fn copy(mut from: TcpStream, mut to: TcpStream, settings: &RelaySettings, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut chunk = [0u8; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk) {
        // Severed either before the chunk is forwarded or after it: after it, a call in it may have run.
        let chance = rng.random::<f64>();
        let is_before = rng.random::<bool>();
        let is_severed = settings.severs(chance);
        if length == 0 || is_severed && is_before || to.write_all(&chunk[..length]).is_err() {
            break;
        }
        if is_severed {
            break;
        }
    }
    if settings.severs(0.0) {
        let _ = to.shutdown(Shutdown::Both); // fails if the connection has already closed
        let _ = from.shutdown(Shutdown::Both);
        return;
    }
    let _ = to.shutdown(Shutdown::Write); // fails if the connection has already closed
    let _ = from.shutdown(Shutdown::Read);
}
