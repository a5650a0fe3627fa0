//! What front ends send each other, against the fleet's size and its faults: experiments on the simulated network.
use crate::gossip_network::{GossipProtocol, MeanError, SimulatedNetwork, IP_UDP, MS, ZONES};
use crate::traffic_counts::TrafficCounts;
use crate::{Column, Experiment, ExperimentError, Sweep};

const SIZES: &[u64] = &[3, 10, 30, 100, 330, 660];
const BOUND: u64 = 1000;

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "gossip",
        about:
            "Front ends' traffic, error of the mean and time to notice, with the view; no loss, probe 500 ms.",
        sizes: SIZES,
        bound: BOUND,
        run: |sizes, seed| Ok(vec![sweep("the view of bounded size", sizes, seed, GossipProtocol::BoundedView)?]),
    },
    Experiment {
        name: "gossip-before",
        about: "The same with a summary of each front end to all, as before the view.",
        sizes: SIZES,
        bound: BOUND,
        run: |sizes, seed| Ok(vec![sweep("a summary of each to all", sizes, seed, GossipProtocol::Summaries)?]),
    },
    Experiment {
        name: "gossip-troubles",
        about: "With the view: a zone lost and back, regions cut and healed, 12% restarted, 1% lost.",
        sizes: &[10, 30, 100, 330, 660],
        bound: BOUND,
        run: fault_scenarios,
    },
];

const COLUMNS: [(&str, bool); 18] = [
    ("datagrams/s sent", true),
    ("bytes/s sent", true),
    ("bytes/s sent and received", true),
    ("with IP and UDP", true),
    ("SWIM's own bytes/s sent", true),
    ("members' bytes/s sent", true),
    ("summaries' bytes/s sent", true),
    ("averaging's bytes/s sent", true),
    ("records' bytes/s sent", true),
    ("processor us/s", false),
    ("error of the mean, worst, %", true),
    ("error of the mean, rms, %", true),
    ("worst, loads redrawn by 15% each probe period", true),
    ("worst, loads redrawn by 60%", true),
    ("rms, loads redrawn by 60%", true),
    ("heard share, %", true),
    ("mean within 5% after a step, s", true),
    ("all count a dead peer out, s", true),
];

