//! The report of a run: a table with a row per second and the totals (Markdown), and a plot (SVG, with `plotters`).
use crate::error::LabError;
use crate::lab::Outcome;
use crate::metrics::Counter;
use crate::scenario::Scenario;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, BLACK, BLUE,
    GREEN, MAGENTA, RED, WHITE,
};
use std::fmt::Write;
use std::path::Path;

/// Number of seconds after the end of the load that the report includes: requests end after they start.
const EXTRA_SECONDS: usize = 2;
/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);

/// Totals of a run over all front ends, workers and seconds. In the report, `refused` stands for rejected.
pub struct Totals {
    /// Requests that clients started, retries not counted.
    pub offered: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were not served by any of their attempts.
    pub failed: u64,
    /// Attempts that were rejected.
    pub refused: u64,
    /// Attempts without a complete response in time.
    pub unanswered: u64,
    /// Attempts after the first of a request.
    pub retried: u64,
    /// Calls that reached workers, divided by the requests offered.
    pub calls_per_request: f64,
    /// Extra attempts that the front ends made at workers: sum over the telemetry of those that run at the end.
    pub extra_attempts: u64,
    /// Extra attempts that the front ends' retry budgets denied: sum over the telemetry of those that run at the end.
    pub extra_denied: u64,
    /// Requests served, divided by the duration of the load in seconds.
    pub goodput_per_s: f64,
    /// Median latency of the served requests, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests, in ms.
    pub p99_ms: f64,
    /// Health checks that reached workers.
    pub probes: u64,
    /// Calls that reached a worker completely although they may have run before.
    pub repeats: u64,
}

/// Computes the totals of a run.
pub fn totals(scenario: &Scenario, outcome: &Outcome) -> Totals {
    let metrics = &outcome.metrics;
    let offered = metrics.total(Counter::Offered);
    let served = metrics.total(Counter::Served);
    let calls = metrics.total(Counter::Calls);
    let sum = |name: &str| {
        let fronts = outcome.fleet_telemetry.iter();
        fronts.filter_map(|telemetry| telemetry.get(name)).sum()
    };
    Totals {
        offered,
        served,
        failed: metrics.total(Counter::Failed),
        refused: metrics.total(Counter::Refused),
        unanswered: metrics.total(Counter::Unanswered),
        retried: metrics.total(Counter::Retried),
        calls_per_request: calls as f64 / offered.max(1) as f64,
        extra_attempts: sum("extra_attempts"),
        extra_denied: sum("extra_denied"),
        goodput_per_s: served as f64 / scenario.seconds as f64,
        p50_ms: metrics.total_quantile_ms(0.5),
        p99_ms: metrics.total_quantile_ms(0.99),
        probes: metrics.total(Counter::Probes),
        repeats: metrics.total(Counter::Repeats),
    }
}

/// Writes `report.md` and `report.svg` into `folder`, and returns the text of `report.md`.
///
/// # Errors
/// A file cannot be written.
pub fn write(scenario: &Scenario, outcome: &Outcome, folder: &Path) -> Result<String, LabError> {
    let load_seconds = scenario.seconds as usize;
    let seconds = (load_seconds + EXTRA_SECONDS).min(outcome.metrics.seconds());
    let mut report = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_table(&mut report, scenario, outcome, seconds);
    let _ = write_totals(&mut report, &totals(scenario, outcome));
    let _ = write_relays(&mut report, outcome);
    std::fs::write(folder.join("report.md"), &report)?;
    plot(outcome, seconds, &folder.join("report.svg")).map_err(LabError::Plot)?;
    Ok(report)
}

/// Writes the heading and the table with a row per second.
fn write_table(
    report: &mut String,
    scenario: &Scenario,
    outcome: &Outcome,
    seconds: usize,
) -> std::fmt::Result {
    writeln!(
        report,
        "# fleetlab: {} (seed {}, {} front ends, fleet {})\n",
        scenario.name, scenario.seed, scenario.fronts, scenario.fleet
    )?;
    writeln!(report, "| s | offered | served | refused | retried | failed | unanswered | worker calls | probes | p50 ms | p99 ms |")?;
    writeln!(report, "|---|---|---|---|---|---|---|---|---|---|---|")?;
    let metrics = &outcome.metrics;
    for second in 0..seconds {
        let count = |counter| metrics.count(second, counter);
        writeln!(
            report,
            "| {second} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.1} |",
            count(Counter::Offered),
            count(Counter::Served),
            count(Counter::Refused),
            count(Counter::Retried),
            count(Counter::Failed),
            count(Counter::Unanswered),
            count(Counter::Calls),
            count(Counter::Probes),
            metrics.quantile_ms(second, 0.5),
            metrics.quantile_ms(second, 0.99)
        )?;
    }
    Ok(())
}

fn write_totals(report: &mut String, totals: &Totals) -> std::fmt::Result {
    writeln!(
        report,
        "\nTotals: offered {}, served {}, failed {}, refused {}, unanswered {}, retried {}; worker calls per request {:.3}; front ends' extra attempts {} (denied {}); goodput {:.1}/s; p50 {:.1} ms, p99 {:.1} ms; probes {}; calls that came whole again {}.",
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
        totals.p50_ms,
        totals.p99_ms,
        totals.probes,
        totals.repeats
    )
}

fn write_relays(report: &mut String, outcome: &Outcome) -> std::fmt::Result {
    let counts = &outcome.relay_counts;
    let formed_in = outcome
        .joined_s
        .map_or("- (off)".to_owned(), |joined_s| format!("{joined_s:.2} s"));
    writeln!(
        report,
        "Relays: passed {}, dropped {}, doubled {}, held {}, reset {}, black-holed {}. Ended by themselves: {:?}. Fleet formed in {formed_in}.",
        counts.passed,
        counts.dropped,
        counts.duplicated,
        counts.delayed,
        counts.reset,
        counts.black_holed,
        outcome.died,
    )
}

/// A line of the plot: a counter's value in each second.
struct Series {
    counter: Counter,
    name: &'static str,
    colour: RGBColor,
}

/// All lines of the plot.
const SERIES: [Series; 5] = [
    Series {
        counter: Counter::Offered,
        name: "offered",
        colour: BLUE,
    },
    Series {
        counter: Counter::Served,
        name: "served",
        colour: GREEN,
    },
    Series {
        counter: Counter::Refused,
        name: "refused",
        colour: RED,
    },
    Series {
        counter: Counter::Retried,
        name: "retried",
        colour: MAGENTA,
    },
    Series {
        counter: Counter::Calls,
        name: "worker calls",
        colour: BLACK,
    },
];

fn plot(outcome: &Outcome, seconds: usize, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let metrics = &outcome.metrics;
    let counts = SERIES
        .iter()
        .flat_map(|series| (0..seconds).map(|second| metrics.count(second, series.counter)));
    let max_count = counts.max().unwrap_or(1).max(1);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("per second, all front ends together", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..seconds as u32, 0..max_count + max_count / 10)?;
    chart.configure_mesh().x_desc("s").y_desc("count").draw()?;
    for series in SERIES {
        let points =
            (0..seconds).map(|second| (second as u32, metrics.count(second, series.counter)));
        let colour = series.colour;
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
