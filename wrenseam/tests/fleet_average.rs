//! The averaging without the rest of gossip: its neighbours, its datagrams, and that network faults do not change the
//! computed mean. Simulated time, no sockets.
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::config::FleetConfig;
use wrenseam::fleet::average::{
    neighbours, DroppedExchanges, EdgeRole, Exchange, ExchangeKind, MAX_FLOW, RINGS,
};
use wrenseam::fleet::traffic::Outgoing;
use wrenseam::fleet::{Average, PeerId, Summaries, Summary};

const MS: u64 = 1000;
const HEADER: [u8; 7] = [b'w', b'F', 2, 0, 0, 0, 7];

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7946))
}

fn peer(index: usize) -> PeerId {
    PeerId {
        addr: addr(index),
        incarnation: 5,
    }
}

fn opposite(role: EdgeRole) -> EdgeRole {
    match role {
        EdgeRole::Requester => EdgeRole::Responder,
        EdgeRole::Responder => EdgeRole::Requester,
    }
}

/// In a fleet of any size, both ends know each edge, and exactly one of them is the requester.
#[rstest]
fn neighbours_are_bounded_and_both_ends_agree(#[values(2, 3, 4, 9, 50, 300)] number: usize) {
    let all = || (0..number).map(|index| addr(index * 7));
    let neighbours_of: Vec<_> = (0..number)
        .map(|index| neighbours(addr(index * 7), all()))
        .collect();
    for (index, local) in neighbours_of.iter().enumerate() {
        assert!(
            local.len() <= 2 * RINGS
                && local
                    .values()
                    .filter(|role| **role == EdgeRole::Requester)
                    .count()
                    <= RINGS,
            "{local:?}"
        );
        assert!(!local.is_empty() && !local.contains_key(&addr(index * 7)));
        for (other, remote) in neighbours_of
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
        {
            let (local_role, remote_role) =
                (local.get(&addr(other * 7)), remote.get(&addr(index * 7)));
            assert!(
                local_role.is_none() && remote_role.is_none()
                    || local_role.copied() == remote_role.map(|&role| opposite(role)),
                "{index} and {other}"
            );
        }
    }
}

#[rstest]
#[case::v4("10.1.2.3:7946", 39)]
#[case::v6("[fd00::7]:9", 51)]
fn an_exchange_round_trips_and_any_flipped_bit_is_caught(
    #[case] addr: &str,
    #[case] length: usize,
) {
    let from = PeerId {
        addr: addr.parse().expect("an address"),
        incarnation: u64::MAX - 2,
    };
    let exchange = Exchange {
        kind: ExchangeKind::Reply,
        from,
        seq: 77,
        flow: -4_000_000,
        estimate: 123,
    };
    let good = exchange.encode(&HEADER);
    assert_eq!(
        (Exchange::decode(&good), good.len()),
        (Some(exchange), length)
    );
    for bit in 0..8 * good.len() {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(Exchange::decode(&bad), None, "bit {bit}");
    }
    (0..good.len()).for_each(|cut| assert_eq!(Exchange::decode(&good[..cut]), None));
}

/// A few front ends, connected by a network that this test simulates.
struct Network {
    averages: Vec<Average>,
    now: u64,
}

impl Network {
    /// Front ends with pressures 0, 1000, 2000 and so on.
    fn new(number: usize) -> Network {
        let averages = (0..number)
            .map(|index| {
                let mut average = Average::new(peer(index), 7, 500 * MS, index as u64);
                average.set_members(0, (0..number).map(addr));
                average.set_pressure(1000 * index as u32);
                average
            })
            .collect();
        Network { averages, now: 0 }
    }

    /// Runs for `ms` milliseconds. `copies` says how many copies of each datagram arrive: 0 for a lost one.
    fn run(&mut self, ms: u64, copies: &mut dyn FnMut(&Exchange) -> usize) {
        for _ in 0..ms {
            self.now += MS;
            self.averages
                .iter_mut()
                .for_each(|average| average.tick(self.now));
            loop {
                let outgoing: Vec<_> = self
                    .averages
                    .iter_mut()
                    .flat_map(Average::take_outbox)
                    .collect();
                if outgoing.is_empty() {
                    break;
                }
                for Outgoing { to, bytes, .. } in outgoing {
                    let to = (0..self.averages.len())
                        .find(|&index| addr(index) == to)
                        .expect("a member");
                    for _ in 0..copies(&Exchange::decode(&bytes).expect("an exchange")) {
                        self.averages[to].handle_datagram(self.now, &bytes);
                    }
                }
            }
        }
    }

