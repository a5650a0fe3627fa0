//! Limits of the time until all views are equal and correct after a single fault, and checks that no other front end is
//! declared down because of it. Runs on the simulated network with the program's default times (probe period 500 ms,
//! suspicion timeout 1.5 s).
use rstest::rstest;
use scalelab::gossip_network::{address_of, GossipProtocol, SimulatedNetwork, MS};
use std::collections::BTreeSet;
use wrenseam::fleet::record::Entry;
use wrenseam::fleet::Lifecycle;

/// One second, in microseconds of simulated time.
const SEC: u64 = 1000 * MS;

/// A fleet in which all views are equal and correct.
fn settled(front_ends: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::settled(front_ends, GossipProtocol::BoundedView, seed)
        .expect("every front end finds all others");
    network
        .run_until_stable(10 * SEC, |network| network.disagreement(0).is_none())
        .expect("all views become equal and correct");
    network
}

/// Runs until all views are equal and correct and returns how long that took, in microseconds. Panics after
/// `timeout` microseconds.
fn run_until_converged(network: &mut SimulatedNetwork, timeout: u64) -> u64 {
    let duration = network.run_until_stable(timeout, |network| network.disagreement(0).is_none());
    duration.unwrap_or_else(|| {
        panic!(
            "{timeout} us after the fault: {:?}",
            network.disagreement(0)
        )
    })
}

/// Front ends that were declared down though they are not among the faulty ones.
fn falsely_declared_down(network: &SimulatedNetwork, faulty: &[usize]) -> BTreeSet<usize> {
    network
        .down_reports
        .iter()
        .map(|report| report.peer)
        .filter(|peer| !faulty.contains(peer))
        .collect()
}

#[rstest]
fn a_leave_is_known_to_all_and_is_no_failure(
    #[values(3, 12)] front_ends: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut network = settled(front_ends, seed);
    network.down_reports.clear();
    network.leave(front_ends - 1);
    let duration = run_until_converged(&mut network, SEC);
    assert_eq!(network.down_reports, []);
    eprintln!(
        "{front_ends} front ends: a leave known to all after {} ms",
        duration / MS
    );
}

#[rstest]
fn all_front_ends_know_within_a_second_that_one_drains(#[values(1, 2, 3)] seed: u64) {
    let mut network = settled(12, seed);
    network.update(5, |metadata| metadata.lifecycle = Lifecycle::Draining);
    let known_to_all = network.run_until_stable(SEC, |network| {
        (0..12).filter(|&index| index != 5).all(|index| {
            network.peers[index].status.by_lifecycle[Lifecycle::Draining as usize] == 1
        })
    });
    assert!(known_to_all.is_some());
    assert!((0..12)
        .filter(|&index| index != 5)
        .all(|index| network.peers[index].status.ready() == 10));
}

#[rstest]
#[case::forty(40, 2 * SEC)]
#[case::a_hundred(100, 3 * SEC)]
fn a_change_of_a_record_is_known_to_all(
    #[case] front_ends: usize,
    #[case] timeout: u64,
    #[values(1, 2, 3)] seed: u64,
    #[values(0.0, 0.05)] loss: f64,
) {
    let mut network = settled(front_ends, seed);
    network.loss = loss;
    network.update(7, |metadata| {
        metadata.entries.insert(
            "fact".to_owned(),
            Entry {
                version: 1,
                value: "new".to_owned(),
            },
        );
    });
    run_until_converged(&mut network, timeout);
}

/// A partition into halves for 80 s, with a restart on each side. After it has healed, all views become equal and
/// correct, and no front end is declared down by one of its own side.
#[rstest]
fn views_converge_after_a_partition(
    #[values(12, 40)] front_ends: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut network = settled(front_ends, seed);
    let side = |index: usize| u8::from(index % 2 == 1);
    network
        .peers
        .iter_mut()
        .enumerate()
        .for_each(|(index, peer)| peer.side = side(index));
    network.run(network.now + 40 * SEC);
    for index in [2, 3] {
        network.kill(index);
        network.start(index, SEC);
    }
    network.run(network.now + 40 * SEC);
    network.down_reports.clear();
    network.peers.iter_mut().for_each(|peer| peer.side = 0);
    let duration = run_until_converged(&mut network, 2 * SEC);
    let same_side: Vec<_> = network
        .down_reports
        .iter()
        .filter(|report| side(report.reporter) == side(report.peer))
        .collect();
    assert!(same_side.is_empty(), "{same_side:?}");
    eprintln!(
        "{front_ends} front ends: all views equal {} ms after the partition healed",
        duration / MS
    );
}

#[rstest]
#[case::one(1)]
#[case::a_third(13)]
fn crashed_front_ends_are_declared_down(
    #[case] crashed: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut network = settled(40, seed);
    (0..crashed).for_each(|crash| network.kill(3 * crash));
    network.down_reports.clear();
    let duration = run_until_converged(&mut network, 6 * SEC);
    let crashed_indices: Vec<usize> = (0..crashed).map(|crash| 3 * crash).collect();
    assert_eq!(
        falsely_declared_down(&network, &crashed_indices),
        BTreeSet::new()
    );
    eprintln!(
        "{crashed} of 40 crashed: all views equal after {} ms",
        duration / MS
    );
}

