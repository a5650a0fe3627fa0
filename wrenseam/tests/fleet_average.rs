//! The averaging alone: its neighbours, its datagrams, and that no fault of the net makes or takes
//! pressure. On simulated time, without sockets.
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

/// However large the fleet, and whoever is in it: each edge is known to both ends and has one requester.
#[rstest]
fn neighbours_are_few_and_agree(#[values(2, 3, 4, 9, 50, 300)] number: usize) {
    let all = || (0..number).map(|index| addr(index * 7));
    let of: Vec<_> = (0..number)
        .map(|index| neighbours(addr(index * 7), all()))
        .collect();
    for (index, local) in of.iter().enumerate() {
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
        for (other, remote) in of.iter().enumerate().filter(|(other, _)| *other != index) {
            let (here, there) = (local.get(&addr(other * 7)), remote.get(&addr(index * 7)));
            assert!(
                here.is_none() && there.is_none()
                    || here.copied() == there.map(|&role| opposite(role)),
                "{index} and {other}"
            );
        }
    }
}

#[rstest]
#[case::v4("10.1.2.3:7946", 39)]
#[case::v6("[fd00::7]:9", 51)]
fn an_exchange_round_trips_and_any_flipped_bit_is_caught(#[case] addr: &str, #[case] long: usize) {
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
        (Some(exchange), long)
    );
    for bit in 0..8 * good.len() {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(Exchange::decode(&bad), None, "bit {bit}");
    }
    (0..good.len()).for_each(|cut| assert_eq!(Exchange::decode(&good[..cut]), None));
}

/// A few front ends on a wire that this test holds.
struct Wire {
    averages: Vec<Average>,
    now: u64,
}

impl Wire {
    /// Pressures 0, 1000, 2000 and so on.
    fn new(number: usize) -> Wire {
        let averages = (0..number)
            .map(|index| {
                let mut average = Average::new(peer(index), 7, 500 * MS, index as u64);
                average.set_members(0, (0..number).map(addr));
                average.set_pressure(1000 * index as u32);
                average
            })
            .collect();
        Wire { averages, now: 0 }
    }

    /// Runs the turns of so many milliseconds; each datagram goes through `way`, which says how often it comes.
    fn run(&mut self, ms: u64, way: &mut dyn FnMut(&Exchange) -> usize) {
        for _ in 0..ms {
            self.now += MS;
            self.averages
                .iter_mut()
                .for_each(|average| average.tick(self.now));
            loop {
                let out: Vec<_> = self.averages.iter_mut().flat_map(Average::outbox).collect();
                if out.is_empty() {
                    break;
                }
                for Outgoing { to, bytes, .. } in out {
                    let to = (0..self.averages.len())
                        .find(|&index| addr(index) == to)
                        .expect("a member");
                    for _ in 0..way(&Exchange::decode(&bytes).expect("ours")) {
                        self.averages[to].handle_datagram(self.now, &bytes);
                    }
                }
            }
        }
    }

    fn told(&self) -> Vec<u32> {
        self.averages.iter().map(Average::pressure).collect()
    }
}

/// Whatever the net did for ten seconds: once it is whole again all tell the true mean, to the unit.
#[rstest]
#[case::whole(|_, _| 1)]
#[case::all_replies_lost(|exchange: Exchange, _| usize::from(exchange.kind == ExchangeKind::Request))]
#[case::all_requests_lost(|exchange: Exchange, _| usize::from(exchange.kind == ExchangeKind::Reply))]
#[case::all_twice(|_, _| 2)]
#[case::a_third_lost_a_third_twice(|_, chance| chance as usize % 3)]
fn no_fault_of_the_net_makes_or_takes_pressure(
    #[values(2, 3, 9)] number: usize,
    #[case] way: fn(Exchange, u32) -> usize,
) {
    let (mut wire, mut rng) = (Wire::new(number), SmallRng::seed_from_u64(1));
    wire.run(10_000, &mut |exchange| way(*exchange, rng.random()));
    wire.run(5_000, &mut |_| 1);
    let mean = 500 * (number as u32 - 1);
    assert_eq!(wire.told(), vec![mean; number]);
}

/// Its edges end with it: what it had taken or given is made good, to the unit, within the silence and 4 s.
#[rstest]
#[case::killed(false)]
#[case::back_in_another_incarnation(true)]
fn a_peer_that_goes_takes_its_part_with_it(#[case] back: bool) {
    let mut wire = Wire::new(6);
    wire.run(5_000, &mut |_| 1);
    assert_eq!(wire.told(), [2500; 6]);
    let silent = wire.averages[5].silence_timeout();
    wire.run(silent / MS + 4_000, &mut |exchange| {
        usize::from(exchange.from != peer(5))
    });
    // Nothing of the sixth is heard: the others' mean is 0 to 4000, though it is still a member.
    assert_eq!(wire.told()[..5], [2000; 5]);
    if back {
        let incarnation = PeerId {
            incarnation: 6,
            ..peer(5)
        };
        wire.averages[5] = Average::new(incarnation, 7, 500 * MS, 50);
        wire.averages[5].set_members(wire.now, (0..6).map(addr));
        wire.run(5_000, &mut |_| 1);
        // Its new incarnation says nothing of load: 0 to 4000 and one 0.
        assert_eq!(wire.told(), [1667; 6]);
    }
}

