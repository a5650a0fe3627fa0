//! Which failures make a zone count as down, and what ends that.
use wrenseam_policy::zone_health::ZoneHealth;
use wrenseam_policy::Micros;

const SECOND: Micros = 1_000_000;

/// Two zones whose last answers came at 10 s.
fn two_answering_zones() -> ZoneHealth {
    let mut zones = ZoneHealth::default();
    zones.answered(Some(0), 10 * SECOND);
    zones.answered(Some(1), 10 * SECOND);
    zones
}

#[test]
fn a_zone_is_down_after_two_unresponsive_workers_until_one_answers() {
    let mut zones = two_answering_zones();
    zones.connection_failed(Some(0), 1, 10 * SECOND + 300_000, 250_000);
    assert!(
        !zones.is_down(Some(0)),
        "down after a single unresponsive worker, which may have stopped alone"
    );
    zones.answered(Some(1), 10 * SECOND + 400_000);
    zones.connection_failed(Some(0), 2, 10 * SECOND + 500_000, 250_000);
    assert!(zones.is_down(Some(0)) && !zones.is_down(Some(1)));
    assert!(
        zones.may_poll(Some(0), 11 * SECOND, SECOND)
            && !zones.may_poll(Some(0), 11 * SECOND + 1, SECOND)
    );
    zones.answered(Some(0), 12 * SECOND);
    assert!(!zones.is_down(Some(0)));
}

#[test]
fn refusals_old_failures_and_a_disconnected_front_end_leave_a_zone_up() {
    let mut zones = two_answering_zones();
    for worker in 0..5 {
        zones.connection_failed(Some(0), worker, 10 * SECOND, 2_000); // a quick failure is a refusal
    }
    assert!(!zones.is_down(Some(0)));
    zones.connection_failed(Some(0), 1, 10 * SECOND, 250_000);
    zones.answered(Some(1), 20 * SECOND);
    zones.connection_failed(Some(0), 2, 20 * SECOND, 250_000);
    assert!(
        !zones.is_down(Some(0)),
        "down after two failures that were ten seconds apart"
    );
    let mut zones = two_answering_zones();
    for (step, worker) in (0..8).enumerate() {
        let now = (20 + step as Micros) * SECOND;
        zones.connection_failed(Some(worker % 2), worker, now, 250_000);
    }
    assert!(
        !zones.is_down(Some(0)) && !zones.is_down(Some(1)),
        "down although no zone answers: this front end may be disconnected"
    );
}
