//! Runs several wrenseam processes with faults between them. Soon after the last fault, all that run must have the same
//! and correct view of the fleet, and no front end that ran and exchanged gossip all the time may ever be declared
//! down.
mod common;
use common::run_scenario;
use rstest::rstest;

/// Returns a scenario with a light load. `within_s` is the time limit for agreement after the last fault, in seconds;
/// `times` may state the probe interval and the suspicion time, which are 200 ms and 600 ms otherwise.
fn scenario(fronts: usize, seconds: u64, within_s: f64, times: &str, faults: &str) -> String {
    format!(
        r#"{{"name":"agreement","seed":5,"seconds":{seconds},"fronts":{fronts},"workers":2,"fleet":true,"rate_per_s":20,
            "work_ms":5,"wait_ms":400,"client_attempts":2,"agree_within_s":{within_s},{times}"faults":[{faults}]}}"#
    )
}

/// The probe interval and suspicion time that wrenseam uses where its fleet file states none, as keys of a scenario.
const WRENSEAM_DEFAULT_TIMES: &str = r#""probe_ms":500,"suspect_ms":1500,"#;

#[rstest]
#[case::a_crash(
    "crash-3",
    scenario(3, 3, 5.0, "", r#"{"at_s":0.5,"kind":"kill","front":1}"#),
    2
)]
#[case::a_leave(
    "leave-3",
    scenario(3, 3, 2.0, "", r#"{"at_s":0.5,"kind":"leave","front":0}"#),
    2
)]
#[case::a_leave_and_a_return(
    "return-3",
    scenario(
        3,
        4,
        3.0,
        "",
        r#"{"at_s":0.5,"kind":"leave","front":2},{"at_s":1.5,"kind":"restart","front":2}"#
    ),
    3
)]
#[case::a_link_cut_one_way(
    "cut-3",
    scenario(
        3,
        4,
        2.0,
        "",
        r#"{"at_s":0.5,"kind":"cut","from":0,"to":1},{"at_s":2.5,"kind":"heal"}"#
    ),
    3
)]
#[case::groups_cut_and_restarts_in_each(
    "groups-7",
    scenario(
        7,
        9,
        6.0,
        "",
        r#"{"at_s":0.5,"kind":"partition","groups":{"east":[0,1,2],"west":[3,4]}},
       {"at_s":1,"kind":"kill","front":1},{"at_s":1.5,"kind":"kill","front":4},
       {"at_s":4,"kind":"restart","front":1},{"at_s":4,"kind":"restart","front":4},{"at_s":6,"kind":"heal"}"#
    ),
    7
)]
#[case::deaf_mute_and_stopped(
    "bad-12",
    scenario(
        12,
        9,
        6.0,
        "",
        r#"{"at_s":0.5,"kind":"deaf","front":3},{"at_s":0.5,"kind":"mute","front":6},
       {"at_s":0.5,"kind":"stop","front":9},{"at_s":1,"kind":"drop","ratio":0.05},
       {"at_s":6,"kind":"continue","front":9},{"at_s":6,"kind":"heal"}"#
    ),
    12
)]
#[case::a_leave_at_the_default_times(
    "leave-12",
    scenario(
        12,
        3,
        1.0,
        WRENSEAM_DEFAULT_TIMES,
        r#"{"at_s":1,"kind":"leave","front":5}"#
    ),
    11
)]
fn all_front_ends_agree_soon_after_the_last_fault(
    #[case] name: &str,
    #[case] scenario: String,
    #[case] fronts: usize,
) {
    let run = run_scenario(name, &scenario, "");
    assert_eq!(run.total("died"), 0.0, "a front end exited without a fault");
    assert_eq!(run.agreed_fronts, Some(fronts));
    assert_eq!(
        run.wrongly_declared_down,
        Some(0),
        "a front end was declared down that no fault affected"
    );
}
