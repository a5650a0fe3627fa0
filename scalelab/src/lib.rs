//! Scale tests: each experiment varies one thing, measures at several sizes, and gives slopes with their spread.
//! Simulated front ends (state machines on simulated time) share this process where real ones would not fit.
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

/// All experiments, by the file that holds them.
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
