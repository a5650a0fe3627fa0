//! fleetlab: runs scenarios of several wrenseam processes, stand-in workers and gateways on loopback,
//! with faults between them, and reports what came of it. See docs/fleetlab.md.

use clap::{Parser, Subcommand};
use fleetlab::{fleet_view, lab, report, scenario};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "fleetlab",
    version,
    about = "Several wrenseam processes under load, with faults between them"
)]
struct Cli {
    #[command(subcommand)]
    command: Order,
}

#[derive(Subcommand)]
enum Order {
    /// Reads a scenario and says whether it holds.
    Check { scenario: PathBuf },
    /// Runs a scenario; writes report.md and report.svg into the folder, and prints the totals.
    Run {
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
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Switch {
    On,
    Off,
}

fn read(path: &PathBuf) -> Result<scenario::Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    scenario::Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Order::Check { scenario } => read(&scenario).map(|s| println!("{}: holds, {} faults", s.name, s.faults.len())),
        Order::Run { scenario, out, program, fronts, fleet, seed } => read(&scenario).and_then(|mut s| {
            s.fronts = fronts.unwrap_or(s.fronts);
            s.fleet = fleet.map_or(s.fleet, |f| matches!(f, Switch::On));
            s.seed = seed.unwrap_or(s.seed);
            s.check()?;
            let program = program
                .or_else(|| std::env::current_exe().ok().map(|e| e.with_file_name("wrenseam")))
                .ok_or("no program")?;
            let outcome = lab::run(&s, &program, &out)?;
            let md = report::write(&s, &outcome, &out)?;
            let x = report::totals(&s, &outcome);
            println!("{}", md.lines().rev().take(2).collect::<Vec<_>>().into_iter().rev().collect::<Vec<_>>().join("\n"));
            println!(
                "TOTALS offered={} served={} failed={} refused={} unanswered={} retried={} calls_per_request={:.3} extra_attempts={} extra_denied={} goodput={:.1} p99_ms={:.1} died={} repeats={}",
                x.offered, x.served, x.failed, x.refused, x.unanswered, x.retried, x.calls_per_request,
                x.extra_attempts, x.extra_denied, x.goodput_per_s, x.p99_ms, outcome.died.len(), x.repeats
            );
            let peers: Vec<String> = outcome
                .figures
                .iter()
                .map(|f| fleet_view::figure(f, "peers").map_or("-".to_owned(), |p| p.to_string()))
                .collect();
            println!("PEERS {}", peers.join(","));
            let cold: Vec<String> = outcome.cold.iter().map(|(w, part)| format!("w{w}={part:.2}")).collect();
            println!("COLD {}", cold.join(" "));
            if let Some(agreed) = &outcome.agreed {
                println!("AGREED after_ms={} fronts={}", agreed.after.as_millis(), agreed.fronts);
                println!("WRONGED {}", outcome.wronged.len());
            }
            if s.is_fragile() && x.repeats > 0 {
                return Err(format!("{} calls that must not be repeated came whole again", x.repeats));
            }
            Ok(())
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fleetlab: {e}");
            ExitCode::from(2)
        }
    }
}
