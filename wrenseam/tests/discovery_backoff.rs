//! When many and few front ends reconnect to a source of endpoints.
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

/// Most of the waits that fall into one span of 20 ms.
fn crowd(waits: &[Duration]) -> usize {
    let within = |from: Duration, w: Duration| w >= from && w < from + Duration::from_millis(20);
    let from = |from: &Duration| waits.iter().filter(|w| within(*from, **w)).count();
    waits.iter().map(from).max().unwrap_or(0)
}

#[test]
fn a_hundred_front_ends_do_not_reconnect_in_step() {
    let mut fleet = fleet(100);
    let broke: Vec<Duration> = fleet
        .iter_mut()
        .map(ReconnectBackoff::after_success)
        .collect();
    assert!(crowd(&broke) <= 20, "{broke:?}");
    // Well before an event counts as received, 2 s after the connection ended.
    assert!(broke.iter().all(|w| *w <= Duration::from_millis(500)));
    for _ in 0..5 {
        fleet
            .iter_mut()
            .for_each(|r| assert!(r.after_failure() > Duration::ZERO));
    }
    let away: Vec<Duration> = fleet
        .iter_mut()
        .map(ReconnectBackoff::after_failure)
        .collect();
    assert!(crowd(&away) <= 20, "{away:?}");
    assert!(away
        .iter()
        .all(|w| *w >= Duration::from_millis(400) && *w <= Duration::from_secs(1)));
}

#[test]
fn few_front_ends_reconnect_at_once_and_retry_at_a_steady_pace() {
    let mut few = fleet(3);
    assert!(few.iter_mut().all(|r| r.after_success().is_zero()));
    for _ in 0..3 {
        assert!(few
            .iter_mut()
            .all(|r| r.after_failure() == Duration::from_millis(100)));
    }
}
