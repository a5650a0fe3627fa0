//! The fleet's datagrams: one UDP socket on a coroutine that feeds [`crate::fleet::Swim`] with what comes
//! and the time, sends what it asks, publishes the core's summary each probe period, and tells the core
//! what the fleet looks like. All decisions are in `crate::fleet`; this file only carries.
use crate::config::Fleet;
use crate::core::{Clock, Message, Shared};
use crate::fleet::swim::MAX_DATAGRAM;
use crate::fleet::{PeerEvent, Swim, SwimSettings};
use bramblepath::Micros;
use may::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Peers of which summaries are held at the most: more than any fleet we run, and a bound on memory.
const CAPACITY: usize = 1024;

/// A 32-bit name of the cluster (FNV-1a of its text), carried in every datagram.
pub fn cluster_id(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// Binds the gossip socket and starts its coroutine; the address it is bound to (peers are told
/// `advertise` instead, where it is set).
///
/// # Errors
/// The socket cannot be bound, or the coroutine not started.
pub fn start(
    fleet: &Fleet, seed: u64, core: Sender<Message>, shared: Arc<Shared>, stack: usize,
) -> Result<SocketAddr, String> {
    let socket = UdpSocket::bind(fleet.listen).map_err(|e| format!("gossip {}: {e}", fleet.listen))?;
    let bound = socket.local_addr().map_err(|e| format!("gossip: {e}"))?;
    let own = fleet.advertise.unwrap_or(bound);
    let clock = Clock::start();
    let settings = SwimSettings {
        cluster: cluster_id(&fleet.cluster),
        probe: fleet.probe_ms * 1000,
        suspect_for: fleet.suspect_ms * 1000,
        expected: fleet.expected,
        fresh_for: 3 * fleet.probe_ms * 1000,
        capacity: CAPACITY,
    };
    // A later start at the same address wins over the life before it: the clock's Unix microseconds.
    let mut swim = Swim::new(own, clock.now(), settings, seed);
    let now = clock.now();
    fleet.seeds.iter().for_each(|&s| swim.join(now, s));
    let (period, seeds) = (fleet.probe_ms * 1000, fleet.seeds.clone());
    crate::net::spawn(stack, move || carry(socket, swim, clock, period, seeds, core, shared))
        .map_err(|e| format!("gossip: {e}"))?;
    Ok(bound)
}

fn carry(
    socket: UdpSocket, mut swim: Swim, clock: Clock, period: Micros, seeds: Vec<SocketAddr>,
    core: Sender<Message>, shared: Arc<Shared>,
) {
    let mut buffer = vec![0u8; MAX_DATAGRAM + 1];
    let (mut publish_at, mut dropped) = (0, swim.dropped);
    loop {
        let now = clock.now();
        swim.tick(now);
        if now >= publish_at {
            publish_at = now + period;
            let own = *shared.summary.lock().unwrap_or_else(PoisonError::into_inner);
            swim.publish(now, own);
            let (alive, pressure) = (swim.alive(), swim.pressure(now, own.pressure));
            if alive == 0 {
                // Alone: ask the seeds again, in case they came up after us or the cut has healed.
                seeds.iter().for_each(|&s| swim.join(now, s));
            }
            if core.send(Message::Fleet { alive, pressure }).is_err() {
                return; // the core has ended: so has the process
            }
            if swim.dropped != dropped {
                let d = swim.dropped;
                note!(
                    "fleet: datagrams dropped: {} oversized, {} foreign, {} garbled",
                    d.oversized,
                    d.foreign,
                    d.garbled
                );
                dropped = d;
            }
        }
        for (to, bytes) in swim.outbox() {
            // A peer that is gone answers with an ICMP error on a later call: nothing to do but go on.
            let _ = socket.send_to(&bytes, to);
        }
        for (_, event) in swim.events() {
            match event {
                PeerEvent::Up(p) => note!("fleet: peer {} up, {} alive", p.addr, swim.alive()),
                PeerEvent::Down(p) => note!("fleet: peer {} down, {} alive", p.addr, swim.alive()),
                PeerEvent::Alone => note!("fleet: no peer alive; own budget only"),
                PeerEvent::Rejoined => note!("fleet: declared down by peers, rejoined under a new life"),
            }
        }
        let next = swim.next().unwrap_or(publish_at).min(publish_at);
        let wait = next.saturating_sub(clock.now()).clamp(1000, period.max(1000));
        let _ = socket.set_read_timeout(Some(Duration::from_micros(wait)));
        // An error is a time that is up, or the ICMP word of an earlier send to a peer that is gone.
        if let Ok((n, _)) = socket.recv_from(&mut buffer) {
            swim.datagram(clock.now(), &buffer[..n]);
        }
    }
}
