//! What real processes do that is the same every run, at small sizes; and that experiments end as they should.
use rstest::rstest;
use scalelab::harness::{
    lock, unreachable_endpoints, wait_until, DiscoveryService, FrontEndOptions, FrontEndProcess,
    InferenceClient, WatchEvent,
};
use scalelab::simulated_workers::{ServiceTimes, SimulatedWorkers};
use scalelab::worker_connections::{self, Spread};
use scalelab::{experiments, process_experiments, ExperimentError};
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::Once;
use std::time::Duration;

const SOON: Duration = Duration::from_millis(5);

/// Builds the program that the tests start, should it not stand or be old.
fn built() {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
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
            "the program is built"
        );
    });
}

/// The list's bytes at a start: about 150 an endpoint, read once.
#[rstest]
#[case::few(20, 3_050)]
#[case::more(80, 12_014)]
fn a_start_reads_the_list_once(#[case] count: u64, #[case] bytes: u64) {
    built();
    let discovery =
        DiscoveryService::start(vec![WatchEvent::complete(1, &unreachable_endpoints(count))])
            .expect("a board");
    let told = FrontEndOptions {
        discovery: Some(discovery.address),
        ..FrontEndOptions::default()
    };
    let _program = FrontEndProcess::start(&told).expect("it starts");
    assert_eq!(
        (discovery.bytes(), discovery.events(), discovery.watches()),
        (bytes, 1, 1)
    );
}

/// A gap in the numbers has the whole list read twice, as what lies between might have been lost on its way: this is what
/// it costs today. A whole list leaves nothing to be missed, so one call would do.
#[rstest]
#[case::nothing_between(1, 1)]
#[case::a_gap(5, 2)]
fn a_whole_list_is_read_again_where_revisions_show_a_gap(#[case] missed: u64, #[case] calls: u64) {
    built();
    let told = process_experiments::measure_resync(20, missed, 1).expect("it has the list");
    assert_eq!(
        (told.watches, told.bytes),
        (calls, calls * 3_200),
        "{told:?}"
    );
}

/// One connection for each worker that a call or a question reaches, however often, within the idle time.
#[test]
fn calls_in_turn_open_a_connection_for_each_worker_they_reach() {
    built();
    let simulated = SimulatedWorkers::start(
        40,
        ServiceTimes {
            load: Duration::ZERO,
            call: Duration::ZERO,
        },
    )
    .expect("workers");
    let (tally, told) = (
        &simulated.counts,
        FrontEndOptions {
            known_events: vec![WatchEvent::complete(1, &simulated.list)],
            ..FrontEndOptions::default()
        },
    );
    let program = FrontEndProcess::start(&told).expect("it starts");
    let mut caller = InferenceClient::connect(program.kserve).expect("a connection");
    let mut call = |function| caller.call(function, Duration::ZERO).ok();
    assert!((1..=30).chain(1..=30).all(|f| call(f) == Some(200)));
    let reached = || lock(&tally.reached).len() as u64;
    let accepts = || tally.accepts.load(Ordering::Relaxed);
    // What was asked of a worker may still be on its way there.
    wait_until("each connection has carried something", SOON, || {
        accepts() == reached()
    })
    .expect("one a worker");
    let (called, calls) = (
        lock(&tally.called).len(),
        tally.calls.load(Ordering::Relaxed),
    );
    assert!(
        (10..=30).contains(&called),
        "30 functions have places of their own among 40 workers: {called}"
    );
    assert!(calls == 60 && reached() >= called as u64, "{calls} calls");
}

#[rstest]
#[case::plenty(Spread::Even, f64::INFINITY, 1_444.08, 0.5674)]
#[case::few_functions_have_most_calls(Spread::Zipf, f64::INFINITY, 132.0, 0.0411)]
#[case::bounded(Spread::Even, 396.0, 396.0, 0.901)]
fn the_model_of_connections_follows_the_worked_numbers(
    #[case] spread: Spread,
    #[case] most: f64,
    #[case] standing: f64,
    #[case] paid: f64,
) {
    let modelled = worker_connections::model(
        4_000.0,
        152.0,
        12.5,
        &worker_connections::shares(spread),
        most,
    );
    assert!(
        (modelled.open - standing).abs() < 0.1 && (modelled.opening_share - paid).abs() < 1e-4,
        "{modelled:?}"
    );
}

/// Every experiment of real processes refuses what is beyond its bound.
#[test]
fn sizes_beyond_the_bound_are_refused() {
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
        let one = all.iter().find(|e| e.name == name).expect("it is there");
        let beyond = one.sizes(&[1, 2, 3, one.bound + 1]);
        assert_eq!(
            beyond,
            Err(ExperimentError::SizeOutOfBounds {
                asked: one.bound + 1,
                bound: one.bound
            }),
            "{name}"
        );
    }
    let words = ["run", "fleet", "--sizes", "1,2,3,100000"];
    let out = Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(words)
        .output()
        .expect("runs");
    assert_eq!(out.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&out.stderr).contains("size 100000 is not within"),
        "{out:?}"
    );
}

/// Processes that were started end with who started them, also where that one is killed.
#[test]
fn processes_end_with_their_parent() {
    built();
    let mut lab = Command::new(env!("CARGO_BIN_EXE_scalelab"))
        .args(["run", "idle", "--sizes", "1,2,3,4"])
        .stdout(Stdio::null())
        .spawn()
        .expect("it starts");
    let id = lab.id();
    let mut child = String::new();
    wait_until("it has started a process", SOON, || {
        let all = std::fs::read_dir("/proc").expect("proc").flatten();
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
        let of =
            |name: &String| parent(&stat(name)) == Some(id) && stat(name).contains("(wrenseam)");
        child = all
            .filter_map(|e| e.file_name().into_string().ok())
            .find(of)
            .unwrap_or_default();
        !child.is_empty()
    })
    .expect("a process");
    lab.kill().expect("killed");
    lab.wait().expect("ended");
    wait_until("the process has ended", SOON, || {
        let stat = std::fs::read_to_string(format!("/proc/{child}/stat")).unwrap_or_default();
        stat.is_empty() || stat.contains(") Z ")
    })
    .expect("no process is left");
    // What a killed lab leaves behind.
    let _ = std::fs::remove_dir_all(std::env::temp_dir().join(format!("scalelab-{id}-0")));
}
