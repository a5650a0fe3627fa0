//! Sizes and times worked out from the platform's limits and the settings.
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam_policy::Settings;

/// A process that ends leaves nothing behind that was taken: its last moment follows the longest wait.
#[test]
fn the_last_moment_of_an_ending_process_lies_behind_the_longest_wait() {
    for (told, least) in [(250_000, 10), (12_000_000, 13), (0, 10)] {
        let limits = Limits::new(
            192,
            1024,
            &Settings {
                longest_wait: told,
                ..Settings::default()
            },
        );
        assert!(
            limits.stop_at_last >= Duration::from_secs(least),
            "{:?}",
            limits.stop_at_last
        );
    }
}

#[test]
fn a_short_wait_is_not_all_kept_for_the_answers_way() {
    let limits = Limits::new(192, 1024, &Settings::default());
    let margins = [100_000, 280_000, 4_000_000].map(|wait| limits.margin(wait));
    assert_eq!(margins, [25_000, 70_000, 80_000]);
}

#[test]
fn clients_leave_descriptors_for_workers_and_board() {
    let limits = Limits::new(192, 1024, &Settings::default());
    assert!(
        limits.client_connections > 1024 / 3,
        "a third of the limit are clients'"
    );
    assert!(2 * limits.client_connections + 100 < 1024);
}

/// Halved limits: clients at their most still leave room for what the program holds besides them.
#[test]
fn small_limits_keep_room_for_the_program() {
    let limits = Limits::new(24, 192, &Settings::default());
    assert!(
        2 * limits.client_connections + 60 <= 192,
        "{}",
        limits.client_connections
    );
}
