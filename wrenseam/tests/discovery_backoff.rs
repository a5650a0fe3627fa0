//! The pauses before the front ends of a large and a small fleet reconnect to a source of endpoints.
use std::time::Duration;
use wrenseam::discovery::backoff::ReconnectBackoff;
use wrenseam::limits::Limits;
use wrenseam_policy::Settings;

fn fleet(front_ends: u32) -> Vec<ReconnectBackoff> {
    let limits = Limits::new(
        48,
        384,
        &Settings {
            front_ends,
            ..Settings::default()
        },
    );
    (0..u64::from(front_ends))
        .map(|seed| ReconnectBackoff::new(seed, &limits.discovery))
        .collect()
}

/// The largest number of pauses within a span of 20 ms.
fn most_within_20_ms(pauses: &[Duration]) -> usize {
    let is_within =
        |from: Duration, pause: Duration| pause >= from && pause < from + Duration::from_millis(20);
    let count_from = |from: &Duration| pauses.iter().filter(|p| is_within(*from, **p)).count();
    pauses.iter().map(count_from).max().unwrap_or(0)
}

#[test]
fn a_hundred_front_ends_do_not_reconnect_at_the_same_time() {
    let mut fleet = fleet(100);
    let after_success: Vec<Duration> = fleet
        .iter_mut()
        .map(ReconnectBackoff::after_success)
        .collect();
    assert!(most_within_20_ms(&after_success) <= 20, "{after_success:?}");
    // Events count as received 2 s after the connection ended: the pauses are well below that.
    assert!(after_success
        .iter()
        .all(|pause| *pause <= Duration::from_millis(500)));
    for _ in 0..5 {
        fleet
            .iter_mut()
            .for_each(|backoff| assert!(backoff.after_failure() > Duration::ZERO));
    }
    let after_failures: Vec<Duration> = fleet
        .iter_mut()
        .map(ReconnectBackoff::after_failure)
        .collect();
    assert!(
        most_within_20_ms(&after_failures) <= 20,
        "{after_failures:?}"
    );
    assert!(after_failures
        .iter()
        .all(|pause| *pause >= Duration::from_millis(400) && *pause <= Duration::from_secs(1)));
}

#[test]
fn three_front_ends_reconnect_at_once_and_retry_at_a_constant_interval() {
    let mut fleet = fleet(3);
    assert!(fleet
        .iter_mut()
        .all(|backoff| backoff.after_success().is_zero()));
    for _ in 0..3 {
        assert!(fleet
            .iter_mut()
            .all(|backoff| backoff.after_failure() == Duration::from_millis(100)));
    }
}
