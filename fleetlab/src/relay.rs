//! The relays that put faults between the processes: one for UDP in front of each front end's gossip socket (peers get
//! its address through the fleet's `advertise`), one for TCP in front of each worker. What they do to a datagram or
//! connection is decided in [`crate::faults`].
use crate::coroutine::{pause, spawn};
use crate::faults::{ConnectionAction, DatagramAction, Faults};
use may::net::{TcpListener, TcpStream, UdpSocket};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

/// The largest UDP datagram, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;
/// Bytes of a connection passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The gossip socket of each front end, once it has reported it; by index.
pub type GossipSockets = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// What the relays have done, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// Datagrams and connections passed on.
    pub passed: u64,
    /// Datagrams lost.
    pub dropped: u64,
    /// Datagrams sent twice.
    pub duplicated: u64,
    /// Datagrams delayed.
    pub delayed: u64,
    /// Connections reset.
    pub reset: u64,
    /// Connections accepted and never answered.
    pub black_holed: u64,
}

/// What all relays of a run have in common.
#[derive(Clone)]
pub struct RelaySettings {
    /// The faults in force.
    pub faults: Arc<RwLock<Faults>>,
    /// Where the relays' work is counted.
    pub counts: Arc<Mutex<RelayCounts>>,
}

impl RelaySettings {
    /// Counts under the lock, never across a yield: a coroutine that blocks a worker thread on a lock that is owned
    /// by one that waits for I/O stops them both.
    fn count(&self, count: impl FnOnce(&mut RelayCounts)) {
        count(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Whether a connection is severed now.
    fn severs(&self, chance: f64) -> bool {
        self.faults.read().is_ok_and(|faults| faults.severs(chance))
    }
}

/// Starts the gossip relay of front end `to`; the address that its peers are to send to.
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
    to: usize,
    socket: Arc<UdpSocket>,
    sockets: GossipSockets,
    settings: RelaySettings,
    rng: SmallRng,
}

impl GossipRelay {
    fn run(mut self) {
        let mut buffer = vec![0u8; MAX_DATAGRAM];
        while let Ok((length, source)) = self.socket.recv_from(&mut buffer) {
            self.pass_on(source, &buffer[..length]);
        }
    }

    /// Does with a datagram what the faults say.
    fn pass_on(&mut self, source: SocketAddr, bytes: &[u8]) {
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
        let _ = self.socket.send_to(bytes, target); // a target that is gone is no fault of the relay
    }

    fn send_later(&self, bytes: Vec<u8>, target: SocketAddr, delay: Duration) {
        let socket = self.socket.clone();
        spawn(move || {
            pause(delay);
            let _ = socket.send_to(&bytes, target); // as above
        });
    }
}

/// Starts the relay in front of worker `index` at `worker`; the address that front ends are to connect to.
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
    index: usize,
    worker: SocketAddr,
    settings: RelaySettings,
    rng: SmallRng,
}

impl WorkerRelay {
    /// Does with a new connection what the faults say.
    fn accept(&mut self, client: TcpStream) {
        match self.action() {
            ConnectionAction::Reset => {
                self.settings.count(|counts| counts.reset += 1);
                // Ended at once, before a byte is read or answered.
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

/// Reads a connection to its end, and answers nothing.
fn discard(mut client: TcpStream) {
    let mut sink = [0u8; 4096];
    while matches!(client.read(&mut sink), Ok(length) if length > 0) {}
}

/// Passes on what comes on two connections, both ways.
fn pipe(client: TcpStream, worker: TcpStream, settings: &RelaySettings, seed: u64) {
    let (Ok(to_client), Ok(to_worker)) = (client.try_clone(), worker.try_clone()) else {
        return;
    };
    let forth = settings.clone();
    let back = settings.clone();
    spawn(move || copy(client, to_worker, &forth, seed));
    spawn(move || copy(worker, to_client, &back, seed.wrapping_add(1)));
}

/// Passes on what comes on a connection until it ends or is severed, and ends both ends.
fn copy(mut from: TcpStream, mut to: TcpStream, settings: &RelaySettings, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut chunk = [0u8; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk) {
        // Severed before the chunk passes, or after it: what it carried may have run.
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
        let _ = to.shutdown(Shutdown::Both); // the other end may have ended already
        let _ = from.shutdown(Shutdown::Both);
        return;
    }
    let _ = to.shutdown(Shutdown::Write); // as above
    let _ = from.shutdown(Shutdown::Read);
}
