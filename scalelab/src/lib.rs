//! Scale tests: each experiment varies one thing, measures at several sizes, and gives slopes with their spread.
//! Hollow front ends (state machines on simulated time) share this process where real ones don't fit.
pub mod bursts;
pub mod chart;
pub mod experiment;
pub mod fit;
pub mod gossip;
pub mod gossip_network;
pub mod harness;
pub mod links;
pub mod module;
pub mod process;
pub mod seats;
pub mod simulated_front_end;
pub mod tally;
pub mod yard;

pub use experiment::{Column, Experiment, Fault, Sweep};
pub use fit::Fit;

/// All experiments, by the file that holds them.
pub fn experiments() -> Vec<&'static Experiment> {
    [
        gossip::EXPERIMENTS,
        module::EXPERIMENTS,
        bursts::EXPERIMENTS,
        seats::EXPERIMENTS,
        process::EXPERIMENTS,
        links::EXPERIMENTS,
    ]
    .into_iter()
    .flatten()
    .collect()
}
