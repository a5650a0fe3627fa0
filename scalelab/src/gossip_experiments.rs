//! Experiments on the simulated network: gossip traffic and accuracy of the fleet view, by fleet size and under faults.
use crate::gossip_network::{
    GossipProtocol, MeanError, SimulatedNetwork, IP_UDP_HEADER_BYTES, MS, ZONES,
};
use crate::traffic_counts::TrafficCounts;
use crate::{Column, Experiment, ExperimentError, Sweep};

/// Fleet sizes of the experiments without faults.
const SIZES: &[u64] = &[3, 10, 30, 100, 330, 660];
/// Largest fleet size of any experiment in this file.
const BOUND: u64 = 1000;

/// The experiments of this file.
pub const EXPERIMENTS: &[Experiment] = &[
    Experiment {
        name: "gossip",
        about:
            "Gossip traffic, error of the mean and detection times by fleet size; no loss, probe period 500 ms.",
        sizes: SIZES,
        bound: BOUND,
        run: |sizes, seed| Ok(vec![sweep("the view of bounded size", sizes, seed, GossipProtocol::BoundedView)?]),
    },
    Experiment {
        name: "gossip-before",
        about: "The same with the previous protocol: the load summary of each front end goes to all others.",
        sizes: SIZES,
        bound: BOUND,
        run: |sizes, seed| Ok(vec![sweep("a summary of each to all", sizes, seed, GossipProtocol::Summaries)?]),
    },
    Experiment {
        name: "gossip-troubles",
        about: "Faults: a zone lost and restored, regions partitioned and healed, 12% restarted, 1% datagram loss.",
        sizes: &[10, 30, 100, 330, 660],
        bound: BOUND,
        run: fault_scenarios,
    },
];

/// Columns of the experiments without faults, and whether each is the same in every run.
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

