//! fleetlab: runs a scenario with several wrenseam processes, simulated workers and a load on loopback, injects faults
//! between them, and writes a report. See docs/fleetlab.md.

use clap::{Parser, Subcommand};
use fleetlab::error::LabError;
use fleetlab::lab::{self, Outcome};
use fleetlab::report::{self, Totals};
use fleetlab::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "fleetlab",
    version,
    about = "Runs several wrenseam processes under load and injects faults between them"
)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Validates a scenario file without running it.
    Check {
        /// Path of the scenario file (JSON).
        scenario: PathBuf,
    },
    /// Runs a scenario, writes report.md and report.svg into the output directory, and prints the totals.
    Run(Run),
}

#[derive(clap::Args)]
struct Run {
    /// Path of the scenario file (JSON).
    scenario: PathBuf,
    /// Output directory for the files of the run; created if it does not exist.
    #[arg(long, default_value = "fleetlab-out")]
    out: PathBuf,
    /// Path of the wrenseam program; by default `wrenseam` in the directory of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Number of front ends; overrides the scenario's `fronts`.
    #[arg(long)]
    fronts: Option<usize>,
    /// Whether the front ends form a fleet; overrides the scenario's `fleet`.
    #[arg(long)]
    fleet: Option<Switch>,
    /// Seed of the run; overrides the scenario's `seed`.
    #[arg(long)]
    seed: Option<u64>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Switch {
    On,
    Off,
}

impl Run {
    /// Reads the scenario file, applies the overrides of the command line, and validates the result.
    fn scenario(&self) -> Result<Scenario, LabError> {
        let mut scenario = read_scenario(&self.scenario)?;
        scenario.fronts = self.fronts.unwrap_or(scenario.fronts);
        if let Some(fleet) = self.fleet {
            scenario.fleet = matches!(fleet, Switch::On);
        }
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        scenario.check()?;
        Ok(scenario)
    }

    /// Path of the wrenseam program: `--program`, or `wrenseam` in the directory of this program.
    fn program(&self) -> Result<PathBuf, LabError> {
        if let Some(program) = &self.program {
            return Ok(program.clone());
        }
        let this_program = std::env::current_exe().map_err(|_| LabError::NoExecutablePath)?;
        Ok(this_program.with_file_name("wrenseam"))
    }

    fn run(&self) -> Result<(), LabError> {
        let scenario = self.scenario()?;
        let outcome = lab::run(&scenario, &self.program()?, &self.out)?;
        let report = report::write(&scenario, &outcome, &self.out)?;
        let totals = report::totals(&scenario, &outcome);
        print_last_lines(&report, 2);
        print_outcome(&outcome, &totals);
        if scenario.is_fragile() && totals.repeats > 0 {
            return Err(LabError::Repeated(totals.repeats));
        }
        Ok(())
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, LabError> {
    let text = std::fs::read_to_string(path).map_err(LabError::at(path))?;
    Scenario::parse(&text).map_err(|source| LabError::ScenarioFile {
        path: path.to_owned(),
        source,
    })
}

fn check(path: &Path) -> Result<(), LabError> {
    let scenario = read_scenario(path)?;
    println!("{}: valid, {} faults", scenario.name, scenario.faults.len());
    Ok(())
}

fn print_last_lines(text: &str, number: usize) {
    let lines: Vec<&str> = text.lines().collect();
    let last = lines.len().saturating_sub(number);
    println!("{}", lines[last..].join("\n"));
}

/// Prints the lines that scripts and tests parse: TOTALS, PEERS, COLD, and, where the scenario asks for agreement,
/// AGREED and WRONGED.
fn print_outcome(outcome: &Outcome, totals: &Totals) {
    println!(
        "TOTALS offered={} served={} failed={} refused={} unanswered={} retried={} calls_per_request={:.3} extra_attempts={} extra_denied={} goodput={:.1} p99_ms={:.1} died={} repeats={}",
        totals.offered,
        totals.served,
        totals.failed,
        totals.refused,
        totals.unanswered,
        totals.retried,
        totals.calls_per_request,
        totals.extra_attempts,
        totals.extra_denied,
        totals.goodput_per_s,
        totals.p99_ms,
        outcome.died.len(),
        totals.repeats
    );
    let peers: Vec<String> = outcome
        .fleet_telemetry
        .iter()
        .map(|telemetry| telemetry.get("peers"))
        .map(|peers| peers.map_or("-".to_owned(), |peers| peers.to_string()))
        .collect();
    println!("PEERS {}", peers.join(","));
    let cold: Vec<String> = outcome
        .cold
        .iter()
        .map(|worker| format!("w{}={:.2}", worker.index, worker.peak_ratio))
        .collect();
    println!("COLD {}", cold.join(" "));
    if let Some(agreement) = &outcome.agreement {
        println!(
            "AGREED after_ms={} fronts={}",
            agreement.after.as_millis(),
            agreement.fronts
        );
        println!("WRONGED {}", outcome.wrongly_declared_down.len());
    }
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Action::Check { scenario } => check(&scenario),
        Action::Run(run) => run.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleetlab: {error}");
            ExitCode::from(2)
        }
    }
}
