//! Scale tests. Each experiment varies one parameter, measures at several sizes, and fits slopes with their standard
//! errors. Where a machine cannot run enough front end processes, their state machines run in this process on simulated
//! time.
pub mod chart;
pub mod disruptions;
pub mod experiment;
pub mod fit;
pub mod gossip_experiments;
pub mod gossip_network;
pub mod harness;
pub mod policy_scaling;
pub mod process_experiments;
pub mod simulated_front_end;
pub mod simulated_workers;
pub mod slow_start_senders;
pub mod traffic_counts;
pub mod worker_connections;

pub use experiment::{Column, Experiment, ExperimentError, Sweep};
pub use fit::Fit;

/// All experiments, grouped by the module that defines them.
pub fn experiments() -> Vec<&'static Experiment> {
    [
        gossip_experiments::EXPERIMENTS,
        policy_scaling::EXPERIMENTS,
        disruptions::EXPERIMENTS,
        slow_start_senders::EXPERIMENTS,
        process_experiments::EXPERIMENTS,
        worker_connections::EXPERIMENTS,
    ]
    .into_iter()
    .flatten()
    .collect()
}
