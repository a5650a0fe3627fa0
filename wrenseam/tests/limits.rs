//! Sizes and times worked out from the platform's limits and the settings.
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam_policy::Settings;

/// A process that stops leaves nothing unanswered that it admitted.
#[test]
fn a_stopping_process_outlives_the_longest_wait() {
    for (longest_wait, least) in [(250_000, 10), (12_000_000, 13), (0, 10)] {
        let limits = Limits::new(
            192,
            1024,
            &Settings {
                longest_wait,
                ..Settings::default()
            },
        );
        assert!(
            limits.shutdown_timeout >= Duration::from_secs(least),
            "{:?}",
            limits.shutdown_timeout
        );
    }
}

#[test]
fn of_a_short_wait_a_quarter_is_kept_for_the_answer() {
    let limits = Limits::new(192, 1024, &Settings::default());
    let margins = [100_000, 280_000, 4_000_000].map(|wait| limits.response_margin(wait));
    assert_eq!(margins, [25_000, 70_000, 80_000]);
}

#[test]
fn clients_leave_descriptors_for_workers_and_discovery() {
    let limits = Limits::new(192, 1024, &Settings::default());
    assert!(
        limits.max_client_connections > 1024 / 3,
        "a third of the limit are clients'"
    );
    assert!(2 * limits.max_client_connections + 100 < 1024);
}

/// Halved limits: clients at their most still leave descriptors for what else the program needs.
#[test]
fn small_limits_keep_room_for_the_program() {
    let limits = Limits::new(24, 192, &Settings::default());
    assert!(
        2 * limits.max_client_connections + 60 <= 192,
        "{}",
        limits.max_client_connections
    );
}
