//! Admission control by the fleet's retry budget, under a retry storm.
use rstest::rstest;
use wrenseam::config::FleetConfig;
use wrenseam::core::FleetAdmission;
use wrenseam::fleet::FleetStatus;
use wrenseam_policy::Settings;

fn fleet(ratio: f64, floor: f64, expected: usize) -> FleetConfig {
    FleetConfig {
        listen: "127.0.0.1:0".parse().expect("an address"),
        advertise: None,
        seeds: Vec::new(),
        cluster: "t".to_owned(),
        zone: String::new(),
        expected,
        retry_ratio: ratio,
        retry_floor_per_s: floor,
        window_ms: 10_000,
        probe_ms: 100,
        suspect_ms: 300,
        capacity: 10,
        shed_order: Vec::new(),
        shed_wait_ms: 1000,
        summaries: true,
    }
}

/// A retry storm at one front end of a fleet of `peers + 1`: each of 100 requests within 1 s asks for five attempts. The
/// budget admits the first attempts, 10 more by the ratio, and this front end's share of the floor of 30.
#[rstest]
#[case::alone(0, 1, 100 + 10 + 30)]
#[case::one_of_three(2, 1, 100 + 10 + 10)]
#[case::one_of_thirty(29, 1, 100 + 10 + 1)]
#[case::alone_where_three_are_expected(0, 3, 100 + 10 + 10)]
fn a_retry_storm_stays_within_the_budget(
    #[case] peers: usize,
    #[case] expected: usize,
    #[case] want: u32,
) {
    let mut admission = FleetAdmission::new(&fleet(0.1, 3.0, expected), &Settings::default(), 1);
    admission.update(
        0,
        FleetStatus {
            alive: peers,
            by_lifecycle: [0, peers, 0, 0],
            ..FleetStatus::default()
        },
    );
    let mut sent = 0;
    for request in 0..100u64 {
        for attempt in 0..5 {
            sent += u32::from(admission.admit_attempt(request * 10_000, attempt > 0));
        }
    }
    assert_eq!(sent, want);
    let summary = admission.summary(1_000_000, 0);
    assert_eq!(
        (
            summary.first_attempts,
            summary.extra_attempts + summary.first_attempts,
            summary.denied
        ),
        (100, want, 500 - want)
    );
}