    fn pressures(&self) -> Vec<u32> {
        self.averages.iter().map(Average::pressure).collect()
    }
}

/// Five seconds after ten seconds of network faults, all front ends report the exact mean.
#[rstest]
#[case::no_faults(|_, _| 1)]
#[case::all_replies_lost(|exchange: Exchange, _| usize::from(exchange.kind == ExchangeKind::Request))]
#[case::all_requests_lost(|exchange: Exchange, _| usize::from(exchange.kind == ExchangeKind::Reply))]
#[case::all_duplicated(|_, _| 2)]
#[case::a_third_lost_a_third_duplicated(|_, chance| chance as usize % 3)]
fn network_faults_do_not_change_the_mean(
    #[values(2, 3, 9)] number: usize,
    #[case] copies: fn(Exchange, u32) -> usize,
) {
    let (mut network, mut rng) = (Network::new(number), SmallRng::seed_from_u64(1));
    network.run(10_000, &mut |exchange| copies(*exchange, rng.random()));
    network.run(5_000, &mut |_| 1);
    let mean = 500 * (number as u32 - 1);
    assert_eq!(network.pressures(), vec![mean; number]);
}

/// The flows of a front end that goes away are reset: the others report their exact mean within the silence time-out
/// and 4 s.
#[rstest]
#[case::killed(false)]
#[case::returns_in_another_incarnation(true)]
fn flows_of_a_peer_that_goes_away_are_reset(#[case] returns: bool) {
    let mut network = Network::new(6);
    network.run(5_000, &mut |_| 1);
    assert_eq!(network.pressures(), [2500; 6]);
    let silence_timeout = network.averages[5].silence_timeout();
    network.run(silence_timeout / MS + 4_000, &mut |exchange| {
        usize::from(exchange.from != peer(5))
    });
    // The datagrams of the sixth front end are lost. The others report the mean of 0 to 4000, though it is still a
    // member.
    assert_eq!(network.pressures()[..5], [2000; 5]);
    if returns {
        let incarnation = PeerId {
            incarnation: 6,
            ..peer(5)
        };
        network.averages[5] = Average::new(incarnation, 7, 500 * MS, 50);
        network.averages[5].set_members(network.now, (0..6).map(addr));
        network.run(5_000, &mut |_| 1);
        // The new incarnation has a pressure of 0: the mean is that of 0 to 4000 and another 0.
        assert_eq!(network.pressures(), [1667; 6]);
    }
}

/// After exchanges between two front ends, one receives an invalid or outdated datagram: it is counted by cause, and
/// does not change the mean.
#[rstest]
#[case::truncated(|exchange: Exchange| exchange.encode(&HEADER)[..20].to_vec(), DroppedExchanges { garbled: 1, stale: 0, unexpected: 0 })]
#[case::an_unknown_kind(|exchange: Exchange| { let mut bytes = exchange.encode(&HEADER); bytes[7] = 9; bytes }, DroppedExchanges { garbled: 1, stale: 0, unexpected: 0 })]
#[case::a_duplicate(|exchange: Exchange| exchange.encode(&HEADER), DroppedExchanges { garbled: 0, stale: 1, unexpected: 0 })]
#[case::an_older_request(|exchange: Exchange| Exchange { seq: exchange.seq.wrapping_sub(1), ..exchange }.encode(&HEADER), DroppedExchanges { garbled: 0, stale: 1, unexpected: 0 })]
#[case::an_earlier_incarnation(
    |exchange: Exchange| Exchange { seq: exchange.seq.wrapping_add(1), from: PeerId { incarnation: 4, ..exchange.from }, ..exchange }.encode(&HEADER),
    DroppedExchanges { garbled: 0, stale: 1, unexpected: 0 }
)]
#[case::from_no_neighbour(|exchange: Exchange| Exchange { from: peer(9), ..exchange }.encode(&HEADER), DroppedExchanges { garbled: 0, stale: 0, unexpected: 1 })]
#[case::a_reply_from_a_requester(
    |exchange: Exchange| Exchange { kind: ExchangeKind::Reply, ..exchange }.encode(&HEADER),
    DroppedExchanges { garbled: 0, stale: 0, unexpected: 1 }
)]
fn a_dropped_datagram_is_counted_and_does_not_change_the_mean(
    #[case] bad: fn(Exchange) -> Vec<u8>,
    #[case] want: DroppedExchanges,
) {
    let mut network = Network::new(2);
    let mut last = None;
    network.run(5_000, &mut |exchange| {
        last = Some(*exchange)
            .filter(|exchange| exchange.kind == ExchangeKind::Request)
            .or(last);
        1
    });
    let last = last.expect("a request was sent");
    let to = usize::from(last.from == peer(0));
    let before = network.averages[to].dropped;
    network.averages[to].handle_datagram(
        network.now,
        &bad(Exchange {
            flow: 4_000_000,
            estimate: 0,
            ..last
        }),
    );
    let after = network.averages[to].dropped;
    let counted = DroppedExchanges {
        garbled: after.garbled - before.garbled,
        stale: after.stale - before.stale,
        unexpected: after.unexpected - before.unexpected,
    };
    assert_eq!(
        (
            counted,
            network.pressures(),
            network.averages[to].take_outbox().len()
        ),
        (want, vec![500, 500], 0)
    );
}

