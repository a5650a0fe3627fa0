//! Experiments on real processes at small sizes: what is the same in every run, the bounds on sizes, and that no
//! process is left behind.
use rstest::rstest;
use scalelab::harness::{
    lock, unreachable_endpoints, wait_until, DiscoveryService, FrontEndOptions, FrontEndProcess,
    InferenceClient, WatchEvent,
};
use scalelab::simulated_workers::{ServiceTimes, SimulatedWorkers};
use scalelab::worker_connections::{self, RequestDistribution};
use scalelab::{experiments, process_experiments, ExperimentError};
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::Once;
use std::time::Duration;

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Builds the front end's executable, which the tests start, unless it is up to date.
fn build_front_end() {
    static BUILD: Once = Once::new();
    BUILD.call_once(|| {
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args([
            "build",
            "--quiet",
            "--locked",
            "--workspace",
            "--bin",
            "wrenseam",
        ]);
        if !cfg!(debug_assertions) {
            cargo.arg("--release");
        }
        assert!(
            cargo.status().expect("cargo runs").success(),
            "the front end is built"
        );
    });
}

/// A process that starts reads the endpoint list once: about 150 bytes per endpoint.
#[rstest]
#[case::few(20, 3_050)]
#[case::more(80, 12_014)]
fn a_start_reads_the_list_once(#[case] count: u64, #[case] bytes: u64) {
    build_front_end();
    let discovery =
        DiscoveryService::start(vec![WatchEvent::complete(1, &unreachable_endpoints(count))])
            .expect("the discovery service starts");
    let options = FrontEndOptions {
        discovery: Some(discovery.address),
        ..FrontEndOptions::default()
    };
    let _process = FrontEndProcess::start(&options).expect("the front end starts");
    assert_eq!(
        (discovery.bytes(), discovery.events(), discovery.watches()),
        (bytes, 1, 1)
    );
}

/// After a gap in the revisions, a process reads the whole list twice, as events in between may have been lost. The
/// second read is not needed where the event after the gap is itself a whole list; the test records the present cost.
#[rstest]
#[case::no_gap(1, 1)]
#[case::a_gap(5, 2)]
fn a_whole_list_is_read_again_where_revisions_show_a_gap(
    #[case] missed: u64,
    #[case] watches: u64,
) {
    build_front_end();
    let cost =
        process_experiments::measure_resync(20, missed, 1).expect("the process reads the list");
    assert_eq!(
        (cost.watches, cost.bytes),
        (watches, watches * 3_200),
        "{cost:?}"
    );
}

/// Within the idle timeout, one connection is opened to each worker that gets a request or a query, however many it
/// gets.
#[test]
fn sequential_requests_open_one_connection_per_worker() {
    build_front_end();
    let workers = SimulatedWorkers::start(
        40,
        ServiceTimes {
            load: Duration::ZERO,
            request: Duration::ZERO,
        },
    )
    .expect("the workers start");
    let (counts, options) = (
        &workers.counts,
        FrontEndOptions {
            known_events: vec![WatchEvent::complete(1, &workers.endpoints)],
            ..FrontEndOptions::default()
        },
    );
    let process = FrontEndProcess::start(&options).expect("the front end starts");
    let mut client = InferenceClient::connect(process.kserve).expect("a connection");
    let mut infer = |function| client.infer(function, Duration::ZERO).ok();
    assert!((1..=30).chain(1..=30).all(|f| infer(f) == Some(200)));
    let reached = || lock(&counts.workers_reached).len() as u64;
    let accepted = || counts.accepted_connections.load(Ordering::Relaxed);
    // A query may still be on its way to a worker after all responses have been received.
    wait_until("a frame on each connection", POLL_INTERVAL, || {
        accepted() == reached()
    })
    .expect("one connection per worker");
    let (workers_called, requests) = (
        lock(&counts.workers_called).len(),
        counts.requests.load(Ordering::Relaxed),
    );
    assert!(
        (10..=30).contains(&workers_called),
        "30 functions are spread over 40 workers, each at one of them: {workers_called} called"
    );
    assert!(
        requests == 60 && reached() >= workers_called as u64,
        "{requests} requests"
    );
}

