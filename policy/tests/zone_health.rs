//! Which signs lose a zone and which bring it back.
use wrenseam_policy::zone_health::ZoneHealth;
use wrenseam_policy::Micros;

const SECOND: Micros = 1_000_000;

/// Two zones that answered at 10 s.
fn two_zones_that_answered() -> ZoneHealth {
    let mut zones = ZoneHealth::default();
    zones.answered(Some(0), 10 * SECOND);
    zones.answered(Some(1), 10 * SECOND);
    zones
}

#[test]
fn two_unresponsive_workers_lose_their_zone_and_an_answer_recovers_it() {
    let mut zones = two_zones_that_answered();
    zones.connection_failed(Some(0), 1, 10 * SECOND + 300_000, 250_000);
    assert!(!zones.is_down(Some(0)), "one may have stopped alone");
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
fn refusals_old_signs_and_a_cut_off_front_end_lose_no_zone() {
    let mut zones = two_zones_that_answered();
    for worker in 0..5 {
        zones.connection_failed(Some(0), worker, 10 * SECOND, 2_000); // processes that ended refuse at once
    }
    assert!(!zones.is_down(Some(0)));
    zones.connection_failed(Some(0), 1, 10 * SECOND, 250_000);
    zones.answered(Some(1), 20 * SECOND);
    zones.connection_failed(Some(0), 2, 20 * SECOND, 250_000);
    assert!(!zones.is_down(Some(0)), "ten seconds apart");
    let mut zones = two_zones_that_answered();
    for (step, worker) in (0..8).enumerate() {
        let now = (20 + step as Micros) * SECOND;
        zones.connection_failed(Some(worker % 2), worker, now, 250_000);
    }
    assert!(
        !zones.is_down(Some(0)) && !zones.is_down(Some(1)),
        "nothing answers: it may be this front end"
    );
}
