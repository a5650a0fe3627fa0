//! I/O for the fleet's gossip. A coroutine with a UDP socket passes received datagrams and the time to
//! [`crate::fleet::Node`] and sends its datagrams. Each probe period the coroutine passes the core's load summary to
//! the node and the fleet's status to the core. It also publishes this front end's lifecycle. All decisions are made in
//! `crate::fleet`.
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
use crate::net::timer_duration;
use crate::process_state::ProcessState;
use crate::queue::{CoreEnded, CoreHandle, Message};
use may::net::UdpSocket;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use wrenseam_policy::Micros;

/// Maximum number of peers whose summaries are kept, which bounds memory. Larger than any fleet in operation.
const SUMMARY_CAPACITY: usize = 1024;
/// How long a received summary is fresh, in probe periods.
const SUMMARY_TTL_PROBES: u64 = 3;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1000;
/// Minimum wait for a datagram, in microseconds, so that a timer that is due does not make the loop spin.
const MIN_WAIT: Micros = 1000;
/// Maximum time that an exiting process waits until the fleet has been notified.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often an exiting process checks whether the fleet has been notified.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
/// The prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// Why gossip cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum GossipError {
    /// The socket cannot be bound.
    #[error("gossip {listen}: {source}")]
    Bind {
        /// The address in the fleet's configuration file.
        listen: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The local address of the socket cannot be read.
    #[error("gossip: local address not available: {0}")]
    LocalAddress(#[source] std::io::Error),
    /// The coroutine cannot be started.
    #[error("gossip: coroutine not started: {0}")]
    Spawn(#[source] std::io::Error),
}

/// The cluster's id in the header of every datagram: the 32-bit FNV-1a hash of its name.
pub fn cluster_id(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Binds the gossip socket and starts its coroutine, with a stack of `stack` bytes. Returns the address to which the
/// socket is bound. Peers get the configured `advertise` address instead, if there is one.
///
/// # Errors
/// [`GossipError`] if the socket cannot be bound or the coroutine cannot be started.
pub fn start(
    fleet: &FleetConfig,
    seed: u64,
    core: CoreHandle,
    process_state: Arc<ProcessState>,
    stack: usize,
) -> Result<SocketAddr, GossipError> {
    let listen = fleet.listen;
    let socket = UdpSocket::bind(listen).map_err(|source| GossipError::Bind { listen, source })?;
    let bound = socket.local_addr().map_err(GossipError::LocalAddress)?;
    let own = fleet.advertise.unwrap_or(bound);
    let clock = Clock::start();
    let settings = node_settings(fleet, &process_state);
    // The incarnation is the Unix time in microseconds, so that a later start at the same address has a larger one.
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
        process_state,
    };
    crate::net::spawn(stack, move || gossip.run()).map_err(GossipError::Spawn)?;
    Ok(bound)
}

/// The node's settings, from the fleet's configuration file.
fn node_settings(fleet: &FleetConfig, process_state: &ProcessState) -> NodeSettings {
    let probe = fleet.probe_ms * MICROS_PER_MS;
    NodeSettings {
        swim: SwimSettings {
            cluster: cluster_id(&fleet.cluster),
            probe_period: probe,
            suspicion_timeout: fleet.suspect_ms * MICROS_PER_MS,
            expected_members: fleet.expected,
            extra_transmissions: EXTRA_TRANSMISSIONS,
            summary_ttl: SUMMARY_TTL_PROBES * probe,
            max_summaries: SUMMARY_CAPACITY,
        },
        metadata: Metadata {
            lifecycle: process_state.lifecycle(),
            zone: fleet.zone.clone(),
            program: env!("CARGO_PKG_VERSION").to_owned(),
            config_digest: process_state.config_digest.load(Ordering::Acquire),
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
    /// When to exchange the load summary and the fleet's status with the core next.
    publish_at: Micros,
    /// The counts of dropped datagrams that were last logged.
    dropped: DropCounts,
    /// Whether the fleet contained front ends of an earlier version when that was last logged.
    is_mixed: bool,
    core: CoreHandle,
    process_state: Arc<ProcessState>,
}

impl Gossip {
    /// Runs until this front end leaves the fleet or the core has ended.
    fn run(mut self) {
        let mut buffer = vec![0u8; MAX_DATAGRAM + 1];
        loop {
            let now = self.clock.now();
            self.node.tick(now);
            let lifecycle = self.process_state.lifecycle();
            if lifecycle == Lifecycle::Leaving {
                self.leave(now);
                return;
            }
            self.update_record(now, lifecycle);
            if now >= self.publish_at && self.publish(now).is_err() {
                return; // the core has ended, so the process is exiting
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
        self.process_state.has_left.store(true, Ordering::Release);
    }

    /// Publishes this front end's lifecycle and configuration digest if they changed.
    fn update_record(&mut self, now: Micros, lifecycle: Lifecycle) {
        let config_digest = self.process_state.config_digest.load(Ordering::Acquire);
        let updated = self.node.update(now, |metadata| {
            metadata.lifecycle = lifecycle;
            metadata.config_digest = config_digest;
        });
        if let Err(error) = updated {
            log_limited!("{}", log_lines::record_not_published(&error));
        }
    }

    /// Gossips the core's load summary and passes the fleet's status to the core. Called once per probe period.
    fn publish(&mut self, now: Micros) -> Result<(), CoreEnded> {
        self.publish_at = now + self.period;
        let summary = *self
            .process_state
            .summary
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let status = self.node.publish(now, summary);
        self.core.send(Message::Fleet(status))?;
        self.log_status(&status);
        Ok(())
    }

    /// Logs dropped datagrams and mixed versions if they changed since they were last logged.
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
        for Outgoing { to, bytes, .. } in self.node.take_outbox() {
            // If a peer is gone, a later call returns its ICMP error, which needs no action: the failure detector
            // notices.
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    /// Logs changes of membership.
    fn log_events(&mut self) {
        for TimedPeerEvent { event, .. } in self.node.take_events() {
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

    /// Waits for a datagram until the next timer is due, and passes it to the node.
    fn receive(&mut self, buffer: &mut [u8]) {
        let next = self.node.next_wakeup().min(self.publish_at);
        let wait = next
            .saturating_sub(self.clock.now())
            .clamp(MIN_WAIT, self.period.max(MIN_WAIT));
        let _ = self
            .socket
            .set_read_timeout(Some(timer_duration(Duration::from_micros(wait))));
        // An error means that the wait timed out, or is the ICMP error of an earlier send to a peer that is gone.
        if let Ok((length, _)) = self.socket.recv_from(buffer) {
            let now = self.clock.now();
            self.node.handle_datagram(now, &buffer[..length]);
        }
    }
}

/// Notifies the fleet that this front end leaves, and waits for at most 0.3 s until the notices are sent.
pub fn leave(process_state: &ProcessState) {
    process_state.leaving.store(true, Ordering::Release);
    let since = Instant::now();
    while !process_state.has_left.load(Ordering::Acquire) && since.elapsed() < LEAVE_TIMEOUT {
        std::thread::sleep(LEAVE_POLL_INTERVAL);
    }
}