fn columns(names: &[(&'static str, bool)]) -> Vec<Column> {
    names
        .iter()
        .map(|&(name, exact)| Column { name, exact })
        .collect()
}

fn seconds(took: Option<u64>) -> f64 {
    took.map_or(f64::NAN, |us| us as f64 / 1e6)
}

fn sweep(
    title: &str,
    sizes: &[u64],
    seed: u64,
    protocol: GossipProtocol,
) -> Result<Sweep, ExperimentError> {
    let mut rows = Vec::new();
    for &size in sizes {
        rows.push((size, row(size as usize, protocol, seed)?));
    }
    let title = format!("Gossip for each front end, {title} (probe 500 ms, no loss, seed {seed})");
    Ok(Sweep {
        title,
        varied: "front ends",
        columns: columns(&COLUMNS),
        rows,
    })
}

/// One fleet: its steady state, with loads that change, after a step of the load and after a crash.
fn row(
    front_ends: usize,
    protocol: GossipProtocol,
    seed: u64,
) -> Result<Vec<f64>, ExperimentError> {
    let mut net = SimulatedNetwork::settled(front_ends, protocol, seed)?;
    net.traffic = TrafficCounts::default();
    let steady = watch_error(&mut net, MEASURED);
    let mut row = traffic_figures(&net.traffic, front_ends);
    let small_redraw = error_with_redraw(&mut net, SMALL_REDRAW);
    let large_redraw = error_with_redraw(&mut net, LARGE_REDRAW);
    net.redraw = None;
    net.run(net.now + REDRAW_SETTLE);
    let heard = net
        .peers
        .iter()
        .map(|peer| peer.news.edges.heard as f64 / peer.news.edges.total.max(1) as f64)
        .fold(1.0, f64::min);
    net.step(STEP_PRESSURE);
    let step = net.until(RECOVERY_LIMIT, |net| net.error().worst <= CLOSE);
    net.kill(front_ends / 2);
    let dead = net.until(RECOVERY_LIMIT, |net| net.size_error() == 0.0);
    row.extend([
        steady.worst * 100.0,
        steady.rms * 100.0,
        small_redraw.worst * 100.0,
        large_redraw.worst * 100.0,
        large_redraw.rms * 100.0,
        heard * 100.0,
        seconds(step),
        seconds(dead),
    ]);
    Ok(row)
}

/// The first columns: what each front end sent and received in a second, and its processor time.
fn traffic_figures(traffic: &TrafficCounts, front_ends: usize) -> Vec<f64> {
    let each = |total: u64| total as f64 / MEASURED as f64 / front_ends as f64;
    let both = each(traffic.sent + traffic.received);
    vec![
        each(traffic.datagrams),
        each(traffic.sent),
        both,
        both + 2.0 * IP_UDP as f64 * each(traffic.datagrams),
        each(traffic.swim),
        each(traffic.members),
        each(traffic.summaries),
        each(traffic.average),
        each(traffic.records),
        each(traffic.busy.as_micros() as u64),
    ]
}

/// Ranges of loads that are drawn again in each probe period, in thousandths about 500: 15% and 60% of it.
const SMALL_REDRAW: u32 = 75;
const LARGE_REDRAW: u32 = 300;
/// Simulated time until the error of the mean has come to the level of a redraw.
const REDRAW_SETTLE: u64 = 3000 * MS;
/// The load of one zone after a step, in thousandths of capacity.
const STEP_PRESSURE: u32 = 4000;
/// Longest simulated time that a recovery is waited for.
const RECOVERY_LIMIT: u64 = 60_000 * MS;
/// An error that counts as small, as a part of the truth.
const CLOSE: f64 = 0.05;
/// Bytes a second that a front end should not exceed.
const BYTES_LIMIT: f64 = 22_000.0;

fn error_with_redraw(net: &mut SimulatedNetwork, range: u32) -> MeanError {
    net.redraw = Some(range);
    net.run(net.now + REDRAW_SETTLE);
    watch_error(net, MEASURED)
}

/// Simulated seconds over which a steady state is measured.
const MEASURED: u64 = 10;

/// The largest error of the mean over this many seconds, and its root mean square.
fn watch_error(net: &mut SimulatedNetwork, seconds: u64) -> MeanError {
    let mut worst = 0.0f64;
    let mut square = 0.0;
    for _ in 0..seconds {
        net.run(net.now + 1000 * MS);
        let error = net.error();
        worst = worst.max(error.worst);
        square += error.rms * error.rms;
    }
    MeanError {
        worst,
        rms: f64::sqrt(square / seconds as f64),
    }
}

/// One fault: what is done to the settled fleet, and after how long it is undone.
struct FaultScenario {
    name: &'static str,
    begin: fn(&mut SimulatedNetwork),
    lasts: u64,
    end: fn(&mut SimulatedNetwork),
}

/// Loads these front ends with three times their capacity and lets the fleet see it: losing them is a step.
fn load(net: &mut SimulatedNetwork, which: fn(usize) -> bool) {
    net.peers
        .iter_mut()
        .enumerate()
        .filter(|(i, _)| which(*i))
        .for_each(|(_, f)| f.pressure = 3000);
    net.run(net.now + 5000 * MS);
}

fn zone(net: &SimulatedNetwork) -> Vec<usize> {
    (0..net.peers.len())
        .filter(|i| i % ZONES == ZONES - 1)
        .collect()
}

/// Twelve in a hundred, as 79 of 660, at least one; not the seeds.
fn some(net: &SimulatedNetwork) -> Vec<usize> {
    let n = net.peers.len();
    (2..2 + (n * 79).div_ceil(660)).collect()
}

const FAULT_SCENARIOS: &[FaultScenario] = &[
    FaultScenario {
        name: "a zone lost for 30 s",
        begin: |net| {
            load(net, |i| i % ZONES == ZONES - 1);
            zone(net).into_iter().for_each(|i| net.kill(i));
        },
        lasts: 30_000 * MS,
        end: |net| zone(net).into_iter().for_each(|i| net.start(i, 0)),
    },
    FaultScenario {
        name: "regions cut for an hour",
        begin: |net| {
            load(net, |i| i % ZONES >= 4);
            for (i, peer) in net.peers.iter_mut().enumerate() {
                peer.side = u8::from(i % ZONES >= 4);
            }
        },
        lasts: 3_600_000 * MS,
        end: |net| net.peers.iter_mut().for_each(|peer| peer.side = 0),
    },
    FaultScenario {
        name: "12% restarted at once, 5 s down",
        begin: |net| some(net).into_iter().for_each(|i| net.kill(i)),
        lasts: 5_000 * MS,
        end: |net| some(net).into_iter().for_each(|i| net.start(i, 0)),
    },
    FaultScenario {
        name: "1% lost",
        begin: |net| net.loss = 0.01,
        lasts: 30_000 * MS,
        end: |net| net.loss = 0.0,
    },
];

const FAULT_COLUMNS: [(&str, bool); 10] = [
    ("mean within 5%, s", true),
    ("size within 5%, s", true),
    ("size right, s", true),
    ("undone: mean within 5%, s", true),
    ("undone: size within 5%, s", true),
    ("undone: size right, s", true),
    ("undone: all views equal and right, s", true),
    ("bytes/s sent and received, most in a second", true),
    ("seconds above 22 KB/s", true),
    ("bytes/s sent and received, while it lasts", true),
];

fn fault_scenarios(sizes: &[u64], seed: u64) -> Result<Vec<Sweep>, ExperimentError> {
    let mut sweeps = Vec::new();
    for fault in FAULT_SCENARIOS {
        let mut rows = Vec::new();
        for &size in sizes {
            let mut net =
                SimulatedNetwork::settled(size as usize, GossipProtocol::BoundedView, seed)?;
            rows.push((size, fault.run(&mut net)));
        }
        let title = format!(
            "Gossip with the view: {} (probe 500 ms, seed {seed})",
            fault.name
        );
        sweeps.push(Sweep {
            title,
            varied: "front ends",
            columns: columns(&FAULT_COLUMNS),
            rows,
        });
    }
    Ok(sweeps)
}

impl FaultScenario {
    fn run(&self, net: &mut SimulatedNetwork) -> Vec<f64> {
        let mut watched = Watched::default();
        net.traffic = TrafficCounts::default();
        let began = net.now;
        (self.begin)(net);
        let during = watched.watch(net, self.lasts.min(60_000 * MS));
        // What comes after the first minute is quiet: it is run, and counted, in longer steps.
        while net.now < began + self.lasts {
            net.run((net.now + 10_000 * MS).min(began + self.lasts));
        }
        let each = 1e6 / (net.now - began).max(1) as f64 / net.peers.len() as f64;
        let bytes = (net.traffic.sent + net.traffic.received) as f64 * each;
        (self.end)(net);
        let after = watched.watch(net, 60_000 * MS);
        [&during[..3], &after, &[watched.most, watched.above, bytes]].concat()
    }
}

/// The most bytes a front end sent and received in a second, on average over all, and seconds above the limit.
#[derive(Default)]
struct Watched {
    most: f64,
    above: f64,
}

impl Watched {
    /// Runs for `within` microseconds; since when the mean was within 5%, the size within 5%, the size right, and all
    /// views equal and right, in seconds (not a number: not at the end).
    fn watch(&mut self, net: &mut SimulatedNetwork, within: u64) -> [f64; 4] {
        let began = net.now;
        let mut since = [Some(0); 4];
        while net.now < began + within {
            let before = net.traffic.sent + net.traffic.received;
            for _ in 0..10 {
                net.run(net.now + 100 * MS);
                let holds = [
                    net.error().worst <= CLOSE,
                    net.size_error() <= CLOSE,
                    net.size_error() == 0.0,
                    net.disagreement(0).is_none(),
                ];
                for (since, holds) in since.iter_mut().zip(holds) {
                    *since = if holds {
                        since.or(Some(net.now - began))
                    } else {
                        None
                    };
                }
            }
            let bytes =
                (net.traffic.sent + net.traffic.received - before) as f64 / net.peers.len() as f64;
            self.most = self.most.max(bytes);
            if bytes > BYTES_LIMIT {
                self.above += 1.0;
            }
        }
        since.map(seconds)
    }
}
