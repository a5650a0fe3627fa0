//! The fleet's datagrams: one UDP socket on a coroutine that feeds [`crate::fleet::Node`] with what comes and the time,
//! sends what it asks, hands it the core's summary each probe period, passes the fleet's status to the core, and
//! publishes this front end's lifecycle. All decisions are in `crate::fleet`; this module only carries.
pub mod log_lines;

use crate::clock::Clock;
use crate::config::FleetConfig;
use crate::fleet::identity::MAX_DATAGRAM;
use crate::fleet::node::EXTRA_TRANSMISSIONS;
use crate::fleet::swim::DropCounts;
use crate::fleet::traffic::Outgoing;
use crate::fleet::{
    FleetStatus, Lifecycle, Metadata, Node, NodeSettings, PeerEvent, SwimSettings, TimedPeerEvent,
};
use crate::process_state::ProcessState;
use crate::queue::{CoreEnded, CoreHandle, Message};
use may::net::UdpSocket;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use wrenseam_policy::Micros;

/// The most peers whose summaries are remembered: more than any fleet we run, and a bound on memory.
const SUMMARY_CAPACITY: usize = 1024;
/// Probe periods for which a summary counts after it came.
const FRESH_PROBES: u64 = 3;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1000;
/// The shortest wait for a datagram, in microseconds, so that a timer that is due does not make the loop spin.
const SHORTEST_WAIT: Micros = 1000;
/// How long a process that ends waits at the most for the fleet to be notified.
const LEAVE_WITHIN: Duration = Duration::from_millis(300);
/// How often it looks whether the fleet has been notified.
const LEAVE_POLL: Duration = Duration::from_millis(5);
/// The offset basis and prime of FNV-1a, 32 bits wide.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Why gossip could not be started.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The socket cannot be bound.
    #[error("gossip {listen}: {source}")]
    Bind {
        /// The address in the fleet's file.
        listen: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The address that the socket is bound to is not known.
    #[error("gossip: {0}")]
    LocalAddress(#[source] std::io::Error),
    /// The coroutine cannot be started.
    #[error("gossip: {0}")]
    Spawn(#[source] std::io::Error),
}

/// A 32-bit id of the cluster (FNV-1a of its name), carried in every datagram.
pub fn cluster_id(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Binds the gossip socket and starts its coroutine; the address it is bound to (peers get
/// `advertise` instead, where it is set).
///
/// # Errors
/// The socket cannot be bound, or the coroutine not started.
pub fn start(
    fleet: &FleetConfig,
    seed: u64,
    core: CoreHandle,
    shared: Arc<ProcessState>,
    stack: usize,
) -> Result<SocketAddr, GossipError> {
    let listen = fleet.listen;
    let socket = UdpSocket::bind(listen).map_err(|source| GossipError::Bind { listen, source })?;
    let bound = socket.local_addr().map_err(GossipError::LocalAddress)?;
    let own = fleet.advertise.unwrap_or(bound);
    let clock = Clock::start();
    let settings = node_settings(fleet, &shared);
    // A later start at the same address wins over the incarnation before it: the clock's Unix microseconds.
    let node = Node::new(own, clock.now(), settings, seed);
    let gossip = Gossip {
        socket,
        node,
        clock,
        period: fleet.probe_ms * MICROS_PER_MS,
        publish_at: 0,
        dropped: DropCounts::default(),
        is_mixed: false,
        core,
        shared,
    };
    crate::net::spawn(stack, move || gossip.run()).map_err(GossipError::Spawn)?;
    Ok(bound)
}

/// The node's settings, by the fleet's file.
fn node_settings(fleet: &FleetConfig, shared: &ProcessState) -> NodeSettings {
    let probe = fleet.probe_ms * MICROS_PER_MS;
    NodeSettings {
        swim: SwimSettings {
            cluster: cluster_id(&fleet.cluster),
            probe_period: probe,
            suspicion_timeout: fleet.suspect_ms * MICROS_PER_MS,
            expected_members: fleet.expected,
            extra_transmissions: EXTRA_TRANSMISSIONS,
            summary_ttl: FRESH_PROBES * probe,
            max_summaries: SUMMARY_CAPACITY,
        },
        metadata: Metadata {
            lifecycle: shared.lifecycle(),
            zone: fleet.zone.clone(),
            program: env!("CARGO_PKG_VERSION").to_owned(),
            config_digest: shared.config_digest.load(Ordering::Acquire),
            entries: BTreeMap::new(),
        },
        seeds: fleet.seeds.clone(),
        summaries: fleet.summaries,
    }
}

/// The gossip coroutine's state.
struct Gossip {
    socket: UdpSocket,
    node: Node,
    clock: Clock,
    /// The probe period.
    period: Micros,
    publish_at: Micros,
    /// Datagrams dropped, as last logged.
    dropped: DropCounts,
    /// Whether front ends of an earlier version are in the fleet, as last logged.
    is_mixed: bool,
    core: CoreHandle,
    shared: Arc<ProcessState>,
}

impl Gossip {
    /// Runs until the front end leaves or the core has ended.
    fn run(mut self) {
        let mut buffer = vec![0u8; MAX_DATAGRAM + 1];
        loop {
            let now = self.clock.now();
            self.node.tick(now);
            let lifecycle = self.shared.lifecycle();
            if lifecycle == Lifecycle::Leaving {
                self.leave(now);
                return;
            }
            self.update_record(now, lifecycle);
            if now >= self.publish_at && self.publish(now).is_err() {
                return; // the core has ended: so has the process
            }
            self.send();
            self.log_events();
            self.receive(&mut buffer);
        }
    }

    /// Notifies the fleet that this front end leaves.
    fn leave(&mut self, now: Micros) {
        self.node.leave(now);
        self.send();
        self.shared.left.store(true, Ordering::Release);
    }

    /// Keeps our record in step with what this front end does.
    fn update_record(&mut self, now: Micros, lifecycle: Lifecycle) {
        let config_digest = self.shared.config_digest.load(Ordering::Acquire);
        let updated = self.node.update(now, |metadata| {
            metadata.lifecycle = lifecycle;
            metadata.config_digest = config_digest;
        });
        if let Err(error) = updated {
            log_limited!("{}", log_lines::record_not_published(&error));
        }
    }

    /// Each probe period: gossips the core's summary and passes the fleet's status to the core.
    fn publish(&mut self, now: Micros) -> Result<(), CoreEnded> {
        self.publish_at = now + self.period;
        let summary = *self
            .shared
            .summary
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let status = self.node.publish(now, summary);
        self.core.send(Message::Fleet(status))?;
        self.log_status(&status);
        Ok(())
    }

    /// Logs what has changed since the last status.
    fn log_status(&mut self, status: &FleetStatus) {
        if status.dropped != self.dropped {
            self.dropped = status.dropped;
            log_limited!("{}", log_lines::datagrams_dropped(&status.dropped));
        }
        if status.mixed != self.is_mixed {
            self.is_mixed = status.mixed;
            log_limited!("{}", log_lines::mixed_versions(status.mixed));
        }
    }

    fn send(&mut self) {
        for Outgoing { to, bytes, .. } in self.node.outbox() {
            // A peer that is gone answers with an ICMP error on a later call: nothing to do but go on.
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    /// Logs changes of membership.
    fn log_events(&mut self) {
        for TimedPeerEvent { event, .. } in self.node.events() {
            let alive = self.node.alive();
            match event {
                PeerEvent::Up(peer) => log_limited!("{}", log_lines::peer_up(peer.addr, alive)),
                PeerEvent::Down(peer) => log_limited!("{}", log_lines::peer_down(peer.addr, alive)),
                PeerEvent::Left(peer) => log_limited!("{}", log_lines::peer_left(peer.addr, alive)),
                PeerEvent::NewIncarnation(_) => {}
                PeerEvent::Isolated => log_limited!("{}", log_lines::isolated()),
                PeerEvent::Rejoined => log_limited!("{}", log_lines::rejoined()),
            }
        }
    }

    /// Waits for a datagram until the next timer, and hands it to the node.
    fn receive(&mut self, buffer: &mut [u8]) {
        let next = self.node.next_wakeup().min(self.publish_at);
        let wait = next
            .saturating_sub(self.clock.now())
            .clamp(SHORTEST_WAIT, self.period.max(SHORTEST_WAIT));
        let _ = self
            .socket
            .set_read_timeout(Some(Duration::from_micros(wait)));
        // An error is a wait that timed out, or the ICMP error of an earlier send to a peer that is gone.
        if let Ok((length, _)) = self.socket.recv_from(buffer) {
            let now = self.clock.now();
            self.node.handle_datagram(now, &buffer[..length]);
        }
    }
}

/// Has the fleet notified that this process ends, and waits until that is sent; 0.3 s at the longest.
pub fn leave(shared: &ProcessState) {
    shared.leaving.store(true, Ordering::Release);
    let since = Instant::now();
    while !shared.left.load(Ordering::Acquire) && since.elapsed() < LEAVE_WITHIN {
        std::thread::sleep(LEAVE_POLL);
    }
}
