//! How often a quiet connection to a worker is probed.
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::worker::frames::keepalive::probe_due;
use wrenseam_policy::Settings;

/// Probes of a connection during one long call, each answered at once, looked at every 50 ms.
fn probes(gateways: u32, call: u64) -> Vec<u64> {
    let limits = Limits::new(
        48,
        384,
        &Settings {
            front_ends: gateways,
            ..Settings::default()
        },
    );
    let ms = Duration::from_millis;
    let (mut heard, mut asked) = (None, Vec::new());
    for at in (0..call).step_by(50) {
        if probe_due(
            heard.is_none(),
            ms(at - heard.unwrap_or(0)),
            ms(at),
            &limits,
        ) {
            asked.push(at);
            heard = Some(at);
        }
    }
    asked
}

/// Guards against questions that are nothing at one front end and, at a hundred, one for every third call.
#[test]
fn a_large_fleet_asks_a_slow_connection_seldom_and_still_in_time() {
    let (few, many) = (probes(3, 2_000), probes(100, 2_000));
    assert!(
        many.len() * 2 <= few.len() && !many.is_empty(),
        "{few:?} {many:?}"
    );
    assert!(
        many[0] <= 350,
        "silence is seen well before the aim is far gone: {many:?}"
    );
    assert!(
        probes(100, 300).is_empty(),
        "a call within its aim costs no question"
    );
}
