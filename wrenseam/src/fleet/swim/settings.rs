//! The settings of membership, and foca's own made of them.
use crate::fleet::directory::GONE_FOR;
use crate::fleet::identity::{HEADER_BYTES, MAX_DATAGRAM};
use foca::Config;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use wrenseam_policy::Micros;

/// The settings of membership, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// A name shared by the fleet: datagrams of another are dropped.
    pub cluster: u32,
    /// How often a random peer is probed.
    pub probe: Micros,
    /// After how long a suspect is declared down.
    pub suspect_for: Micros,
    /// The fleet's expected size, for how often an update is retransmitted.
    pub expected: usize,
    /// Times that an update of a member is retransmitted besides foca's 4 log10 of the expected size.
    pub extra_transmissions: u8,
    /// How long a summary counts after it came.
    pub fresh_for: Micros,
    /// Peers of which summaries are held at the most.
    pub capacity: usize,
}

/// Foca's settings for ours.
pub(super) fn configure(settings: &SwimSettings) -> Config {
    let size =
        NonZeroU32::new(settings.expected.clamp(1, 100_000) as u32).unwrap_or(NonZeroU32::MIN);
    let mut config = Config::new_lan(size);
    let probe = Duration::from_micros(settings.probe.max(10_000));
    config.probe_period = probe;
    config.probe_rtt = probe / 2;
    config.suspect_to_down_after = Duration::from_micros(settings.suspect_for.max(settings.probe));
    config.max_packet_size =
        NonZeroUsize::new(MAX_DATAGRAM - HEADER_BYTES).unwrap_or(NonZeroUsize::MIN);
    let times = config
        .max_transmissions
        .saturating_add(settings.extra_transmissions);
    config.max_transmissions = times;
    // The directory bounds how many are remembered, and for how long.
    config.remove_down_after = Some(Duration::from_micros(GONE_FOR));
    if let Some(gossip) = config.periodic_gossip.as_mut() {
        gossip.frequency = probe / 4;
    }
    if let Some(announce) = config.periodic_announce.as_mut() {
        announce.frequency = probe * 5;
    }
    if let Some(announce) = config.periodic_announce_to_down_members.as_mut() {
        announce.frequency = probe * 5;
    }
    config
}
