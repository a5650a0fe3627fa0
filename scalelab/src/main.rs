//! scalelab: runs scale tests and prints their tables and fits. See docs/scale.md.
use clap::{Parser, Subcommand};
use scalelab::{chart, experiments, ExperimentError};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of an experiment that did not run.
const EXIT_FAULT: u8 = 2;

#[derive(Parser)]
#[command(
    name = "scalelab",
    version,
    about = "Scale tests: slopes with their spread, one thing varied at a time"
)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Names the experiments, their sizes and bounds.
    List,
    /// Runs one experiment; prints its tables and fits.
    Run {
        name: String,
        /// Sizes to run at, four or more, instead of the experiment's own.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<u64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A folder for the charts, one SVG a sweep.
        #[arg(long)]
        charts: Option<PathBuf>,
    },
}

fn run(
    name: &str,
    sizes: &[u64],
    seed: u64,
    charts: Option<PathBuf>,
) -> Result<(), ExperimentError> {
    let all = experiments();
    let experiment = all
        .iter()
        .find(|experiment| experiment.name == name)
        .ok_or_else(|| ExperimentError::UnknownExperiment(name.into()))?;
    let sizes = experiment.sizes(sizes)?;
    let sweeps = (experiment.run)(&sizes, seed)?;
    for (number, sweep) in (1..).zip(&sweeps) {
        println!("{}", sweep.markdown());
        if let Some(folder) = &charts {
            let path = folder.join(format!("{name}-{number}.svg"));
            chart::draw(sweep, &path)
                .map_err(|error| ExperimentError::Failed(format!("{}: {error}", path.display())))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Action::List => {
            for experiment in experiments() {
                println!(
                    "{}: {} Sizes {:?}, {} at the most.",
                    experiment.name, experiment.about, experiment.sizes, experiment.bound
                );
            }
            Ok(())
        }
        Action::Run {
            name,
            sizes,
            seed,
            charts,
        } => run(&name, &sizes, seed, charts),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scalelab: {error}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}
