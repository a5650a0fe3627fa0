//! Transitions of a dispatch: whether a waiting attempt is started, reclaimed, discarded or ended.
use rstest::rstest;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam::worker::dispatch::{Dispatch, DispatchState, StartResult};

fn waiting() -> Arc<Dispatch> {
    Dispatch::new(Arc::default(), Instant::now() + Duration::from_secs(60))
}

/// When two transitions race, the first decides and the other learns that it came too late.
#[test]
fn an_attempt_is_started_or_reclaimed_never_both() {
    let now = Instant::now();
    let (first, second) = (waiting(), waiting());
    assert!(first.reclaim() && first.try_start(now) == StartResult::AlreadyFinal && !first.end());
    assert!(second.try_start(now) == StartResult::Started && !second.reclaim() && second.end());
    let third = waiting();
    assert_eq!(third.try_start(now), StartResult::Started);
    third.revert_start(); // no byte of it was written
    assert!(third.reclaim());
}

/// An attempt that has not been started is discarded once its client has left or its time is up.
#[test]
fn nothing_is_started_for_a_client_that_left_or_after_its_time() {
    let (gone, now) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let for_client = Dispatch::new(gone.clone(), now + Duration::from_secs(60));
    gone.store(true, Ordering::Release);
    assert_eq!(
        (for_client.try_start(now), for_client.reclaim()),
        (StartResult::Discarded, false)
    );
    let late = Dispatch::new(Arc::default(), now);
    assert_eq!(
        late.try_start(now + Duration::from_millis(1)),
        StartResult::Discarded
    );
}

/// No call changes a final state, and none tells its caller to account for the end again.
#[rstest]
#[case::reclaimed(DispatchState::Reclaimed)]
#[case::discarded(DispatchState::Discarded)]
#[case::ended(DispatchState::Ended)]
fn nothing_changes_a_final_state(#[case] state: DispatchState) {
    let (gone, now) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let dispatch = Dispatch::new(gone.clone(), now + Duration::from_secs(60));
    match state {
        DispatchState::Reclaimed => assert!(dispatch.reclaim()),
        DispatchState::Discarded => {
            gone.store(true, Ordering::Release);
            assert_eq!(dispatch.try_start(now), StartResult::Discarded);
        }
        _ => assert!(dispatch.end()),
    }
    assert_eq!(dispatch.try_start(now), StartResult::AlreadyFinal);
    dispatch.revert_start();
    assert!(!dispatch.reclaim() && !dispatch.end());
    assert_eq!(dispatch.state(), state);
}
