//! The report of a run: a table a second (Markdown), totals, and a plot (SVG, `plotters`).
use crate::fleet_view::figure;
use crate::lab::Outcome;
use crate::metrics::Counter;
use crate::scenario::Scenario;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// The run's totals, over all processes together.
pub struct Totals {
    pub offered: u64,
    pub served: u64,
    pub failed: u64,
    pub refused: u64,
    pub unanswered: u64,
    pub retried: u64,
    /// Calls that reached workers, over offered requests.
    pub calls_per_request: f64,
    /// Extra attempts the front ends made to workers, summed from their figures.
    pub extra_attempts: u64,
    pub extra_denied: u64,
    pub goodput_per_s: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub probes: u64,
    /// Calls that came whole to workers though they may have run before.
    pub repeats: u64,
}

pub fn totals(s: &Scenario, o: &Outcome) -> Totals {
    let t = &o.metrics;
    let offered = t.total(Counter::Offered);
    let sum = |name: &str| o.figures.iter().filter_map(|f| figure(f, name)).sum();
    Totals {
        offered,
        served: t.total(Counter::Served),
        failed: t.total(Counter::Failed),
        refused: t.total(Counter::Refused),
        unanswered: t.total(Counter::Unanswered),
        retried: t.total(Counter::Retried),
        calls_per_request: t.total(Counter::Calls) as f64 / offered.max(1) as f64,
        extra_attempts: sum("extra_attempts"),
        extra_denied: sum("extra_denied"),
        goodput_per_s: t.total(Counter::Served) as f64 / s.seconds as f64,
        p50_ms: t.quantile_ms(None, 0.5),
        p99_ms: t.quantile_ms(None, 0.99),
        probes: t.total(Counter::Probes),
        repeats: t.total(Counter::Repeats),
    }
}

/// Writes `report.md` and `report.svg` into `folder`; the Markdown's text.
///
/// # Errors
/// A file cannot be written.
pub fn write(s: &Scenario, o: &Outcome, folder: &Path) -> Result<String, String> {
    let t = &o.metrics;
    let x = totals(s, o);
    let mut md = String::new();
    let _ = writeln!(
        md,
        "# fleetlab: {} (seed {}, {} front ends, fleet {})\n",
        s.name, s.seed, s.fronts, s.fleet
    );
    let _ = writeln!(md, "| s | offered | served | refused | retried | failed | unanswered | worker calls | probes | p50 ms | p99 ms |");
    let _ = writeln!(md, "|---|---|---|---|---|---|---|---|---|---|---|");
    let seconds = (s.seconds as usize + 2).min(t.seconds());
    for sec in 0..seconds {
        let g = |c| t.get(sec, c);
        let _ = writeln!(
            md,
            "| {sec} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} | {:.1} |",
            g(Counter::Offered),
            g(Counter::Served),
            g(Counter::Refused),
            g(Counter::Retried),
            g(Counter::Failed),
            g(Counter::Unanswered),
            g(Counter::Calls),
            g(Counter::Probes),
            t.quantile_ms(Some(sec), 0.5),
            t.quantile_ms(Some(sec), 0.99)
        );
    }
    let _ = writeln!(
        md,
        "\nTotals: offered {}, served {}, failed {}, refused {}, unanswered {}, retried {}; worker calls per request {:.3}; front ends' extra attempts {} (denied {}); goodput {:.1}/s; p50 {:.1} ms, p99 {:.1} ms; probes {}; calls that came whole again {}.",
        x.offered, x.served, x.failed, x.refused, x.unanswered, x.retried, x.calls_per_request, x.extra_attempts,
        x.extra_denied, x.goodput_per_s, x.p50_ms, x.p99_ms, x.probes, x.repeats
    );
    let d = &o.done;
    let _ = writeln!(
        md,
        "Relays: passed {}, dropped {}, doubled {}, held {}, reset {}, black-holed {}. Ended by themselves: {:?}. Fleet formed in {}.",
        d.passed, d.dropped, d.doubled, d.held, d.reset, d.holed, o.died,
        o.joined_s.map_or("- (off)".to_owned(), |j| format!("{j:.2} s"))
    );
    std::fs::write(folder.join("report.md"), &md).map_err(|e| e.to_string())?;
    plot(o, seconds, &folder.join("report.svg")).map_err(|e| format!("plot: {e}"))?;
    Ok(md)
}

fn plot(o: &Outcome, seconds: usize, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let t = &o.metrics;
    let series = [
        (Counter::Offered, "offered", BLUE),
        (Counter::Served, "served", GREEN),
        (Counter::Refused, "refused", RED),
        (Counter::Retried, "retried", MAGENTA),
        (Counter::Calls, "worker calls", BLACK),
    ];
    let top = series
        .iter()
        .flat_map(|(c, _, _)| (0..seconds).map(|s| t.get(s, *c)))
        .max()
        .unwrap_or(1)
        .max(1);
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("per second, all front ends together", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..seconds as u32, 0..top + top / 10)?;
    chart.configure_mesh().x_desc("s").y_desc("count").draw()?;
    for (c, name, colour) in series {
        chart
            .draw_series(LineSeries::new(
                (0..seconds).map(|s| (s as u32, t.get(s, c))),
                colour,
            ))?
            .label(name)
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
