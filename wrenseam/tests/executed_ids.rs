//! The ids of requests that must not be executed twice: how long they are kept, and how two processes share them.
use rstest::rstest;
use std::path::{Path, PathBuf};
use wrenseam::executed_ids::ExecutedIds;

const NOW: u64 = 1_700_000_000_000_000;
const MINUTE: u64 = 60_000_000;

fn shared_file(name: &str) -> PathBuf {
    let name = format!("executed-{}-{name}", std::process::id());
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn process(path: &Path) -> ExecutedIds {
    ExecutedIds::shared(path).expect("a file")
}

#[test]
fn an_id_is_kept_for_a_minute_unless_its_request_was_not_executed() {
    let mut ids = ExecutedIds::default();
    assert!(ids.claim(7, NOW));
    assert!(ids.contains(7, NOW + MINUTE - 1));
    assert!(!ids.contains(7, NOW + MINUTE));
    assert!(!ids.contains(8, NOW));
    assert!(ids.claim(7, NOW + 1), "a retry of the same request");
    ids.remove(7);
    assert!(!ids.contains(7, NOW + 2));
}

#[test]
fn the_number_of_kept_ids_is_bounded() {
    let mut ids = ExecutedIds::default();
    for id in 0..40_000 {
        assert!(ids.claim(id, NOW));
    }
    let kept = (0..40_000).filter(|&id| ids.contains(id, NOW)).count();
    assert_eq!(kept, 16_384);
    assert!(ids.contains(39_999, NOW));
}

#[rstest]
#[case::first(0)]
#[case::of_a_full_bucket(4)]
fn another_process_may_not_claim_an_id(#[case] others_in_its_bucket: u64) {
    let path = shared_file(&format!("claim-{others_in_its_bucket}"));
    let (mut old, mut new) = (process(&path), process(&path));
    for other in 1..=others_in_its_bucket {
        assert!(old.claim(7 + 2_048 * other, NOW - 1));
    }
    assert!(old.claim(7, NOW));
    assert!(new.contains(7, NOW));
    assert!(!new.claim(7, NOW));
    new.remove(7); // not its own
    assert!(!new.claim(7, NOW));
    old.remove(7);
    assert!(new.claim(7, NOW));
    assert!(!old.claim(7, NOW));
}

#[test]
fn a_process_that_starts_later_knows_the_ids() {
    let path = shared_file("later");
    assert!(process(&path).claim(7, NOW));
    assert!(process(&path).contains(7, NOW));
    assert!(!process(&path).contains(7, NOW + MINUTE));
}

/// Guards against a process that removes its own id and overwrites one that the other process records in the same place
/// of the file at the same time.
#[test]
fn an_id_that_is_recorded_while_another_is_removed_is_not_lost() {
    const ROUNDS: u64 = 20_000;
    /// Ids with this difference share a bucket of the file.
    const BUCKETS: u64 = 2_048;
    let path = shared_file("remove");
    let (mut old, mut new) = (process(&path), process(&path));
    let others = std::thread::spawn(move || {
        for round in 0..ROUNDS {
            let id = 7 + BUCKETS * (round % 3);
            if old.claim(id, NOW) {
                old.remove(id);
            }
        }
    });
    let mut overwritten = 0;
    let mut id = 7 + BUCKETS * 10;
    while !others.is_finished() {
        id += BUCKETS;
        if new.claim(id, NOW) {
            overwritten += usize::from(!process(&path).contains(id, NOW));
            new.remove(id);
        }
    }
    others.join().expect("no panic");
    assert_eq!(overwritten, 0);
}

/// An id that cannot be compared with those of the other process, as that one holds the lock, is not claimed.
#[test]
fn no_id_is_claimed_while_the_file_stays_locked() {
    let path = shared_file("locked");
    let mut ids = process(&path);
    let lock = std::fs::File::open(&path).expect("a file");
    lock.lock().expect("free");
    assert!(!ids.claim(7, NOW));
    drop(lock);
    assert!(ids.claim(7, NOW));
}

/// Guards against two processes that both find an id unknown before either has recorded it.
#[test]
fn two_processes_that_claim_an_id_at_the_same_time_do_not_both_get_it() {
    const IDS: u64 = 5_000;
    let path = shared_file("race");
    let claims = |path: PathBuf| {
        let mut ids = process(&path);
        std::thread::spawn(move || (0..IDS).filter(|&id| ids.claim(id, NOW)).count())
    };
    let threads = [claims(path.clone()), claims(path)];
    let claimed: usize = threads
        .into_iter()
        .map(|thread| thread.join().expect("no panic"))
        .sum();
    assert_eq!(claimed, IDS as usize);
}
