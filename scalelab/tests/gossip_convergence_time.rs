//! How soon all views are equal and right after one fault, and who is not to be declared down by it. On the simulated
//! net with the program's default times (probe 500 ms, suspicion 1.5 s).
use rstest::rstest;
use scalelab::gossip_network::{addr, GossipProtocol, SimulatedNetwork, MS};
use std::collections::BTreeSet;
use wrenseam::fleet::record::Entry;
use wrenseam::fleet::Lifecycle;

const S: u64 = 1000 * MS;

fn settled(n: usize, seed: u64) -> SimulatedNetwork {
    let mut net =
        SimulatedNetwork::settled(n, GossipProtocol::BoundedView, seed).expect("all find all");
    net.until(10 * S, |net| net.disagreement(0).is_none())
        .expect("all agree");
    net
}

fn agreed(net: &mut SimulatedNetwork, within: u64) -> u64 {
    let took = net.until(within, |net| net.disagreement(0).is_none());
    took.unwrap_or_else(|| panic!("{within} us after the fault: {:?}", net.disagreement(0)))
}

/// Who was declared down, but for those who were in fault themselves.
fn wronged(net: &SimulatedNetwork, troubled: &[usize]) -> BTreeSet<usize> {
    net.downs
        .iter()
        .map(|down| down.of)
        .filter(|of| !troubled.contains(of))
        .collect()
}

#[rstest]
fn a_leave_is_known_to_all_and_is_no_failure(
    #[values(3, 12)] n: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = settled(n, seed);
    net.downs.clear();
    net.leave(n - 1);
    let took = agreed(&mut net, S);
    assert_eq!(net.downs, []);
    eprintln!(
        "{n} front ends: a leave known to all after {} ms",
        took / MS
    );
}

#[rstest]
fn a_draining_front_end_stops_counting_within_a_second(#[values(1, 2, 3)] seed: u64) {
    let mut net = settled(12, seed);
    net.update(5, |facts| facts.lifecycle = Lifecycle::Draining);
    let counted = net.until(S, |net| {
        (0..12)
            .filter(|&i| i != 5)
            .all(|i| net.peers[i].news.by_lifecycle[Lifecycle::Draining as usize] == 1)
    });
    assert!(counted.is_some());
    assert!((0..12)
        .filter(|&i| i != 5)
        .all(|i| net.peers[i].news.ready() == 10));
}

#[rstest]
#[case::forty(40, 2 * S)]
#[case::a_hundred(100, 3 * S)]
fn a_change_of_a_record_is_known_to_all(
    #[case] n: usize,
    #[case] within: u64,
    #[values(1, 2, 3)] seed: u64,
    #[values(0.0, 0.05)] loss: f64,
) {
    let mut net = settled(n, seed);
    net.loss = loss;
    net.update(7, |facts| {
        facts.entries.insert(
            "fact".to_owned(),
            Entry {
                version: 1,
                value: "new".to_owned(),
            },
        );
    });
    agreed(&mut net, within);
}

/// Half of the fleet for 80 s, with a restart on each side: the views of both sides are equal and right, and nobody
/// was counted out on his own side.
#[rstest]
fn a_cut_heals(#[values(12, 40)] n: usize, #[values(1, 2, 3)] seed: u64) {
    let mut net = settled(n, seed);
    let side = |i: usize| u8::from(i % 2 == 1);
    net.peers
        .iter_mut()
        .enumerate()
        .for_each(|(i, front)| front.side = side(i));
    net.run(net.now + 40 * S);
    for i in [2, 3] {
        net.kill(i);
        net.start(i, S);
    }
    net.run(net.now + 40 * S);
    net.downs.clear();
    net.peers.iter_mut().for_each(|front| front.side = 0);
    let took = agreed(&mut net, 2 * S);
    let same_side: Vec<_> = net
        .downs
        .iter()
        .filter(|down| side(down.by) == side(down.of))
        .collect();
    assert!(same_side.is_empty(), "{same_side:?}");
    eprintln!("{n} front ends: all agree {} ms after the heal", took / MS);
}

