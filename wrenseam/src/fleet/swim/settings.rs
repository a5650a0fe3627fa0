//! The settings of membership, and foca's own made of them.
use crate::fleet::directory::TOMBSTONE_TTL;
use crate::fleet::identity::{HEADER_BYTES, MAX_DATAGRAM};
use foca::Config;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use wrenseam_policy::Micros;

/// The shortest probe period, in microseconds, whatever is configured.
pub(crate) const MIN_PROBE_PERIOD: Micros = 10_000;
/// The largest expected size that foca is configured with.
const LARGEST_FLEET: usize = 100_000;
/// Rounds of periodic gossip in a probe period.
const GOSSIPS_A_PROBE: u32 = 4;
/// Probe periods between foca's own periodic announces.
const PROBES_AN_ANNOUNCE: u32 = 5;

/// The settings of membership, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// The id shared by the fleet: datagrams of another are dropped.
    pub cluster: u32,
    /// How often a random peer is probed.
    pub probe_period: Micros,
    /// After how long a suspect is declared down.
    pub suspicion_timeout: Micros,
    /// The fleet's expected size, for how often an update is retransmitted.
    pub expected_members: usize,
    /// Times that an update of a member is retransmitted besides foca's 4 log10 of the expected size.
    pub extra_transmissions: u8,
    /// How long a summary counts after it came.
    pub summary_ttl: Micros,
    /// The most peers whose summaries are remembered.
    pub max_summaries: usize,
}

/// Foca's settings for ours.
pub(super) fn configure(settings: &SwimSettings) -> Config {
    let expected = settings.expected_members.clamp(1, LARGEST_FLEET) as u32;
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
    // The directory bounds how many are remembered, and for how long.
    config.remove_down_after = Some(Duration::from_micros(TOMBSTONE_TTL));
    if let Some(gossip) = config.periodic_gossip.as_mut() {
        gossip.frequency = probe / GOSSIPS_A_PROBE;
    }
    if let Some(announce) = config.periodic_announce.as_mut() {
        announce.frequency = probe * PROBES_AN_ANNOUNCE;
    }
    if let Some(announce) = config.periodic_announce_to_down_members.as_mut() {
        announce.frequency = probe * PROBES_AN_ANNOUNCE;
    }
    config
}
