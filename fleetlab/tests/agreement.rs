//! Several processes of the program and faults between them: soon after the last fault all that run hold the same view
//! of the fleet and the right one, and none that ran, heard and was heard was ever declared down.
mod common;
use common::lab;
use rstest::rstest;

/// A scenario of so many front ends with a light load; its faults, and within how many seconds after the last of them
/// all agree. Probe 200 ms and suspicion 600 ms, where `times` says nothing else.
fn scenario(fronts: usize, seconds: u64, within_s: f64, times: &str, faults: &str) -> String {
    format!(
        r#"{{"name":"agreement","seed":5,"seconds":{seconds},"fronts":{fronts},"workers":2,"fleet":true,"rate_per_s":20,
            "work_ms":5,"wait_ms":400,"client_attempts":2,"agree_within_s":{within_s},{times}"faults":[{faults}]}}"#
    )
}

const DEFAULT_TIMES: &str = r#""probe_ms":500,"suspect_ms":1500,"#;

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
    scenario(12, 3, 1.0, DEFAULT_TIMES, r#"{"at_s":1,"kind":"leave","front":5}"#),
    11
)]
fn all_agree_soon_after_the_last_fault(
    #[case] name: &str,
    #[case] scenario: String,
    #[case] fronts: usize,
) {
    let run = lab(name, &scenario, "");
    assert_eq!(run.get("died"), 0.0, "a front end ended by itself");
    assert_eq!(run.agreed_fronts, Some(fronts));
    assert_eq!(
        run.wronged,
        Some(0),
        "one that ran, heard and was heard was declared down"
    );
}