#[rstest]
#[case::one(1)]
#[case::a_third(13)]
fn crashed_ones_are_counted_out(
    #[case] crashed: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut net = settled(40, seed);
    (0..crashed).for_each(|i| net.kill(3 * i));
    net.downs.clear();
    let took = agreed(&mut net, 6 * S);
    let dead: Vec<usize> = (0..crashed).map(|i| 3 * i).collect();
    assert_eq!(wronged(&net, &dead), BTreeSet::new());
    eprintln!("{crashed} of 40 crashed: all agree after {} ms", took / MS);
}

/// All but one of a small fleet: who hears nobody at first accuses nobody, and then forgets whom it knew.
#[rstest]
fn the_last_one_counts_itself_alone(#[values(2, 3)] n: usize) {
    let mut net = settled(n, 1);
    (1..n).for_each(|i| net.kill(i));
    agreed(&mut net, 8 * S);
    net.start(1, 0);
    agreed(&mut net, 3 * S);
}

fn deaf(net: &mut SimulatedNetwork, i: usize, on: bool) {
    net.peers[i].deaf = on;
}

fn mute(net: &mut SimulatedNetwork, i: usize, on: bool) {
    net.peers[i].mute = on;
}

fn stopped(net: &mut SimulatedNetwork, i: usize, on: bool) {
    net.stop(i, on);
}

/// A front end that is deaf, mute or stopped has nobody else declared down, not by itself either, and finds back.
#[rstest]
fn a_bad_observer_has_nobody_declared_down(
    #[values(deaf, mute, stopped)] fault: fn(&mut SimulatedNetwork, usize, bool),
    #[values(1, 3)] bad: usize,
    #[values(2, 10)] lasts_s: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = settled(12, seed);
    net.downs.clear();
    (0..bad).for_each(|i| fault(&mut net, 4 * i, true));
    net.run(net.now + lasts_s * S);
    (0..bad).for_each(|i| fault(&mut net, 4 * i, false));
    agreed(&mut net, 6 * S);
    let troubled: Vec<usize> = (0..bad).map(|i| 4 * i).collect();
    assert_eq!(wronged(&net, &troubled), BTreeSet::new(), "{:?}", net.downs);
}

/// A restart wins over the incarnation before it whatever the clock says, while that counts alive and afterwards.
#[rstest]
fn a_restart_with_the_clock_set_back_wins(
    #[values(100, 10_000)] down_ms: u64,
    #[values(3, 12)] n: usize,
) {
    let mut net = settled(n, 4);
    net.kill(2);
    net.run(net.now + down_ms * MS);
    net.start_set_back(2, 0);
    agreed(&mut net, 3 * S);
}

/// Nobody comes back by hearsay: one who stood still while another died still tells of it when it goes on.
#[rstest]
fn the_dead_do_not_come_back_by_hearsay(#[values(6, 70)] stopped_s: u64) {
    let mut net = settled(12, 5);
    net.stop(1, true);
    net.kill(7);
    let holders = |net: &SimulatedNetwork| -> Vec<usize> {
        let holds = |i: usize| {
            let directory = net.node(i).expect("runs").members().directory();
            directory.alive().any(|id| id.addr == addr(7))
        };
        (0..12).filter(|&i| i != 1 && i != 7 && holds(i)).collect()
    };
    net.run(net.now + stopped_s * S);
    assert_eq!(
        holders(&net),
        Vec::<usize>::new(),
        "all but the stopped one have noticed"
    );
    net.stop(1, false);
    for _ in 0..100 {
        net.run(net.now + 100 * MS);
        assert_eq!(holders(&net), Vec::<usize>::new(), "they hold it for alive");
    }
    agreed(&mut net, S);
}

/// What each front end sends holds to the budget in every second, also while much is to be told.
#[test]
fn the_budget_of_bytes_holds_in_the_worst_second() {
    let mut net = settled(98, 6);
    net.peers
        .iter_mut()
        .enumerate()
        .for_each(|(i, front)| front.side = u8::from(i % 7 >= 4));
    net.run(net.now + 60 * S);
    net.peers.iter_mut().for_each(|front| front.side = 0);
    for _ in 0..10 {
        net.traffic = Default::default();
        net.run(net.now + S);
        let each = (net.traffic.sent + net.traffic.received) / 98;
        assert!(each < 22_000, "{each} bytes sent and received");
    }
    agreed(&mut net, S);
}
