//! scalelab: runs scale tests and prints their tables and fits. See docs/scale.md.
use clap::{Parser, Subcommand};
use scalelab::{chart, experiments, ExperimentError};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "scalelab",
    version,
    about = "Scale tests: slopes with their spread, one thing varied at a time"
)]
struct Cli {
    #[command(subcommand)]
    command: Order,
}

#[derive(Subcommand)]
enum Order {
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
        .find(|e| e.name == name)
        .ok_or_else(|| ExperimentError::UnknownExperiment(name.into()))?;
    for (i, sweep) in (experiment.run)(&experiment.sizes(sizes)?, seed)?
        .iter()
        .enumerate()
    {
        println!("{}", sweep.markdown());
        if let Some(folder) = &charts {
            let path = folder.join(format!("{name}-{}.svg", i + 1));
            chart::draw(sweep, &path)
                .map_err(|e| ExperimentError::Failed(format!("{}: {e}", path.display())))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Order::List => {
            for e in experiments() {
                println!(
                    "{}: {} Sizes {:?}, {} at the most.",
                    e.name, e.about, e.sizes, e.bound
                );
            }
            Ok(())
        }
        Order::Run {
            name,
            sizes,
            seed,
            charts,
        } => run(&name, &sizes, seed, charts),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("scalelab: {e}");
            ExitCode::from(2)
        }
    }
}
