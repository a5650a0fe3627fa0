//! The notice board as it fails and moves, and the list that the program makes of it.
mod common;

use common::{Harness, Protocol};
use rstest::rstest;

#[rstest]
// Guards against the end of the program at SIGHUP, and against a list that stands still after it.
#[case::moves(
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
#[case::written_twice(
    "
    discovery expect 1
    discovery send 2 w0 draining
    discovery send 3 w0 ready
    discovery send 2 w0 draining
    discovery send 4 w1 draining
    endpoint expect w1 draining
    endpoint expect w0 ready"
)]
// A new worker stands where another did, of which no end has been told.
#[case::an_address_taken_over(
    "
    discovery expect 1
    discovery send 2 old ready
    endpoint expect old ready
    discovery send 3 new ready
    endpoint expect new ready
    endpoint expect old absent"
)]
// All move while a call is out: its answer still comes, from where it went.
#[case::moved_under_a_call(
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
// Asked for again once, then passed over.
#[case::unreadable_event(
    "
    discovery expect 1
    discovery send 2 w0 asleep
    discovery expect 1
    discovery send 2 w0 asleep
    discovery send 3 w1 draining
    endpoint expect w1 draining"
)]
// Its sound part is used though it comes spoilt for good, and what is unfit is asked for again.
#[case::spoilt_twice(
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
// It stands and comments, and what it has to tell never comes there.
#[case::comments_only(
    "
    discovery expect 1
    discovery comment
    discovery expect 1
    discovery send 2 w0 draining
    endpoint expect w0 draining"
)]
// A stop with the connection open.
#[case::silent(
    "
    discovery expect 1
    discovery expect 1"
)]
fn the_list_follows_the_board(#[case] scenario: &str) {
    Harness::new(Protocol::Platform).run_scenario(Protocol::Platform, scenario);
}