#[rstest]
#[case::no_limit(RequestDistribution::Uniform, f64::INFINITY, 1_444.08, 0.5674)]
#[case::few_functions_have_most_requests(RequestDistribution::Zipf, f64::INFINITY, 132.0, 0.0411)]
#[case::connection_limit(RequestDistribution::Uniform, 396.0, 396.0, 0.901)]
fn the_model_of_connections_gives_the_expected_figures(
    #[case] distribution: RequestDistribution,
    #[case] max_connections: f64,
    #[case] open: f64,
    #[case] opening_share: f64,
) {
    let modelled = worker_connections::model_connections(
        4_000.0,
        152.0,
        12.5,
        &worker_connections::shares(distribution),
        max_connections,
    );
    assert!(
        (modelled.open - open).abs() < 0.1 && (modelled.opening_share - opening_share).abs() < 1e-4,
        "{modelled:?}"
    );
}

/// Each experiment on real processes rejects sizes beyond its bound, so that none overloads the machine.
#[test]
fn sizes_beyond_the_bound_are_rejected() {
    let names = [
        "idle",
        "changes",
        "anew",
        "redial",
        "restart",
        "fleet",
        "cold",
        "links-workers",
        "links-calls",
    ];
    for name in names {
        let all = experiments();
        let experiment = all
            .iter()
            .find(|e| e.name == name)
            .expect("the experiment exists");
        let sizes = experiment.sizes(&[1, 2, 3, experiment.bound + 1]);
        assert_eq!(
            sizes,
            Err(ExperimentError::SizeOutOfBounds {
                asked: experiment.bound + 1,
                bound: experiment.bound
            }),
            "{name}"
        );
    }
    let args = ["run", "fleet", "--sizes", "1,2,3,100000"];
    let output = Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(args)
        .output()
        .expect("scalelab starts");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr)
            .contains("size 100000 is out of range: this experiment runs at sizes from 1 to 200"),
        "{output:?}"
    );
}

/// A front end process ends with the process that started it, even if that one is killed and cannot clean up.
#[test]
fn processes_end_with_their_parent() {
    build_front_end();
    let mut scalelab = Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(["run", "idle", "--sizes", "1,2,3,4"])
        .stdout(Stdio::null())
        .spawn()
        .expect("scalelab starts");
    let id = scalelab.id();
    let mut child = String::new();
    wait_until("scalelab to start a front end", POLL_INTERVAL, || {
        let entries = std::fs::read_dir("/proc").expect("proc").flatten();
        let stat =
            |name: &str| std::fs::read_to_string(format!("/proc/{name}/stat")).unwrap_or_default();
        let parent = |text: &str| {
            text.rsplit_once(") ")?
                .1
                .split(' ')
                .nth(1)?
                .parse::<u32>()
                .ok()
        };
        let is_front_end =
            |name: &String| parent(&stat(name)) == Some(id) && stat(name).contains("(wrenseam)");
        child = entries
            .filter_map(|e| e.file_name().into_string().ok())
            .find(is_front_end)
            .unwrap_or_default();
        !child.is_empty()
    })
    .expect("a front end process");
    scalelab.kill().expect("scalelab is killed");
    scalelab.wait().expect("scalelab ends");
    wait_until("the front end to end", POLL_INTERVAL, || {
        let stat = std::fs::read_to_string(format!("/proc/{child}/stat")).unwrap_or_default();
        stat.is_empty() || stat.contains(") Z ")
    })
    .expect("the front end ends");
    // A killed scalelab leaves its temporary folder behind.
    let _ = std::fs::remove_dir_all(std::env::temp_dir().join(format!("scalelab-{id}-0")));
}
