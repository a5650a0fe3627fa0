//! The fleet's datagrams: one UDP socket on a coroutine that feeds [`crate::fleet::Node`] with what comes
//! and the time, sends what it asks, hands it the core's summary each probe period, tells the core what the fleet
//! looks like, and the fleet what this front end is doing. All decisions are in `crate::fleet`; this file only carries.
use crate::clock::Clock;
use crate::config::Fleet;
use crate::fleet::identity::MAX_DATAGRAM;
use crate::fleet::node::EXTRA_TRANSMISSIONS;
use crate::fleet::swim::Dropped;
use crate::fleet::traffic::Outgoing;
use crate::fleet::{
    Lifecycle, Metadata, Node, NodeSettings, PeerEvent, SwimSettings, TimedPeerEvent,
};
use crate::process_state::ProcessState;
use crate::queue::{CoreHandle, Message};
use may::net::UdpSocket;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use wrenseam_policy::Micros;

/// Peers of which summaries are held at the most: more than any fleet we run, and a bound on memory.
const CAPACITY: usize = 1024;

/// How long a process that ends waits at the most for the fleet to be told.
const LEAVE_WITHIN: Duration = Duration::from_millis(300);

/// A 32-bit name of the cluster (FNV-1a of its text), carried in every datagram.
pub fn cluster_id(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5u32, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

/// Binds the gossip socket and starts its coroutine; the address it is bound to (peers are told
/// `advertise` instead, where it is set).
///
/// # Errors
/// The socket cannot be bound, or the coroutine not started.
pub fn start(
    fleet: &Fleet,
    seed: u64,
    core: CoreHandle,
    shared: Arc<ProcessState>,
    stack: usize,
) -> Result<SocketAddr, String> {
    let socket =
        UdpSocket::bind(fleet.listen).map_err(|e| format!("gossip {}: {e}", fleet.listen))?;
    let bound = socket.local_addr().map_err(|e| format!("gossip: {e}"))?;
    let own = fleet.advertise.unwrap_or(bound);
    let clock = Clock::start();
    let swim = SwimSettings {
        cluster: cluster_id(&fleet.cluster),
        probe: fleet.probe_ms * 1000,
        suspect_for: fleet.suspect_ms * 1000,
        expected: fleet.expected,
        extra_transmissions: EXTRA_TRANSMISSIONS,
        fresh_for: 3 * fleet.probe_ms * 1000,
        capacity: CAPACITY,
    };
    let metadata = Metadata {
        lifecycle: shared.lifecycle(),
        zone: fleet.zone.clone(),
        program: env!("CARGO_PKG_VERSION").to_owned(),
        config_digest: shared.config_digest.load(Ordering::Acquire),
        entries: BTreeMap::new(),
    };
    let settings = NodeSettings {
        swim,
        metadata,
        seeds: fleet.seeds.clone(),
        summaries: fleet.summaries,
    };
    // A later start at the same address wins over the incarnation before it: the clock's Unix microseconds.
    let node = Node::new(own, clock.now(), settings, seed);
    let period = fleet.probe_ms * 1000;
    crate::net::spawn(stack, move || {
        carry(socket, node, clock, period, core, shared)
    })
    .map_err(|e| format!("gossip: {e}"))?;
    Ok(bound)
}

fn carry(
    socket: UdpSocket,
    mut node: Node,
    clock: Clock,
    period: Micros,
    core: CoreHandle,
    shared: Arc<ProcessState>,
) {
    let mut buffer = vec![0u8; MAX_DATAGRAM + 1];
    let (mut publish_at, mut dropped, mut mixed) = (0, Dropped::default(), false);
    loop {
        let now = clock.now();
        node.tick(now);
        if publish_own_state(&mut node, now, &shared) {
            send(&socket, &mut node);
            shared.left.store(true, Ordering::Release);
            return;
        }
        if now >= publish_at {
            publish_at = now + period;
            let own = *shared
                .summary
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let news = node.publish(now, own);
            if core.send(Message::Fleet(news)).is_err() {
                return; // the core has ended: so has the process
            }
            if news.dropped != dropped {
                dropped = news.dropped;
                note!(
                    "fleet: datagrams dropped: {} oversized, {} foreign, {} garbled",
                    dropped.oversized,
                    dropped.foreign,
                    dropped.garbled
                );
            }
            if news.mixed != mixed {
                mixed = news.mixed;
                let told = if mixed {
                    "heard: summaries are gossiped for them"
                } else {
                    "heard no more"
                };
                note!("fleet: front ends from before the view {told}");
            }
        }
        send(&socket, &mut node);
        for TimedPeerEvent { event, .. } in node.events() {
            match event {
                PeerEvent::Up(p) => note!("fleet: peer {} up, {} alive", p.addr, node.alive()),
                PeerEvent::Down(p) => note!("fleet: peer {} down, {} alive", p.addr, node.alive()),
                PeerEvent::Left(p) => note!("fleet: peer {} left, {} alive", p.addr, node.alive()),
                PeerEvent::NewIncarnation(_) => {}
                PeerEvent::Isolated => note!("fleet: no peer alive; own budget only"),
                PeerEvent::Rejoined => {
                    note!("fleet: declared down by peers, rejoined under a new incarnation")
                }
            }
        }
        let next = node.next_wakeup().min(publish_at);
        let wait = next
            .saturating_sub(clock.now())
            .clamp(1000, period.max(1000));
        let _ = socket.set_read_timeout(Some(Duration::from_micros(wait)));
        // An error is a time that is up, or the ICMP word of an earlier send to a peer that is gone.
        if let Ok((n, _)) = socket.recv_from(&mut buffer) {
            node.handle_datagram(clock.now(), &buffer[..n]);
        }
    }
}

/// Keeps our record in step with what this front end does; true once it leaves, and the fleet is to be told.
fn publish_own_state(node: &mut Node, now: Micros, shared: &ProcessState) -> bool {
    let lifecycle = shared.lifecycle();
    if lifecycle == Lifecycle::Leaving {
        node.leave(now);
        return true;
    }
    let config_digest = shared.config_digest.load(Ordering::Acquire);
    let told = node.update(now, |metadata| {
        (metadata.lifecycle, metadata.config_digest) = (lifecycle, config_digest)
    });
    if let Err(why) = told {
        note!("fleet: our record is not published: {why}");
    }
    false
}

fn send(socket: &UdpSocket, node: &mut Node) {
    for Outgoing { to, bytes, .. } in node.outbox() {
        // A peer that is gone answers with an ICMP error on a later call: nothing to do but go on.
        let _ = socket.send_to(&bytes, to);
    }
}

/// Has the fleet told that this process ends, and waits until that is sent; 0.3 s at the longest.
pub fn leave(shared: &ProcessState) {
    shared.leaving.store(true, Ordering::Release);
    let since = Instant::now();
    while !shared.left.load(Ordering::Acquire) && since.elapsed() < LEAVE_WITHIN {
        std::thread::sleep(Duration::from_millis(5));
    }
}
