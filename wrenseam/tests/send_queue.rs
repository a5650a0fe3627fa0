//! What is claimed from the send queue of a connection, and what is cut out of it.
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam::model::AttemptKey;
use wrenseam::worker::dispatch::Dispatch;
use wrenseam::worker::frames::send_queue::{Claim, ClaimScope, Cut, QueuedFrame, SendQueue};

fn waiting() -> Arc<Dispatch> {
    Dispatch::new(Arc::default(), Instant::now() + Duration::from_secs(60))
}

fn claim(writable: usize, cuts: Vec<Cut>) -> Claim {
    Claim { writable, cuts }
}

/// Length of each queued frame.
const FRAME_BYTES: usize = 10;

/// What a test case cuts out of the queue.
#[derive(Clone, Copy, Debug)]
enum CutOut {
    /// The frame of one exchange.
    Exchange(u64),
    /// All frames that are withheld on a drain.
    Withheld,
}

/// A frame that opens an exchange.
fn opening(id: u64, dispatch: Arc<Dispatch>) -> QueuedFrame {
    QueuedFrame {
        len: FRAME_BYTES,
        id: Some(id),
        withheld_on_drain: true,
        dispatch: Some(dispatch),
        cancels: None,
    }
}

/// A frame that gets no answer.
fn one_way(len: usize) -> QueuedFrame {
    QueuedFrame {
        len,
        ..QueuedFrame::default()
    }
}

/// The queue holds frames 1, 2 (an unload, which gets no answer) and 3, of which `written` bytes are written. Then the
/// frame of one exchange is cut out, or all that are withheld on a drain. Checks what is cut, and where the last frame
/// ends then.
#[rstest]
#[case::none_started(0, CutOut::Exchange(1), vec![(0, Some(1))], 20)]
#[case::started_in_part(1, CutOut::Exchange(1), vec![], 30)]
#[case::behind_a_started_one(4, CutOut::Exchange(3), vec![(16, Some(3))], 20)]
#[case::a_drain(4, CutOut::Withheld, vec![(16, Some(3))], 20)]
#[case::a_drain_before_any(0, CutOut::Withheld, vec![(0, Some(1)), (10, Some(3))], 10)]
fn what_is_not_started_is_cut_and_the_rest_moves_up(
    #[case] written: u64,
    #[case] cut_out: CutOut,
    #[case] expected: Vec<(usize, Option<u64>)>,
    #[case] end: u64,
) {
    let mut queue = SendQueue::default();
    queue.push(opening(1, waiting()));
    queue.push(one_way(FRAME_BYTES));
    queue.push(opening(3, waiting()));
    queue.advance(written);
    let cuts = queue.cut_where(written, |frame| match cut_out {
        CutOut::Exchange(id) => frame.id == Some(id),
        CutOut::Withheld => frame.withheld_on_drain,
    });
    let places: Vec<_> = cuts.iter().map(|cut| (cut.at, cut.id)).collect();
    assert_eq!(places, expected);
    assert!(cuts
        .iter()
        .all(|cut| cut.ends_exchange && cut.len == FRAME_BYTES));
    assert_eq!(
        queue.push(one_way(5)),
        end + 5,
        "position right after the last frame"
    );
}

/// While a write stalls only the next frame is claimed, so that those behind it can still be reclaimed.
#[test]
fn a_stalled_write_claims_one_frame_at_the_most() {
    let now = Instant::now();
    let mut queue = SendQueue::default();
    let dispatches = [waiting(), waiting(), waiting()];
    for (id, dispatch) in (0..).zip(&dispatches) {
        queue.push(opening(id, dispatch.clone()));
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
        len: FRAME_BYTES,
        id: Some(1),
        ends_exchange: false,
    };
    assert_eq!(
        queue.claim(10, now, ClaimScope::NextFrame),
        claim(10, vec![cut])
    );
}

/// An attempt counts as cancelled once its cancellation is completely written, also if a frame before the cancellation
/// is cut out.
#[test]
fn a_cancellation_is_confirmed_by_its_last_byte() {
    let now = Instant::now();
    let mut queue = SendQueue::default();
    let reclaimed = waiting();
    let key = AttemptKey {
        request: 7,
        attempt: 1,
    };
    queue.push(opening(1, reclaimed.clone()));
    queue.push(QueuedFrame {
        cancels: Some(key),
        ..one_way(20)
    });
    assert!(reclaimed.reclaim());
    assert_eq!(queue.claim(0, now, ClaimScope::AllFrames).writable, 20);
    assert_eq!(queue.advance(19), []);
    assert_eq!(queue.advance(20), [key]);
    assert_eq!(
        queue.take_cancellations().count(),
        0,
        "a cancellation must be reported only once"
    );
}
