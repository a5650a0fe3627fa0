//! fleetlab: runs scenarios of several wrenseam processes, stand-in workers and a load on loopback,
//! with faults between them, and reports what came of it. See docs/fleetlab.md.

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
    about = "Several wrenseam processes under load, with faults between them"
)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Reads a scenario and says whether it holds.
    Check { scenario: PathBuf },
    /// Runs a scenario; writes report.md and report.svg into the folder, and prints the totals.
    Run(Run),
}

#[derive(clap::Args)]
struct Run {
    scenario: PathBuf,
    /// Where the files of the run go.
    #[arg(long, default_value = "fleetlab-out")]
    out: PathBuf,
    /// The program; by default the `wrenseam` beside this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Instead of the scenario's number of front ends.
    #[arg(long)]
    fronts: Option<usize>,
    /// Instead of the scenario's `fleet`: on or off.
    #[arg(long)]
    fleet: Option<Switch>,
    /// Instead of the scenario's seed.
    #[arg(long)]
    seed: Option<u64>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Switch {
    On,
    Off,
}

impl Run {
    /// The scenario, with what the command line changes in it.
    fn scenario(&self) -> Result<Scenario, LabError> {
        let mut scenario = read(&self.scenario)?;
        scenario.fronts = self.fronts.unwrap_or(scenario.fronts);
        if let Some(fleet) = self.fleet {
            scenario.fleet = matches!(fleet, Switch::On);
        }
        scenario.seed = self.seed.unwrap_or(scenario.seed);
        scenario.check()?;
        Ok(scenario)
    }

    /// The program: by default the one beside this.
    fn program(&self) -> Result<PathBuf, LabError> {
        if let Some(program) = &self.program {
            return Ok(program.clone());
        }
        let lab = std::env::current_exe().map_err(|_| LabError::NoProgram)?;
        Ok(lab.with_file_name("wrenseam"))
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

fn read(path: &Path) -> Result<Scenario, LabError> {
    let text = std::fs::read_to_string(path).map_err(LabError::at(path))?;
    Scenario::parse(&text).map_err(|source| LabError::ScenarioFile {
        path: path.to_owned(),
        source,
    })
}

fn check(path: &Path) -> Result<(), LabError> {
    let scenario = read(path)?;
    println!("{}: holds, {} faults", scenario.name, scenario.faults.len());
    Ok(())
}

fn print_last_lines(text: &str, number: usize) {
    let lines: Vec<&str> = text.lines().collect();
    let last = lines.len().saturating_sub(number);
    println!("{}", lines[last..].join("\n"));
}

/// The lines that scripts and tests read.
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
        .figures
        .iter()
        .map(|figures| figures.get("peers"))
        .map(|peers| peers.map_or("-".to_owned(), |peers| peers.to_string()))
        .collect();
    println!("PEERS {}", peers.join(","));
    let cold: Vec<String> = outcome
        .cold
        .iter()
        .map(|worker| format!("w{}={:.2}", worker.index, worker.worst_part))
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
