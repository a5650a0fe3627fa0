//! Several processes of the program gossiping on loopback, and the faults between them.
mod common;
use common::Fleet;
use rstest::rstest;
use std::net::UdpSocket;
use std::time::Duration;

const FIND: Duration = Duration::from_secs(10);
/// Probe 100 ms, suspicion 300 ms, a summary a period: a dead peer is to be counted out well within this.
const NOTICE: Duration = Duration::from_secs(3);

#[rstest]
#[case(3)]
#[case(5)]
fn all_find_all(#[case] n: usize) {
    let fleet = Fleet::new(n);
    for i in 0..n {
        fleet.until_peers(i, n as u64 - 1, FIND);
    }
}

#[rstest]
#[case::the_seed(0)]
#[case::another(2)]
fn a_killed_process_is_counted_out_and_back(#[case] victim: usize) {
    let mut fleet = Fleet::new(3);
    (0..3).for_each(|i| {
        fleet.until_peers(i, 2, FIND);
    });
    fleet.kill(victim);
    for i in (0..3).filter(|&i| i != victim) {
        let took = fleet.until_peers(i, 1, NOTICE);
        eprintln!("f{i} counted f{victim} out in {} ms", took.as_millis());
    }
    let by = (victim + 1) % 3;
    fleet.restart(victim, by);
    for i in 0..3 {
        fleet.until_peers(i, 2, FIND);
    }
}

#[rstest]
#[case::empty(vec![])]
#[case::oversized(vec![0x77; 2000])]
#[case::other_cluster(b"wF\x01\x00\x00\x00\x00and more".to_vec())]
#[case::garbled_after_our_header(Vec::from([b'w', b'F', 1]).into_iter().chain(std::iter::repeat_n(0xff, 300)).collect())]
fn bad_datagrams_end_no_process(#[case] bytes: Vec<u8>) {
    let mut fleet = Fleet::new(3);
    (0..3).for_each(|i| {
        fleet.until_peers(i, 2, FIND);
    });
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for _ in 0..200 {
        for node in &fleet.nodes {
            socket.send_to(&bytes, node.gossip).expect("sent");
        }
    }
    // Only after a round of probes has passed do the peers' counts say the garbage cost nothing.
    std::thread::sleep(Duration::from_millis(500));
    for i in 0..3 {
        assert!(fleet.running(i), "f{i} ended");
        fleet.until_peers(i, 2, FIND);
    }
}
