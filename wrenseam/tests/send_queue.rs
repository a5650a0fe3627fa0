//! Who decides whether a waiting frame is begun, and what is cut out of a connection's queue.
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam::model::AttemptKey;
use wrenseam::worker::dispatch::Dispatch;
use wrenseam::worker::frames::send_queue::{Claim, ClaimScope, Cut, QueuedFrame, SendQueue};

fn dispatch() -> Arc<Dispatch> {
    Dispatch::new(Arc::default(), Instant::now() + Duration::from_secs(60))
}

fn claim(writable: usize, cuts: Vec<Cut>) -> Claim {
    Claim { writable, cuts }
}

/// Frames 1, 2 (an unload, owed nothing) and 3 of ten bytes each, of which so many are written; then one is taken
/// back, or all bound ones are withheld. What is cut, and where the last one ends now.
#[rstest]
#[case::none_begun(0, Some(1), vec![(0, Some(1))], 20)]
#[case::begun_in_part(1, Some(1), vec![], 30)]
#[case::behind_a_begun_one(4, Some(3), vec![(16, Some(3))], 20)]
#[case::a_drain(4, None, vec![(16, Some(3))], 20)]
#[case::a_drain_before_any(0, None, vec![(0, Some(1)), (10, Some(3))], 10)]
fn what_is_not_begun_is_cut_and_the_rest_moves_up(
    #[case] written: u64,
    #[case] taken: Option<u64>,
    #[case] cuts: Vec<(usize, Option<u64>)>,
    #[case] end: u64,
) {
    let mut queue = SendQueue::default();
    for id in [Some(1), None, Some(3)] {
        queue.push(QueuedFrame {
            id,
            withheld_on_drain: id.is_some(),
            dispatch: id.map(|_| dispatch()),
            len: 10,
            ..QueuedFrame::default()
        });
    }
    queue.advance(written);
    let got = queue.cut_where(written, |p| {
        p.withheld_on_drain && taken.is_none_or(|t| p.id == Some(t))
    });
    assert_eq!(got.iter().map(|c| (c.at, c.id)).collect::<Vec<_>>(), cuts);
    assert!(got.iter().all(|c| c.ends && c.len == 10));
    assert_eq!(
        queue.push(QueuedFrame {
            len: 5,
            ..QueuedFrame::default()
        }),
        end + 5,
        "where the last one ends now"
    );
}

/// While a write stalls only the next frame is claimed: those behind can still be taken back.
#[test]
fn a_stalled_write_holds_one_frame_at_the_most() {
    let (mut queue, now) = (SendQueue::default(), Instant::now());
    let dispatches = [dispatch(), dispatch(), dispatch()];
    for (n, t) in dispatches.iter().enumerate() {
        queue.push(QueuedFrame {
            id: Some(n as u64),
            withheld_on_drain: true,
            dispatch: Some(t.clone()),
            len: 10,
            ..QueuedFrame::default()
        });
    }
    assert_eq!(
        queue.claim(0, now, ClaimScope::AllFrames),
        claim(30, vec![])
    );
    queue.advance(0); // nothing could be written
    assert!(dispatches[1].reclaim());
    assert_eq!(
        queue.claim(0, now, ClaimScope::NextFrame),
        claim(10, vec![])
    );
    queue.advance(10);
    let cut = Cut {
        at: 0,
        len: 10,
        id: Some(1),
        ends: false,
    };
    assert_eq!(
        queue.claim(10, now, ClaimScope::NextFrame),
        claim(10, vec![cut])
    );
}

/// An attempt counts as given up once the frame that says so is written whole, also where frames before it are cut.
#[test]
fn a_give_up_is_confirmed_by_its_last_byte() {
    let (mut queue, now) = (SendQueue::default(), Instant::now());
    let taken = dispatch();
    let key = AttemptKey {
        request: 7,
        attempt: 1,
    };
    queue.push(QueuedFrame {
        id: Some(1),
        dispatch: Some(taken.clone()),
        len: 10,
        ..QueuedFrame::default()
    });
    queue.push(QueuedFrame {
        confirms: Some(key),
        len: 20,
        ..QueuedFrame::default()
    });
    assert!(taken.reclaim());
    assert_eq!(queue.claim(0, now, ClaimScope::AllFrames).writable, 20);
    assert_eq!(queue.advance(19), []);
    assert_eq!(queue.advance(20), [key]);
    assert_eq!(queue.take_confirmations().count(), 0, "it is told once");
}
