//! The notice board as it fails and moves, and the list that the program makes of it.
mod common;

use common::{Harness, Protocol};
use rstest::rstest;

#[rstest]
// Guards against the end of the program at SIGHUP, and against a list that stands still after it.
#[case::moves(
    "
    board expect 1
    board send 2 w0 draining
    list expect w0 draining
    program reload
    board expect 2
    board send 3 w1 draining
    list expect w1 draining
    program reload
    board expect 3"
)]
#[case::unreadable_configuration(
    "
    board expect 1
    program reload broken
    board send 2 w0 draining
    list expect w0 draining
    program reload
    board expect 2"
)]
#[case::written_twice(
    "
    board expect 1
    board send 2 w0 draining
    board send 3 w0 ready
    board send 2 w0 draining
    board send 4 w1 draining
    list expect w1 draining
    list expect w0 ready"
)]
// A new worker stands where another did, of which no end has been told.
#[case::an_address_taken_over(
    "
    board expect 1
    board send 2 old ready
    list expect old ready
    board send 3 new ready
    list expect new ready
    list expect old absent"
)]
// All move while a call is out: its answer still comes, from where it went.
#[case::moved_under_a_call(
    "
    client send tile-render - x 5000
    worker expect tile-render - x
    board expect 1
    board send 2 w0 draining
    board send 3 w1 draining
    board send 4 w2 draining
    board send 5 w3 draining
    list expect w3 draining
    worker send ok DONE
    client expect served DONE"
)]
// Asked for again once, then passed over.
#[case::unreadable_event(
    "
    board expect 1
    board send 2 w0 asleep
    board expect 1
    board send 2 w0 asleep
    board send 3 w1 draining
    list expect w1 draining"
)]
// Its sound part is used though it comes spoilt for good, and what is unfit is asked for again.
#[case::spoilt_twice(
    "
    board expect 1
    board send 2 w0 asleep
    board expect 1
    board send 2 w0 asleep
    board send 3 w1 draining
    list expect w1 draining
    board chatter
    board expect 1
    board send 2 w0 draining
    list expect w0 draining
    list expect w1 draining"
)]
// It stands and comments, and what it has to tell never comes there.
#[case::comments_only(
    "
    board expect 1
    board chatter
    board expect 1
    board send 2 w0 draining
    list expect w0 draining"
)]
// A stop with the connection open.
#[case::silent(
    "
    board expect 1
    board expect 1"
)]
fn the_list_follows_the_board(#[case] scenario: &str) {
    Harness::new(Protocol::Platform).run_scenario(Protocol::Platform, scenario);
}