/// A request and its reply between two, then the same and others anew: counted by cause, and nothing moves.
#[rstest]
#[case::cut_short(|exchange: Exchange| exchange.encode(&HEADER)[..20].to_vec(), DroppedExchanges { garbled: 1, stale: 0, unexpected: 0 })]
#[case::an_unknown_kind(|exchange: Exchange| { let mut bytes = exchange.encode(&HEADER); bytes[7] = 9; bytes }, DroppedExchanges { garbled: 1, stale: 0, unexpected: 0 })]
#[case::a_repeat(|exchange: Exchange| exchange.encode(&HEADER), DroppedExchanges { garbled: 0, stale: 1, unexpected: 0 })]
#[case::an_older(|exchange: Exchange| Exchange { seq: exchange.seq.wrapping_sub(1), ..exchange }.encode(&HEADER), DroppedExchanges { garbled: 0, stale: 1, unexpected: 0 })]
#[case::an_earlier_incarnation(
    |exchange: Exchange| Exchange { seq: exchange.seq.wrapping_add(1), from: PeerId { incarnation: 4, ..exchange.from }, ..exchange }.encode(&HEADER),
    DroppedExchanges { garbled: 0, stale: 1, unexpected: 0 }
)]
#[case::no_neighbour(|exchange: Exchange| Exchange { from: peer(9), ..exchange }.encode(&HEADER), DroppedExchanges { garbled: 0, stale: 0, unexpected: 1 })]
#[case::a_reply_where_a_request_belongs(
    |exchange: Exchange| Exchange { kind: ExchangeKind::Reply, ..exchange }.encode(&HEADER),
    DroppedExchanges { garbled: 0, stale: 0, unexpected: 1 }
)]
fn what_cannot_be_taken_is_counted_and_moves_nothing(
    #[case] bad: fn(Exchange) -> Vec<u8>,
    #[case] want: DroppedExchanges,
) {
    let mut wire = Wire::new(2);
    let mut last = None;
    wire.run(5_000, &mut |exchange| {
        last = Some(*exchange)
            .filter(|exchange| exchange.kind == ExchangeKind::Request)
            .or(last);
        1
    });
    let last = last.expect("requests went");
    let to = usize::from(last.from == peer(0));
    let before = wire.averages[to].dropped;
    wire.averages[to].handle_datagram(
        wire.now,
        &bad(Exchange {
            flow: 4_000_000,
            estimate: 0,
            ..last
        }),
    );
    let after = wire.averages[to].dropped;
    let more = DroppedExchanges {
        garbled: after.garbled - before.garbled,
        stale: after.stale - before.stale,
        unexpected: after.unexpected - before.unexpected,
    };
    assert_eq!(
        (more, wire.told(), wire.averages[to].outbox().len()),
        (want, vec![500, 500], 0)
    );
}

/// What a neighbour reports of its flow and estimate counts up to the clamp, whatever they are.
#[rstest]
#[case(i32::MAX, i32::MAX, 4000 + MAX_FLOW)]
#[case(i32::MIN, i32::MIN, 0)]
fn reported_values_are_clamped(#[case] flow: i32, #[case] estimate: i32, #[case] most: u32) {
    let mut wire = Wire::new(2);
    wire.averages
        .iter_mut()
        .for_each(|average| average.set_pressure(4000));
    let mut last = None;
    wire.run(5_000, &mut |exchange| {
        last = Some(*exchange)
            .filter(|exchange| exchange.kind == ExchangeKind::Request)
            .or(last);
        1
    });
    let last = last.expect("requests went");
    let to = usize::from(last.from == peer(0));
    let lie = Exchange {
        seq: last.seq.wrapping_add(1),
        flow,
        estimate,
        ..last
    };
    wire.averages[to].handle_datagram(wire.now, &lie.encode(&HEADER));
    let reply = Exchange::decode(&wire.averages[to].outbox()[0].bytes).expect("a reply");
    assert!(reply.flow.unsigned_abs() <= MAX_FLOW * 1000, "{reply:?}");
    assert!(
        (0..=most as i32 * 1000).contains(&reply.estimate),
        "{reply:?}"
    );
}

/// A summary from a front end of an earlier version: what it reports counts up to the clamp, for its part of the mean.
#[rstest]
#[case(4, u32::MAX, 1600)]
#[case(4, 500, 100)]
fn a_pressure_in_a_summary_counts_up_to_the_clamp(
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
#[case::as_before("", Ok(true))]
#[case::off(r#","summaries":false"#, Ok(false))]
#[case::no_flag(r#","summaries":"no""#, Err("'summaries' is neither true nor false"))]
fn the_key_for_summaries_is_checked(#[case] more: &str, #[case] want: Result<bool, &str>) {
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
