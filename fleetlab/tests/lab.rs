//! Runs several wrenseam processes under the lab's load, with faults between them.
mod common;
use common::{create_folder, find_program, run_lab, run_scenario};
use rstest::rstest;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A retry storm: workers take 3 times as long for a call as before, close to the clients' maximum wait of 400 ms, and
/// every client retries at a randomly selected front end.
const STORM: &str = r#"{"name":"storm","seed":7,"seconds":5,"fronts":3,"workers":2,"fleet":true,
 "rate_per_s":40,"work_ms":120,"wait_ms":400,"client_attempts":3,
 "faults":[{"at_s":1,"kind":"slow","factor":3}]}"#;

/// Front end 0 exchanges no gossip with its peers, datagrams are lost and duplicated, and front end 2 is killed and
/// restarted.
const CUTS: &str = r#"{"name":"cuts","seed":11,"seconds":6,"fronts":3,"workers":2,"fleet":true,
 "rate_per_s":40,"work_ms":10,"wait_ms":400,"client_attempts":2,
 "faults":[{"at_s":1,"kind":"partition","fronts":[0]},{"at_s":1,"kind":"drop","ratio":0.1},
           {"at_s":1,"kind":"duplicate","ratio":0.1},{"at_s":3.5,"kind":"heal"},
           {"at_s":1.5,"kind":"kill","front":2},{"at_s":2.5,"kind":"restart","front":2}]}"#;

#[rstest]
#[case::retry_storm("storm", STORM)]
#[case::partition_and_kill("cuts", CUTS)]
fn every_attempt_at_a_running_front_end_gets_one_response_and_no_front_end_exits(
    #[case] name: &str,
    #[case] scenario: &str,
) {
    let run = run_scenario(name, scenario, "");
    assert_eq!(run.total("died"), 0.0, "a front end exited without a fault");
    let (offered, served, failed) = (
        run.total("offered"),
        run.total("served"),
        run.total("failed"),
    );
    assert!(offered > 100.0, "the load ran: {offered}");
    assert_eq!(
        served + failed,
        offered,
        "each request ends once, served or failed"
    );
    // At most one worker call per attempt of a client, plus the retry budget of the front ends.
    let attempts = offered + run.total("retried");
    assert!(run.total("calls_per_request") * offered <= attempts * 1.1 + 10.0);
    if name == "storm" {
        assert_eq!(
            run.total("unanswered"),
            0.0,
            "an attempt got no response within its maximum wait and a second"
        );
        assert!(run.total("retried") > 0.2 * offered, "clients retried");
    } else {
        // Only attempts at the killed process get no response. The partitioned front end rejoins after the heal.
        assert!(run.total("unanswered") < 0.2 * offered);
        assert!(served > 0.8 * offered);
        assert_eq!(
            run.peers,
            vec![Some(2); 3],
            "the fleet formed again after the heal"
        );
    }
}

/// All front ends are killed and restarted at once while a worker counts as restarted. Their settings state their
/// indices, and the endpoint list states the worker's start. The calls that they send it together must stay within the
/// limit of slow start, and nearly all requests are served. Before slow start limited the number of front ends that may
/// send to such a worker, the calls reached 1.4 to 1.6 times the limit. In the second case the front ends start slowly:
/// the load is paused until they listen, so the result must be the same.
#[rstest]
#[case::at_once("cold", "")]
#[case::starts_are_slow("slow", "sleep 0.6")]
fn calls_to_a_restarted_worker_stay_within_the_limit_for_all_front_ends_together(
    #[case] name: &str,
    #[case] startup_command: &str,
) {
    let run = run_scenario(
        name,
        include_str!("../scenarios/cold-return.json"),
        startup_command,
    );
    assert_eq!(run.total("died"), 0.0, "a front end exited without a fault");
    assert!(
        run.cold.len() == 1 && run.cold[0] > 0.0,
        "the restarted worker gets calls: {:?}",
        run.cold
    );
    assert!(
        run.cold[0] <= 1.0,
        "calls divided by the limit: {:?}",
        run.cold
    );
    assert!(run.total("served") > 0.9 * run.total("offered"));
}

