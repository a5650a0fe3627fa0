//! How often a quiet connection to a worker gets a keepalive probe.
use std::time::Duration;
use wrenseam::limits::Limits;
use wrenseam::worker::frames::keepalive::probe_due;
use wrenseam_policy::Settings;

/// Milliseconds between two keepalive checks.
const CHECK_INTERVAL_MS: u64 = 50;

/// The times at which a connection is probed during one call of `call_ms`, if each probe is answered at once.
fn probe_times_ms(front_ends: u32, call_ms: u64) -> Vec<u64> {
    let settings = Settings {
        front_ends,
        ..Settings::default()
    };
    let limits = Limits::new(48, 384, &settings);
    let mut last_answer_ms = None;
    let mut probes = Vec::new();
    for now_ms in (0..call_ms).step_by(CHECK_INTERVAL_MS as usize) {
        let quiet = Duration::from_millis(now_ms - last_answer_ms.unwrap_or(0));
        let age = Duration::from_millis(now_ms);
        if probe_due(last_answer_ms.is_none(), quiet, age, &limits) {
            probes.push(now_ms);
            last_answer_ms = Some(now_ms);
        }
    }
    probes
}

/// Guards against too many probes in a large fleet: with a probe interval that costs nothing with one front end, a
/// hundred front ends would send a probe for every third call.
#[test]
fn a_large_fleet_probes_a_slow_connection_seldom_and_still_in_time() {
    let few = probe_times_ms(3, 2_000);
    let many = probe_times_ms(100, 2_000);
    assert!(
        many.len() * 2 <= few.len() && !many.is_empty(),
        "{few:?} {many:?}"
    );
    assert!(
        many[0] <= 350,
        "the first probe comes too late to notice a silent worker: {many:?}"
    );
    assert!(
        probe_times_ms(100, 300).is_empty(),
        "a call that ends within its latency objective must cost no probe"
    );
}