/// A neighbour that reports extreme flows and estimates changes the flow and the estimate only up to their limits.
#[rstest]
#[case(i32::MAX, i32::MAX, 4000 + MAX_FLOW)]
#[case(i32::MIN, i32::MIN, 0)]
fn reported_values_are_clamped(
    #[case] flow: i32,
    #[case] estimate: i32,
    #[case] max_estimate: u32,
) {
    let mut network = Network::new(2);
    network
        .averages
        .iter_mut()
        .for_each(|average| average.set_pressure(4000));
    let mut last = None;
    network.run(5_000, &mut |exchange| {
        last = Some(*exchange)
            .filter(|exchange| exchange.kind == ExchangeKind::Request)
            .or(last);
        1
    });
    let last = last.expect("a request was sent");
    let to = usize::from(last.from == peer(0));
    let extreme = Exchange {
        seq: last.seq.wrapping_add(1),
        flow,
        estimate,
        ..last
    };
    network.averages[to].handle_datagram(network.now, &extreme.encode(&HEADER));
    let reply = Exchange::decode(&network.averages[to].take_outbox()[0].bytes).expect("a reply");
    assert!(reply.flow.unsigned_abs() <= MAX_FLOW * 1000, "{reply:?}");
    assert!(
        (0..=max_estimate as i32 * 1000).contains(&reply.estimate),
        "{reply:?}"
    );
}

/// The pressure that a front end of an earlier version reports in its summary is clamped before it enters the mean.
#[rstest]
#[case(4, u32::MAX, 1600)]
#[case(4, 500, 100)]
fn a_pressure_in_a_summary_is_clamped(
    #[case] peers: u16,
    #[case] reported: u32,
    #[case] want: u32,
) {
    let mut summaries = Summaries::new(8, 1_000_000);
    for port in 0..peers {
        let origin = Some(SocketAddr::from(([10, 0, 0, 1], port)));
        let pressure = if port == 0 { reported } else { 0 };
        summaries.insert(
            0,
            addr(9),
            Summary {
                origin,
                seq: 1,
                pressure,
                ..Summary::default()
            },
        );
    }
    assert_eq!(summaries.pressure(0, 0), want);
}

#[rstest]
#[case::default("", Ok(true))]
#[case::off(r#","summaries":false"#, Ok(false))]
#[case::not_a_boolean(r#","summaries":"no""#, Err("'summaries' is neither true nor false"))]
fn the_setting_for_summaries_is_checked(#[case] more: &str, #[case] want: Result<bool, &str>) {
    let path = std::env::temp_dir().join(format!(
        "wrenseam-fleet-{}-{}.json",
        std::process::id(),
        more.len()
    ));
    std::fs::write(&path, format!(r#"{{"listen":"127.0.0.1:0"{more}}}"#)).expect("written");
    let read = FleetConfig::read(&path.to_string_lossy())
        .map(|f| f.summaries)
        .map_err(|e| e.to_string());
    std::fs::remove_file(&path).expect("removed");
    match want {
        Ok(want) => assert_eq!(read, Ok(want)),
        Err(want) => assert!(read.as_ref().is_err_and(|e| e.contains(want)), "{read:?}"),
    }
}