/// Calls that must not run twice, while worker connections are closed in the middle of a call, responses are lost,
/// duplicated or replaced by those of a proxy, one front end is killed and one is shut down gracefully. No call may
/// reach a worker completely again after it may have run.
#[test]
fn no_call_that_must_not_be_repeated_reaches_workers_again() {
    let run = run_scenario("unsafe", include_str!("../scenarios/unsafe-links.json"), "");
    assert_eq!((run.total("repeats"), run.total("died")), (0.0, 0.0));
    let (offered, served, failed) = (
        run.total("offered"),
        run.total("served"),
        run.total("failed"),
    );
    assert_eq!(
        served + failed,
        offered,
        "each request ends once, served or failed"
    );
    assert!(served > 0.5 * offered, "{served} of {offered} are served");
    assert!(
        failed > 0.02 * offered,
        "the faults affect calls: {failed} of {offered} failed"
    );
}

/// A front end that runs but never listens makes the run fail, and the lab must leave no front end running: it would
/// keep the lab's output open, and a caller that waits for the end of that output, as this test does, would hang.
#[test]
fn a_front_end_that_never_listens_fails_the_run() {
    let out = run_lab("mute", STORM, "echo said >&2; exec sleep 60");
    let printed = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        !out.status.success() && printed.contains("does not listen"),
        "{printed}"
    );
}

/// Runs the lab with `folder` as its working directory, and `out` as the relative path of its output directory.
fn run_in(folder: &Path, out: &str, program: &Path) -> Output {
    let short_scenario = STORM
        .replace(r#""seconds":5"#, r#""seconds":1"#)
        .replace(r#""at_s":1,"#, r#""at_s":0.5,"#);
    std::fs::write(folder.join("scenario.json"), short_scenario).expect("written");
    let mut lab = Command::new(env!("CARGO_BIN_EXE_fleetlab"));
    lab.current_dir(folder)
        .args(["run", "scenario.json", "--out", out, "--program"])
        .arg(program);
    lab.output().expect("the lab runs")
}

#[rstest]
#[case::a_name("lab-out")]
#[case::below_a_folder("a/b")]
#[case::with_dots("./x/../lab-out")]
fn a_relative_output_path_is_accepted(#[case] out: &str) {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_fleetlab"));
    let wrenseam =
        find_program(exe.parent().expect("a folder")).unwrap_or_else(|reason| panic!("{reason}"));
    let folder = create_folder(&format!("relative-{}", out.len()));
    std::fs::create_dir_all(folder.join("x")).expect("a folder");
    let ran = run_in(&folder, out, &wrenseam);
    assert!(
        ran.status.success(),
        "{}",
        String::from_utf8_lossy(&ran.stderr)
    );
    assert!(folder.join(out).join("report.md").is_file());
}

/// The lab's error message contains the last log line of a front end that exits before it listens.
#[test]
fn the_last_log_line_of_a_front_end_that_exits_is_reported() {
    let folder = create_folder("last-line");
    let script_file = folder.join("ends");
    std::fs::write(
        &script_file,
        "#!/bin/sh\necho first >&2\necho 'start: the disk is full' >&2\nexit 1\n",
    )
    .expect("written");
    std::fs::set_permissions(&script_file, PermissionsExt::from_mode(0o755)).expect("set");
    let ran = run_in(&folder, "out", &script_file);
    let printed = String::from_utf8_lossy(&ran.stderr).into_owned();
    assert!(
        !ran.status.success() && printed.contains("exited before it listened"),
        "{printed}"
    );
    assert!(
        printed.contains("last log line: start: the disk is full"),
        "{printed}"
    );
}

/// The tests of the package `fleetlab` alone do not build the wrenseam program that they start. If it is missing or
/// older than its sources, they must say which command builds it.
#[test]
fn a_missing_or_outdated_program_is_reported() {
    let folder = create_folder("none").join("release");
    std::fs::create_dir_all(&folder).expect("a folder");
    let assert_reason = |what: &str| {
        let reason = find_program(&folder).expect_err("not usable");
        assert!(
            reason.contains(what)
                && reason.contains("`cargo build --release --locked -p wrenseam`"),
            "{reason}"
        );
    };
    assert_reason("is missing");
    let source = folder.join("main.rs");
    std::fs::write(folder.join("wrenseam"), "").expect("written");
    std::fs::write(
        folder.join("wrenseam.d"),
        format!("wrenseam: {}", source.display()),
    )
    .expect("written");
    assert!(find_program(&folder).is_ok());
    std::fs::write(&source, "").expect("written");
    let later = std::time::SystemTime::now() + std::time::Duration::from_secs(60);
    std::fs::File::options()
        .write(true)
        .open(&source)
        .expect("there")
        .set_modified(later)
        .expect("set");
    assert_reason("is older than");
}
