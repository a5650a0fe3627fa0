//! The texts of the fleet's log lines, one function each. docs/oncall.md says what each means for the operator.
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

/// A peer left after it said so; `alive` peers are counted alive now.
pub fn peer_left(peer: SocketAddr, alive: usize) -> String {
    format!("fleet: peer {peer} left, {alive} alive")
}

/// No peer is counted alive any more.
pub fn isolated() -> String {
    "fleet: no peer alive; retry budget by this front end's share only".to_owned()
}

/// The peers had declared this front end down, and it came back.
pub fn rejoined() -> String {
    "fleet: declared down by peers, rejoined under a new incarnation".to_owned()
}

/// This front end's record is beyond its bounds; the former one stays published.
pub fn record_not_published(error: &RecordError) -> String {
    format!("fleet: member record not published: {error}")
}

/// Datagrams were dropped, counted by cause since the start.
pub fn datagrams_dropped(dropped: &DropCounts) -> String {
    format!(
        "fleet: datagrams dropped: {} oversized, {} foreign, {} garbled",
        dropped.oversized, dropped.foreign, dropped.garbled
    )
}

/// Front ends of a version without averaging came into the fleet, or the last of them has gone.
pub fn mixed_versions(is_mixed: bool) -> String {
    if is_mixed {
        "fleet: mixed versions: load summaries are gossiped for front ends without averaging"
            .to_owned()
    } else {
        "fleet: no mixed versions any more: load summaries stopped".to_owned()
    }
}