/// Microseconds as seconds; not a number for `None`.
fn seconds(duration: Option<u64>) -> f64 {
    duration.map_or(f64::NAN, |us| us as f64 / 1e6)
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

/// Measures a fleet of one size: in the steady state, with fluctuating loads, after a load step, and after a crash.
fn row(
    front_ends: usize,
    protocol: GossipProtocol,
    seed: u64,
) -> Result<Vec<f64>, ExperimentError> {
    let mut network = SimulatedNetwork::settled(front_ends, protocol, seed)?;
    network.traffic = TrafficCounts::default();
    let steady = measure_error(&mut network, MEASURED_S);
    let mut row = traffic_figures(&network.traffic, front_ends);
    let small_redraw = error_with_redraw(&mut network, SMALL_REDRAW);
    let large_redraw = error_with_redraw(&mut network, LARGE_REDRAW);
    network.redraw_range = None;
    network.run(network.now + REDRAW_SETTLE);
    let heard_share = network
        .peers
        .iter()
        .map(|peer| peer.status.edges.heard as f64 / peer.status.edges.total.max(1) as f64)
        .fold(1.0, f64::min);
    network.set_first_zone_pressure(STEP_PRESSURE);
    let step_recovery = network.run_until_stable(RECOVERY_LIMIT, |network| {
        network.mean_error().worst <= SMALL_ERROR
    });
    network.kill(front_ends / 2);
    let crash_detection =
        network.run_until_stable(RECOVERY_LIMIT, |network| network.size_error() == 0.0);
    row.extend([
        steady.worst * 100.0,
        steady.rms * 100.0,
        small_redraw.worst * 100.0,
        large_redraw.worst * 100.0,
        large_redraw.rms * 100.0,
        heard_share * 100.0,
        seconds(step_recovery),
        seconds(crash_detection),
    ]);
    Ok(row)
}

/// The traffic columns: what each front end sent and received per second, and how long its state machine ran.
fn traffic_figures(traffic: &TrafficCounts, front_ends: usize) -> Vec<f64> {
    let per_second_each = |total: u64| total as f64 / MEASURED_S as f64 / front_ends as f64;
    let both = per_second_each(traffic.sent + traffic.received);
    vec![
        per_second_each(traffic.datagrams),
        per_second_each(traffic.sent),
        both,
        both + 2.0 * IP_UDP_HEADER_BYTES as f64 * per_second_each(traffic.datagrams),
        per_second_each(traffic.swim),
        per_second_each(traffic.members),
        per_second_each(traffic.summaries),
        per_second_each(traffic.average),
        per_second_each(traffic.records),
        per_second_each(traffic.busy.as_micros() as u64),
    ]
}

/// Half-width of the range around 500 from which loads are redrawn in each probe period, in thousandths of capacity:
/// 15% of 500.
const SMALL_REDRAW: u32 = 75;
/// Half-width of the range around 500 from which loads are redrawn in each probe period, in thousandths of capacity:
/// 60% of 500.
const LARGE_REDRAW: u32 = 300;
/// Simulated time from the start or end of the redraws until the error of the mean is stationary, in microseconds.
const REDRAW_SETTLE: u64 = 3000 * MS;
/// Load of the first zone after the load step, in thousandths of capacity.
const STEP_PRESSURE: u32 = 4000;
/// Maximum simulated time to wait for a recovery, in microseconds.
const RECOVERY_LIMIT: u64 = 60_000 * MS;
/// Largest error that counts as recovered, as a fraction of the true value.
const SMALL_ERROR: f64 = 0.05;
/// Limit of the bytes that a front end sends and receives per second.
const BYTES_LIMIT: f64 = 22_000.0;

/// The error of the mean while loads are redrawn from `range` around 500 in each probe period.
fn error_with_redraw(network: &mut SimulatedNetwork, range: u32) -> MeanError {
    network.redraw_range = Some(range);
    network.run(network.now + REDRAW_SETTLE);
    measure_error(network, MEASURED_S)
}

/// Simulated seconds over which traffic and errors are measured.
const MEASURED_S: u64 = 10;

/// The largest error of the mean and its root mean square, sampled once per second for this many simulated seconds.
fn measure_error(network: &mut SimulatedNetwork, seconds: u64) -> MeanError {
    let mut worst = 0.0f64;
    let mut sum_of_squares = 0.0;
    for _ in 0..seconds {
        network.run(network.now + 1000 * MS);
        let error = network.mean_error();
        worst = worst.max(error.worst);
        sum_of_squares += error.rms * error.rms;
    }
    MeanError {
        worst,
        rms: f64::sqrt(sum_of_squares / seconds as f64),
    }
}

/// A fault that is injected into a settled fleet and later ended.
struct FaultScenario {
    name: &'static str,
    /// Injects the fault.
    begin: fn(&mut SimulatedNetwork),
    /// Duration of the fault, in microseconds.
    duration: u64,
    /// Ends the fault.
    end: fn(&mut SimulatedNetwork),
}

/// Raises the load of the selected front ends to three times their capacity, and runs the network until the others know
/// it: the loss of these front ends then changes the mean abruptly.
fn overload(network: &mut SimulatedNetwork, is_selected: fn(usize) -> bool) {
    network
        .peers
        .iter_mut()
        .enumerate()
        .filter(|(index, _)| is_selected(*index))
        .for_each(|(_, peer)| peer.pressure = 3000);
    network.run(network.now + 5000 * MS);
}

/// The front ends of the last zone.
fn last_zone(network: &SimulatedNetwork) -> Vec<usize> {
    (0..network.peers.len())
        .filter(|index| index % ZONES == ZONES - 1)
        .collect()
}

/// The front ends that are restarted: 79 of 660, which is 12%, rounded up. The first two are never among them, as
/// others join through them.
fn restarted(network: &SimulatedNetwork) -> Vec<usize> {
    let front_ends = network.peers.len();
    (2..2 + (front_ends * 79).div_ceil(660)).collect()
}

/// The scenarios of `gossip-troubles`; each name is part of its table's title.
const FAULT_SCENARIOS: &[FaultScenario] = &[
    FaultScenario {
        name: "a zone lost for 30 s",
        begin: |network| {
            overload(network, |index| index % ZONES == ZONES - 1);
            last_zone(network)
                .into_iter()
                .for_each(|index| network.kill(index));
        },
        duration: 30_000 * MS,
        end: |network| {
            last_zone(network)
                .into_iter()
                .for_each(|index| network.start(index, 0))
        },
    },
    FaultScenario {
        name: "regions cut for an hour",
        begin: |network| {
            overload(network, |index| index % ZONES >= 4);
            for (index, peer) in network.peers.iter_mut().enumerate() {
                peer.side = u8::from(index % ZONES >= 4);
            }
        },
        duration: 3_600_000 * MS,
        end: |network| network.peers.iter_mut().for_each(|peer| peer.side = 0),
    },
    FaultScenario {
        name: "12% restarted at once, 5 s down",
        begin: |network| {
            restarted(network)
                .into_iter()
                .for_each(|index| network.kill(index))
        },
        duration: 5_000 * MS,
        end: |network| {
            restarted(network)
                .into_iter()
                .for_each(|index| network.start(index, 0))
        },
    },
    FaultScenario {
        name: "1% lost",
        begin: |network| network.loss = 0.01,
        duration: 30_000 * MS,
        end: |network| network.loss = 0.0,
    },
];

/// Columns of the fault scenarios, and whether each is the same in every run.
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
            let mut network =
                SimulatedNetwork::settled(size as usize, GossipProtocol::BoundedView, seed)?;
            rows.push((size, fault.run(&mut network)));
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
    /// Injects the fault and ends it, and returns the values of [`FAULT_COLUMNS`].
    fn run(&self, network: &mut SimulatedNetwork) -> Vec<f64> {
        let mut peak = PeakTraffic::default();
        network.traffic = TrafficCounts::default();
        let start = network.now;
        (self.begin)(network);
        let during = peak.observe(network, self.duration.min(60_000 * MS));
        // Little changes after the first minute: the rest runs in steps of 10 s without observation, but its bytes
        // count.
        while network.now < start + self.duration {
            network.run((network.now + 10_000 * MS).min(start + self.duration));
        }
        let per_second_each =
            1e6 / (network.now - start).max(1) as f64 / network.peers.len() as f64;
        let bytes = (network.traffic.sent + network.traffic.received) as f64 * per_second_each;
        (self.end)(network);
        let after = peak.observe(network, 60_000 * MS);
        [
            &during[..3],
            &after,
            &[peak.bytes_per_s, peak.seconds_above_limit, bytes],
        ]
        .concat()
    }
}

