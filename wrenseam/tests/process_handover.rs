//! Two processes of one front end beside each other: which of them sends to workers in slow start.
mod common;

use common::{Harness, Protocol};
use rstest::rstest;
use wrenseam::front::admin::POLL_INTERVAL;
use wrenseam::handover::Handover;

/// One process runs, another starts beside it at some moment between its polls; polls are late by up to a whole one.
/// At no time are both active, and the new one is in the end.
#[rstest]
fn at_no_time_are_both_processes_active(
    #[values(0, 1, 120, 249)] phase: u64,
    #[values(0, 100, 250)] late: u64,
) {
    let interval = POLL_INTERVAL.as_millis() as u64;
    assert_eq!(interval, 250);
    let mut file = "a".to_owned();
    let mut polls = 0;
    let mut old = Handover::new("a".into(), None);
    let mut new = None::<Handover>;
    assert!(
        !old.is_standby(),
        "a process that follows no other is active at once"
    );
    let mut next_poll = 0;
    let mut started_at = 0;
    for now in 0..5_000 {
        if now == 2_000 + phase {
            let handover = Handover::new("b".into(), Some(&file));
            file = handover.process().to_owned();
            new = Some(handover);
            started_at = now;
        }
        if now >= next_poll {
            old.observe(Some(&file));
            polls += 1;
            next_poll = now + interval + late * (polls % 2);
        }
        if let Some(new) = new.as_mut() {
            if (now - started_at).is_multiple_of(interval) {
                new.observe(Some(&file)); // never late: so it would become active soonest
            }
            assert!(
                old.is_standby() || new.is_standby(),
                "both are active {} ms after the start",
                now - started_at
            );
        }
    }
    assert!(old.is_standby() && !new.expect("started").is_standby());
}

/// A file that cannot be read leaves things as they are; two that start at once end with one; nobody waits for itself.
#[test]
fn odd_files_leave_one_process_active() {
    let mut one = Handover::new("a".into(), Some("x"));
    let mut two = Handover::new("b".into(), Some("x"));
    for _ in 0..4 {
        one.observe(Some("b"));
        two.observe(Some("b"));
    }
    assert!(one.is_standby() && !two.is_standby());
    assert!(!two.observe(None));
    assert!(!Handover::new("a".into(), Some("a")).is_standby());
}

/// With the admin endpoint on, a process names itself for whoever replaces it.
#[test]
fn a_process_names_itself_in_tmpdir() {
    let stage = Harness::new(Protocol::Platform);
    let named = std::fs::read_to_string(stage.folder().join("wrenseam-process-t")).expect("named");
    assert!(named.ends_with("-2a"), "{named}: the process and its seed");
}
