//! Two processes of one front end beside each other: which of them uses its seats at cold workers.
mod common;

use common::{Harness, Protocol};
use rstest::rstest;
use wrenseam::succession::Succession;

const LOOK: u64 = 250; // ms, as `front::admin::LOOK`

/// One process runs, another starts beside it at some moment between its looks; looks come late by up to a whole one.
/// At no time do both use the seats, and the new one does in the end.
#[rstest]
fn at_no_time_do_both_use_the_seats(
    #[values(0, 1, 120, 249)] phase: u64,
    #[values(0, 100, 250)] late: u64,
) {
    let (mut file, mut looks) = ("a".to_owned(), 0);
    let (mut old, mut new) = (Succession::new("a".into(), None), None::<Succession>);
    assert!(
        !old.aside(),
        "a process that nobody is named before has them at once"
    );
    let (mut next, mut started) = (0, 0);
    for now in 0..5_000 {
        if now == 2_000 + phase {
            let n = Succession::new("b".into(), Some(&file));
            file = n.own().to_owned();
            (new, started) = (Some(n), now);
        }
        if now >= next {
            old.looked(Some(&file));
            looks += 1;
            next = now + LOOK + late * (looks % 2);
        }
        if let Some(new) = new.as_mut() {
            if (now - started).is_multiple_of(LOOK) {
                new.looked(Some(&file)); // never late: so it would take them soonest
            }
            assert!(
                old.aside() || new.aside(),
                "both have them {} ms after the start",
                now - started
            );
        }
    }
    assert!(old.aside() && !new.expect("started").aside());
}

/// A file that cannot be read leaves things as they are; two that start at once end with one; nobody waits for itself.
#[test]
fn odd_files_leave_one_process_with_the_seats() {
    let (mut one, mut two) = (
        Succession::new("a".into(), Some("x")),
        Succession::new("b".into(), Some("x")),
    );
    for _ in 0..4 {
        one.looked(Some("b"));
        two.looked(Some("b"));
    }
    assert!(one.aside() && !two.aside());
    assert!(!two.looked(None));
    assert!(!Succession::new("a".into(), Some("a")).aside());
}

/// With the door on, a process names itself for whoever replaces it.
#[test]
fn a_process_names_itself_in_tmpdir() {
    let stage = Harness::new(Protocol::Platform);
    let named = std::fs::read_to_string(stage.folder().join("wrenseam-process-t")).expect("named");
    assert!(named.ends_with("-2a"), "{named}: the process and its seed");
}
