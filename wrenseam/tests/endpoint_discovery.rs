//! The endpoint list that the program keeps while its discovery service fails, moves and repeats itself.
mod common;

use common::{Harness, Protocol};
use rstest::rstest;

#[rstest]
// Guards against the end of the program at SIGHUP, and against a list that is not updated after it.
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
// A new worker has the address of another whose end was never notified.
#[case::address_taken_over(
    "
    discovery expect 1
    discovery send 2 old ready
    endpoint expect old ready
    discovery send 3 new ready
    endpoint expect new ready
    endpoint expect old absent"
)]
// All workers begin to drain while a call is in flight: its answer still comes.
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
// The event is watched for again once, then passed over.
#[case::unreadable_event(
    "
    discovery expect 1
    discovery send 2 w0 asleep
    discovery expect 1
    discovery send 2 w0 asleep
    discovery send 3 w1 draining
    endpoint expect w1 draining"
)]
// The readable events are used though one stays corrupt, and that one is watched for again.
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
// A stream that carries comments and no event is replaced.
#[case::comments_only(
    "
    discovery expect 1
    discovery comment
    discovery expect 1
    discovery send 2 w0 draining
    endpoint expect w0 draining"
)]
// A stream that carries nothing, with its connection open, is replaced.
#[case::silent_service(
    "
    discovery expect 1
    discovery expect 1"
)]
fn the_endpoint_list_follows_discovery(#[case] scenario: &str) {
    Harness::new(Protocol::Platform).run_scenario(Protocol::Platform, scenario);
}
