//! Several processes of the program that gossip on loopback: join, crash and restart, invalid datagrams.
mod common;
use common::Fleet;
use rstest::rstest;
use std::net::UdpSocket;
use std::time::Duration;

/// The time within which all processes have found each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The time within which a crashed process is declared down; the probe period is 100 ms, the suspicion timeout 300 ms.
const DOWN_TIMEOUT: Duration = Duration::from_secs(3);

#[rstest]
#[case(3)]
#[case(5)]
fn all_processes_find_each_other(#[case] count: usize) {
    let fleet = Fleet::new(count);
    for i in 0..count {
        fleet.wait_for_peers(i, count as u64 - 1, JOIN_TIMEOUT);
    }
}

#[rstest]
#[case::the_seed(0)]
#[case::other_than_the_seed(2)]
fn killed_process_is_declared_down_and_rejoins(#[case] victim: usize) {
    let mut fleet = Fleet::new(3);
    (0..3).for_each(|i| {
        fleet.wait_for_peers(i, 2, JOIN_TIMEOUT);
    });
    fleet.kill(victim);
    for i in (0..3).filter(|&i| i != victim) {
        let took = fleet.wait_for_peers(i, 1, DOWN_TIMEOUT);
        eprintln!("f{i} declared f{victim} down after {} ms", took.as_millis());
    }
    let seed = (victim + 1) % 3;
    fleet.restart(victim, seed);
    for i in 0..3 {
        fleet.wait_for_peers(i, 2, JOIN_TIMEOUT);
    }
}

#[rstest]
#[case::empty(vec![])]
#[case::oversized(vec![0x77; 2000])]
#[case::other_cluster(b"wF\x01\x00\x00\x00\x00and more".to_vec())]
#[case::garbled_after_our_header(Vec::from([b'w', b'F', 1]).into_iter().chain(std::iter::repeat_n(0xff, 300)).collect())]
fn invalid_datagrams_end_no_process(#[case] bytes: Vec<u8>) {
    let mut fleet = Fleet::new(3);
    (0..3).for_each(|i| {
        fleet.wait_for_peers(i, 2, JOIN_TIMEOUT);
    });
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a UDP socket");
    for _ in 0..200 {
        for node in &fleet.nodes {
            socket
                .send_to(&bytes, node.gossip)
                .expect("send a datagram");
        }
    }
    // Lets some probe periods pass, so that the counts of peers show an effect if there is one.
    std::thread::sleep(Duration::from_millis(500));
    for i in 0..3 {
        assert!(fleet.is_running(i), "process f{i} ended");
        fleet.wait_for_peers(i, 2, JOIN_TIMEOUT);
    }
}