/// Peak traffic of an average front end over the observed seconds.
#[derive(Default)]
struct PeakTraffic {
    /// The most bytes sent and received in one second.
    bytes_per_s: f64,
    /// Number of seconds with more than [`BYTES_LIMIT`].
    seconds_above_limit: f64,
}

impl PeakTraffic {
    /// Runs the network for `duration` microseconds. Returns, in seconds from the start, since when the mean was within
    /// 5%, the size within 5%, the size exact, and all views equal and correct without interruption until the end; not
    /// a number for a condition that does not hold at the end.
    fn observe(&mut self, network: &mut SimulatedNetwork, duration: u64) -> [f64; 4] {
        let start = network.now;
        let mut holds_since = [Some(0); 4];
        while network.now < start + duration {
            let before = network.traffic.sent + network.traffic.received;
            for _ in 0..10 {
                network.run(network.now + 100 * MS);
                let holds = [
                    network.mean_error().worst <= SMALL_ERROR,
                    network.size_error() <= SMALL_ERROR,
                    network.size_error() == 0.0,
                    network.disagreement(0).is_none(),
                ];
                for (since, holds) in holds_since.iter_mut().zip(holds) {
                    *since = if holds {
                        since.or(Some(network.now - start))
                    } else {
                        None
                    };
                }
            }
            let bytes = (network.traffic.sent + network.traffic.received - before) as f64
                / network.peers.len() as f64;
            self.bytes_per_s = self.bytes_per_s.max(bytes);
            if bytes > BYTES_LIMIT {
                self.seconds_above_limit += 1.0;
            }
        }
        holds_since.map(seconds)
    }
}
