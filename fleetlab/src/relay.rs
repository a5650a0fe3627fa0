//! The fault proxy: one UDP relay in front of each front end's gossip socket (peers are told its address
//! through the fleet's `advertise`), one TCP relay in front of each worker. What it does to each datagram
//! or connection is `crate::faults`'s word.
use crate::coroutine::{pause, spawn};
use crate::faults::{Connection, Datagram, Faults};
use may::net::{TcpListener, TcpStream, UdpSocket};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

/// Where each front end's gossip socket really is, once it has said; by index.
pub type Real = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// What the relays have done, for the report.
#[derive(Default)]
pub struct RelayCounts {
    pub passed: u64,
    pub dropped: u64,
    pub doubled: u64,
    pub held: u64,
    pub reset: u64,
    pub holed: u64,
}

/// Starts the gossip relay of front end `to`; the address its peers are to send to.
///
/// # Errors
/// No port can be bound.
pub fn gossip(
    to: usize,
    real: Real,
    faults: Arc<RwLock<Faults>>,
    seed: u64,
    done: Arc<Mutex<RelayCounts>>,
) -> std::io::Result<SocketAddr> {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
    let address = socket.local_addr()?;
    spawn(move || {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut buffer = vec![0u8; 64 * 1024];
        while let Ok((n, source)) = socket.recv_from(&mut buffer) {
            let (from, target) = {
                let r = real
                    .read()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                (r.iter().position(|a| *a == Some(source)), r[to])
            };
            let Some(target) = target else { continue };
            let verdict = faults.read().map_or(Datagram::Pass, |f| {
                f.datagram(from, to, rng.random::<f64>())
            });
            let bytes = buffer[..n].to_vec();
            match verdict {
                Datagram::Pass => bump(&done, |d| d.passed += 1),
                Datagram::Drop => {
                    bump(&done, |d| d.dropped += 1);
                    continue;
                }
                Datagram::Twice => {
                    bump(&done, |d| d.doubled += 1);
                    let _ = socket.send_to(&bytes, target);
                }
                Datagram::Hold(ms) => {
                    bump(&done, |d| d.held += 1);
                    let socket = socket.clone();
                    spawn(move || {
                        pause(Duration::from_millis(ms));
                        let _ = socket.send_to(&bytes, target);
                    });
                    continue;
                }
            }
            let _ = socket.send_to(&bytes, target);
        }
    });
    Ok(address)
}

/// Starts the relay in front of worker `index` at `worker`; the address front ends are to dial.
///
/// # Errors
/// No port can be bound.
pub fn link(
    index: usize,
    worker: SocketAddr,
    faults: Arc<RwLock<Faults>>,
    seed: u64,
    done: Arc<Mutex<RelayCounts>>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        let mut rng = SmallRng::seed_from_u64(seed);
        for stream in listener.incoming().map_while(Result::ok) {
            let verdict = faults.read().map_or(Connection::Pass, |f| {
                f.connection(index, rng.random::<f64>())
            });
            match verdict {
                Connection::Reset => {
                    bump(&done, |d| d.reset += 1);
                    // Ended at once, before a byte is read or answered.
                    let _ = stream.shutdown(Shutdown::Both);
                }
                Connection::BlackHole => {
                    bump(&done, |d| d.holed += 1);
                    spawn(move || {
                        let mut s = stream;
                        let mut sink = [0u8; 4096];
                        while matches!(s.read(&mut sink), Ok(n) if n > 0) {}
                    });
                }
                Connection::Pass => {
                    bump(&done, |d| d.passed += 1);
                    let Ok(back) = TcpStream::connect(worker) else {
                        continue;
                    };
                    let dice = rng.random::<u64>();
                    pipe(stream, back, &faults, dice);
                }
            }
        }
    });
    Ok(address)
}

/// Counts under the lock, never across a yield: a coroutine that blocks a worker thread on a lock held
/// by one that waits for I/O stops them both.
fn bump(done: &Mutex<RelayCounts>, f: impl FnOnce(&mut RelayCounts)) {
    f(&mut done
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner));
}

fn pipe(a: TcpStream, b: TcpStream, faults: &Arc<RwLock<Faults>>, dice: u64) {
    let (Ok(a2), Ok(b2)) = (a.try_clone(), b.try_clone()) else {
        return;
    };
    let (there, back) = (faults.clone(), faults.clone());
    spawn(move || copy(a, b2, &there, dice));
    spawn(move || copy(b, a2, &back, dice.wrapping_add(1)));
}

fn copy(mut from: TcpStream, mut to: TcpStream, faults: &RwLock<Faults>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut chunk = [0u8; 16 * 1024];
    while let Ok(n) = from.read(&mut chunk) {
        // Severed before the chunk passes, or behind it: what it carried may have run.
        let (severs, before) = (rng.random::<f64>(), rng.random::<bool>());
        let severed = faults.read().is_ok_and(|f| f.severs(severs));
        if n == 0 || severed && before || to.write_all(&chunk[..n]).is_err() {
            break;
        }
        if severed {
            break;
        }
    }
    if faults.read().is_ok_and(|f| f.severs(0.0)) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
        return;
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
