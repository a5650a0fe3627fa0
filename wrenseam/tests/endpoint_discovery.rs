//! The program's endpoint list while its discovery service fails, changes its address or repeats events.
mod common;

use common::{Harness, Protocol};
use rstest::rstest;

#[rstest]
// Guards against a program that exits at SIGHUP or no longer updates its list after it.
#[case::service_moves(
    "
    discovery expect 1
    discovery send 2 w0 draining
    endpoint expect w0 draining
    program reload
    discovery expect 2
    discovery send 3 w1 draining
    endpoint expect w1 draining
    program reload
    discovery expect 3"
)]
#[case::unreadable_configuration(
    "
    discovery expect 1
    program reload corrupt
    discovery send 2 w0 draining
    endpoint expect w0 draining
    program reload
    discovery expect 2"
)]
#[case::repeated_event(
    "
    discovery expect 1
    discovery send 2 w0 draining
    discovery send 3 w0 ready
    discovery send 2 w0 draining
    discovery send 4 w1 draining
    endpoint expect w1 draining
    endpoint expect w0 ready"
)]
// A new worker has the address of another whose end was never reported.
#[case::address_taken_over(
    "
    discovery expect 1
    discovery send 2 old ready
    endpoint expect old ready
    discovery send 3 new ready
    endpoint expect new ready
    endpoint expect old absent"
)]
// All workers begin to drain while a call is in flight: its response is still delivered.
#[case::draining_during_a_call(
    "
    client send tile-render - x 5000
    worker expect tile-render - x
    discovery expect 1
    discovery send 2 w0 draining
    discovery send 3 w1 draining
    discovery send 4 w2 draining
    discovery send 5 w3 draining
    endpoint expect w3 draining
    worker send ok DONE
    client expect served DONE"
)]
// An event whose only instance is invalid is requested once more; then later events are applied.
#[case::unreadable_event(
    "
    discovery expect 1
    discovery send 2 w0 asleep
    discovery expect 1
    discovery send 2 w0 asleep
    discovery send 3 w1 draining
    endpoint expect w1 draining"
)]
// Later events are applied while an event stays invalid, and that event is requested again and then applied.
#[case::corrupt_event_twice(
    "
    discovery expect 1
    discovery send 2 w0 asleep
    discovery expect 1
    discovery send 2 w0 asleep
    discovery send 3 w1 draining
    endpoint expect w1 draining
    discovery comment
    discovery expect 1
    discovery send 2 w0 draining
    endpoint expect w0 draining
    endpoint expect w1 draining"
)]
// Comments do not show that nothing is pending: a new request asks for the last event again.
#[case::comments_only(
    "
    discovery expect 1
    discovery comment
    discovery expect 0
    discovery send 2 w0 draining
    endpoint expect w0 draining"
)]
// A connection that stays open but on which nothing is received is replaced by a new one.
#[case::silent_service(
    "
    discovery expect 1
    discovery expect 1"
)]
fn the_endpoint_list_follows_discovery(#[case] scenario: &str) {
    Harness::new(Protocol::Platform).run_scenario(Protocol::Platform, scenario);
}