/// All front ends of a small fleet but one crash. The remaining one receives no gossip, so at first it declares no peer
/// down; later it must remove all others from its view.
#[rstest]
fn the_last_front_end_removes_all_others_from_its_view(#[values(2, 3)] front_ends: usize) {
    let mut network = settled(front_ends, 1);
    (1..front_ends).for_each(|index| network.kill(index));
    run_until_converged(&mut network, 8 * SEC);
    network.start(1, 0);
    run_until_converged(&mut network, 3 * SEC);
}

fn inbound_blocked(network: &mut SimulatedNetwork, index: usize, on: bool) {
    network.peers[index].inbound_blocked = on;
}

fn outbound_blocked(network: &mut SimulatedNetwork, index: usize, on: bool) {
    network.peers[index].outbound_blocked = on;
}

fn stopped(network: &mut SimulatedNetwork, index: usize, on: bool) {
    network.set_stopped(index, on);
}

/// Front ends that are stopped, or whose traffic is blocked in one direction, must neither declare others down nor
/// cause others to do so. Once their fault has ended, all views become equal and correct again.
#[rstest]
fn a_faulty_front_end_causes_no_other_to_be_declared_down(
    #[values(inbound_blocked, outbound_blocked, stopped)] fault: fn(
        &mut SimulatedNetwork,
        usize,
        bool,
    ),
    #[values(1, 3)] fault_count: usize,
    #[values(2, 10)] duration_s: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut network = settled(12, seed);
    network.down_reports.clear();
    (0..fault_count).for_each(|position| fault(&mut network, 4 * position, true));
    network.run(network.now + duration_s * SEC);
    (0..fault_count).for_each(|position| fault(&mut network, 4 * position, false));
    run_until_converged(&mut network, 6 * SEC);
    let faulty: Vec<usize> = (0..fault_count).map(|position| 4 * position).collect();
    assert_eq!(
        falsely_declared_down(&network, &faulty),
        BTreeSet::new(),
        "{:?}",
        network.down_reports
    );
}

/// A restarted front end replaces its previous incarnation even if the clock was set back and the new incarnation is
/// smaller, whether the previous one is still counted alive or was already declared down.
#[rstest]
fn a_restart_with_the_clock_set_back_replaces_the_previous_incarnation(
    #[values(100, 10_000)] down_ms: u64,
    #[values(3, 12)] front_ends: usize,
) {
    let mut network = settled(front_ends, 4);
    network.kill(2);
    network.run(network.now + down_ms * MS);
    network.start_with_clock_set_back(2, 0);
    run_until_converged(&mut network, 3 * SEC);
}

/// A front end that was stopped while another crashed still gossips about the crashed one as alive when it continues.
/// The others must not take it back as alive.
#[rstest]
fn a_stale_view_does_not_revive_a_crashed_front_end(#[values(6, 70)] stopped_s: u64) {
    let mut network = settled(12, 5);
    network.set_stopped(1, true);
    network.kill(7);
    let holding_it_alive = |network: &SimulatedNetwork| -> Vec<usize> {
        let counts_alive = |index: usize| {
            let directory = network.node(index).expect("runs").members().directory();
            directory.alive().any(|id| id.addr == address_of(7))
        };
        (0..12)
            .filter(|&index| index != 1 && index != 7 && counts_alive(index))
            .collect()
    };
    network.run(network.now + stopped_s * SEC);
    assert_eq!(
        holding_it_alive(&network),
        Vec::<usize>::new(),
        "all but the stopped front end have removed the crashed one"
    );
    network.set_stopped(1, false);
    for _ in 0..100 {
        network.run(network.now + 100 * MS);
        assert_eq!(
            holding_it_alive(&network),
            Vec::<usize>::new(),
            "the crashed front end is counted alive again"
        );
    }
    run_until_converged(&mut network, SEC);
}

/// Traffic per front end stays within the limit of 22 KB/s in each second after a partition has healed, when many
/// membership updates are disseminated at once.
#[test]
fn traffic_stays_within_its_limit_after_a_partition_heals() {
    let mut network = settled(98, 6);
    network
        .peers
        .iter_mut()
        .enumerate()
        .for_each(|(index, peer)| peer.side = u8::from(index % 7 >= 4));
    network.run(network.now + 60 * SEC);
    network.peers.iter_mut().for_each(|peer| peer.side = 0);
    for _ in 0..10 {
        network.traffic = Default::default();
        network.run(network.now + SEC);
        let each = (network.traffic.sent + network.traffic.received) / 98;
        assert!(each < 22_000, "{each} bytes sent and received");
    }
    run_until_converged(&mut network, SEC);
}
