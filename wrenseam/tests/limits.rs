//! Sizes and times computed from the platform's limits and the settings.
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam_policy::Settings;

/// A stopping process answers every request that it has admitted, also those with the longest wait.
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
fn the_response_margin_is_at_most_a_quarter_of_the_timeout() {
    let limits = Limits::new(192, 1024, &Settings::default());
    let margins = [100_000, 280_000, 4_000_000].map(|timeout| limits.response_margin(timeout));
    assert_eq!(margins, [25_000, 70_000, 80_000]);
}

#[test]
fn client_connections_leave_descriptors_for_workers_and_discovery() {
    let limits = Limits::new(192, 1024, &Settings::default());
    assert!(
        limits.max_client_connections > 1024 / 3,
        "clients get more than a third of the descriptors"
    );
    assert!(2 * limits.max_client_connections + 100 < 1024);
}

/// Limits below the usual ones: the maximum number of client connections leaves descriptors for the rest of the
/// program.
#[test]
fn client_connections_leave_descriptors_at_small_limits() {
    let limits = Limits::new(24, 192, &Settings::default());
    assert!(
        2 * limits.max_client_connections + 60 <= 192,
        "{}",
        limits.max_client_connections
    );
}
