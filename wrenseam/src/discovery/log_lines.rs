//! The log lines of discovery, one function each. docs/oncall.md lists them for operators.
use crate::discovery::event::EventError;
use std::fmt::Display;
use std::net::SocketAddr;

/// A known event of the start configuration has an invalid part; the rest of it is used.
pub fn known_event_fault(number: u64, fault: &EventError) -> String {
    format!("start: in known event {number}: {fault}")
}

/// A known event of the start configuration is invalid as a whole.
pub fn known_event_skipped(number: u64, error: &EventError) -> String {
    format!("start: known event {number} skipped: {error}")
}

/// The connection to the discovery service ended.
pub fn connection_ended(address: SocketAddr, last_event: u64, error: impl Display) -> String {
    format!("discovery: connection to {address} ended after event {last_event}: {error}")
}

/// An event was received again with a fault in it; its valid part is used.
pub fn event_fault(number: u64, fault: &EventError) -> String {
    format!("discovery: event {number}: {fault}; its valid instances are used, the rest is requested again")
}

/// An event with a fault has been requested often enough and is not requested again.
pub fn event_fault_ignored(number: u64) -> String {
    format!("discovery: event {number}: its invalid instances are not requested again")
}

/// The discovery service has restarted its event numbers.
pub fn numbers_restarted(last_event: u64, former_last_event: u64) -> String {
    format!(
        "discovery: event numbers restarted, {last_event} is the last after {former_last_event}; the new list is used"
    )
}
