//! How many connections to workers may be open, and which are closed first when descriptors run short.
use rstest::rstest;
use wrenseam::worker::pool::{
    longest_idle, ConnectionCounts, IdleConnection, PoolLimit, DESCRIPTORS_PER_CONNECTION,
};

/// Descriptors of the process under test, and how many of them are kept for other use.
const DESCRIPTORS: usize = 1024;
const RESERVED: usize = 40;

#[rstest]
#[case::plenty(100, 341, 0)]
#[case::as_clients_come(200, 341, 81)]
#[case::the_reserved_ones_stay(64, 492, 0)]
#[case::beyond_the_reserved_ones(80, 492, 16)]
fn connections_are_closed_as_descriptors_run_short(
    #[case] open: usize,
    #[case] clients: usize,
    #[case] excess: usize,
) {
    let pool = PoolLimit::new(DESCRIPTORS, RESERVED);
    let counts = ConnectionCounts {
        open,
        additional: 0,
        clients,
    };
    assert_eq!(pool.excess(counts), excess);
    let connections = pool.max_connections(341) + 341;
    assert!(
        DESCRIPTORS_PER_CONNECTION * connections + RESERVED <= DESCRIPTORS,
        "with 341 client connections the pool exceeds the descriptor limit"
    );
}

#[test]
fn an_additional_connection_counts_as_open() {
    let pool = PoolLimit::new(DESCRIPTORS, RESERVED);
    let counts = ConnectionCounts {
        open: pool.max_connections(341),
        additional: 1,
        clients: 341,
    };
    assert_eq!(pool.excess(counts), 1);
}

#[test]
fn the_connection_idle_longest_is_closed_first() {
    let idle = |worker, idle_since| IdleConnection { worker, idle_since };
    assert_eq!(
        longest_idle(vec![idle("b", 7), idle("a", 3), idle("c", 9)], 2),
        ["a", "b"]
    );
    assert!(longest_idle(vec![idle("a", 3)], 0).is_empty());
    assert!(PoolLimit::new(0, RESERVED).max_connections(1_000) > 0);
}
