//! The texts of the fleet's log lines, one function each. docs/oncall.md describes them for operators.
use crate::fleet::record::RecordError;
use crate::fleet::swim::DropCounts;
use std::net::SocketAddr;

/// A peer joined; `alive` peers are counted alive now.
pub fn peer_up(peer: SocketAddr, alive: usize) -> String {
    format!("fleet: peer {peer} up, {alive} alive")
}

/// A peer was declared down; `alive` peers are counted alive now.
pub fn peer_down(peer: SocketAddr, alive: usize) -> String {
    format!("fleet: peer {peer} down, {alive} alive")
}

/// A peer announced that it leaves, and left; `alive` peers are counted alive now.
pub fn peer_left(peer: SocketAddr, alive: usize) -> String {
    format!("fleet: peer {peer} left, {alive} alive")
}

/// No peer is counted alive any longer.
pub fn isolated() -> String {
    "fleet: no peer alive; retry budget by this front end's share only".to_owned()
}

/// The peers declared this front end down, and it rejoined the fleet.
pub fn rejoined() -> String {
    "fleet: declared down by peers, rejoined under a new incarnation".to_owned()
}

/// This front end's record exceeds its limits. The previous record stays published.
pub fn record_not_published(error: &RecordError) -> String {
    format!("fleet: member record not published: {error}")
}

/// SWIM dropped further datagrams. The counts by cause are totals since the start of the process.
pub fn datagrams_dropped(dropped: &DropCounts) -> String {
    format!(
        "fleet: datagrams dropped: {} oversized, {} foreign, {} garbled",
        dropped.oversized, dropped.foreign, dropped.garbled
    )
}

/// A front end of a version without averaging joined the fleet, or the last of them left it.
pub fn mixed_versions(is_mixed: bool) -> String {
    if is_mixed {
        "fleet: mixed versions: load summaries are gossiped for front ends without averaging"
            .to_owned()
    } else {
        "fleet: no mixed versions any more: load summaries stopped".to_owned()
    }
}
