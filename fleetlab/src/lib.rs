//! The fleet lab: several processes of the program on loopback, stand-in workers and gateways, and faults between
//! them. docs/fleetlab.md has the scenarios.
pub mod clock;
pub mod faults;
pub mod gateway;
pub mod lab;
pub mod process;
pub mod proxy;
pub mod report;
pub mod scenario;
pub mod tally;
pub mod views;
pub mod wire;
pub mod worker;
