//! The settings of membership, and their translation to foca's configuration.
use crate::fleet::directory::TOMBSTONE_TTL;
use crate::fleet::identity::{HEADER_BYTES, MAX_DATAGRAM};
use foca::Config;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use wrenseam_policy::Micros;

/// The shortest probe period, in microseconds; a shorter setting is raised to it.
pub(crate) const MIN_PROBE_PERIOD: Micros = 10_000;
/// The largest expected fleet size that foca is configured with.
const MAX_EXPECTED_MEMBERS: usize = 100_000;
/// Rounds of periodic gossip in a probe period.
const GOSSIP_ROUNDS_PER_PROBE: u32 = 4;
/// Probe periods between foca's periodic announces, to live and to down members.
const PROBES_PER_ANNOUNCE: u32 = 5;

/// The settings of membership; times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// The id of the cluster; datagrams with another id are dropped.
    pub cluster: u32,
    /// Time between two probes of a random peer.
    pub probe_period: Micros,
    /// Time from suspicion until a peer is declared down.
    pub suspicion_timeout: Micros,
    /// The expected fleet size, by which foca chooses how often an update is retransmitted.
    pub expected_members: usize,
    /// How many more times a member update is retransmitted than foca's 4 log10 of the expected size.
    pub extra_transmissions: u8,
    /// How long a load summary is fresh after its arrival, and counts for the fleet's pressure.
    pub summary_ttl: Micros,
    /// The most peers whose load summaries are kept.
    pub max_summaries: usize,
}

/// Foca's configuration for these settings.
pub(super) fn foca_config(settings: &SwimSettings) -> Config {
    let expected = settings.expected_members.clamp(1, MAX_EXPECTED_MEMBERS) as u32;
    let mut config = Config::new_lan(NonZeroU32::new(expected).unwrap_or(NonZeroU32::MIN));
    let probe = Duration::from_micros(settings.probe_period.max(MIN_PROBE_PERIOD));
    config.probe_period = probe;
    config.probe_rtt = probe / 2;
    config.suspect_to_down_after =
        Duration::from_micros(settings.suspicion_timeout.max(settings.probe_period));
    config.max_packet_size =
        NonZeroUsize::new(MAX_DATAGRAM - HEADER_BYTES).unwrap_or(NonZeroUsize::MIN);
    config.max_transmissions = config
        .max_transmissions
        .saturating_add(settings.extra_transmissions);
    // As long as the directory's tombstones; the directory also bounds their number, and removes foca's with its own.
    config.remove_down_after = Some(Duration::from_micros(TOMBSTONE_TTL));
    if let Some(gossip) = config.periodic_gossip.as_mut() {
        gossip.frequency = probe / GOSSIP_ROUNDS_PER_PROBE;
    }
    if let Some(announce) = config.periodic_announce.as_mut() {
        announce.frequency = probe * PROBES_PER_ANNOUNCE;
    }
    if let Some(announce) = config.periodic_announce_to_down_members.as_mut() {
        announce.frequency = probe * PROBES_PER_ANNOUNCE;
    }
    config
}
