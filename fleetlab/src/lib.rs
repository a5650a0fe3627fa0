//! The fleet lab: runs several wrenseam processes with simulated workers and clients on loopback, and injects faults
//! between them. docs/fleetlab.md describes the scenarios.
pub mod clock;
pub mod coroutine;
pub mod error;
pub mod faults;
pub mod fleet_view;
pub mod infer;
pub mod lab;
pub mod load_generator;
pub mod metrics;
pub mod process;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod wire;
pub mod worker;
