//! scalelab: runs scale tests and prints their tables and linear fits. See docs/scale.md.
use clap::{Parser, Subcommand};
use scalelab::{chart, experiments, ExperimentError};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status if an experiment is unknown or failed.
const EXIT_FAILURE: u8 = 2;

#[derive(Parser)]
#[command(
    name = "scalelab",
    version,
    about = "Scale tests: vary one parameter at a time and fit slopes with their standard errors"
)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Lists the experiments with their sizes and largest allowed size.
    List,
    /// Runs one experiment and prints its tables and linear fits.
    Run {
        name: String,
        /// Sizes to run at, at least four different ones, instead of the experiment's defaults.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<u64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Directory to write charts to, one SVG file per table.
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
        if let Some(directory) = &charts {
            let path = directory.join(format!("{name}-{number}.svg"));
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
                    "{}: {} Sizes {:?}, at most {}.",
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
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
