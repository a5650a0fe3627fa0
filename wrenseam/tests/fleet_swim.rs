//! SWIM membership on a simulated network: join, detection of a failed peer, invalid datagrams.
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::net::SocketAddr;
use wrenseam::fleet::identity::MAX_DATAGRAM;
use wrenseam::fleet::{PeerEvent, PeerId, Summary, Swim, SwimSettings};
use wrenseam_policy::Micros;

const MS: Micros = 1000;

fn settings() -> SwimSettings {
    SwimSettings {
        cluster: 7,
        probe_period: 100 * MS,
        suspicion_timeout: 300 * MS,
        expected_members: 5,
        extra_transmissions: 0,
        summary_ttl: 1000 * MS,
        max_summaries: 64,
    }
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16))
}

/// A fleet on a simulated network that delays each datagram by 1 to 20 ms, and so reorders them.
struct Net {
    swims: Vec<Swim>,
    /// Datagrams in flight: arrival time, receiver, bytes.
    in_flight: Vec<(Micros, usize, Vec<u8>)>,
    rng: SmallRng,
    /// The share of datagrams lost.
    loss: f64,
    /// The share of datagrams sent twice.
    duplicates: f64,
    /// The front ends that crash at `crash_at`.
    crashed: Vec<usize>,
    crash_at: Micros,
}

impl Net {
    fn new(count: usize, loss: f64, duplicates: f64, seed: u64) -> Net {
        let mut swims: Vec<Swim> = (0..count)
            .map(|i| Swim::new(addr(i), 1, settings(), seed + i as u64))
            .collect();
        (1..count).for_each(|i| swims[i].join(0, addr(0)));
        let rng = SmallRng::seed_from_u64(seed);
        Net {
            swims,
            in_flight: Vec::new(),
            rng,
            loss,
            duplicates,
            crashed: Vec::new(),
            crash_at: Micros::MAX,
        }
    }

    fn run(&mut self, until: Micros) -> Vec<(Micros, usize, PeerEvent)> {
        let mut events_seen = Vec::new();
        let mut now = 0;
        while now < until {
            now += MS;
            for i in 0..self.swims.len() {
                let has_crashed = self.crashed.contains(&i) && now >= self.crash_at;
                if has_crashed {
                    self.swims[i].take_outbox();
                    continue;
                }
                if now % (200 * MS) == 0 {
                    let summary = Summary {
                        pressure: 1000 + i as u32,
                        ..Summary::default()
                    };
                    self.swims[i].publish(now, summary);
                }
                self.swims[i].tick(now);
                for out in self.swims[i].take_outbox() {
                    let (to, bytes) = ((out.to.port() - 7000) as usize, out.bytes);
                    let copies = if self.rng.random::<f64>() < self.duplicates {
                        2
                    } else {
                        1
                    };
                    for _ in 0..copies {
                        if self.rng.random::<f64>() >= self.loss {
                            let at = now + self.rng.random_range(1..20) * MS;
                            self.in_flight.push((at, to, bytes.clone()));
                        }
                    }
                }
                let events = self.swims[i].take_events().into_iter();
                events_seen.extend(events.map(|timed| (timed.at, i, timed.event)));
            }
            let (due, later): (Vec<_>, Vec<_>) =
                self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
            self.in_flight = later;
            for (_, to, bytes) in due {
                if !(self.crashed.contains(&to) && now >= self.crash_at) {
                    self.swims[to].handle_datagram(now, &bytes);
                }
            }
        }
        events_seen
    }
}

#[rstest]
#[case::clean(0.0, 0.0)]
#[case::lossy_with_duplicates(0.1, 0.2)]
fn all_members_find_each_other_and_receive_summaries(#[case] loss: f64, #[case] duplicates: f64) {
    let mut net = Net::new(5, loss, duplicates, 11);
    net.run(3000 * MS);
    for (index, swim) in net.swims.iter().enumerate() {
        assert_eq!(swim.alive(), 4, "front end {index}");
        assert_eq!(swim.summaries(3000 * MS).len(), 4, "front end {index}");
        // The mean of the pressures 1000 to 1004.
        assert_eq!(
            swim.pressure(3000 * MS, 1000 + index as u32),
            1002,
            "front end {index}"
        );
    }
}

#[test]
fn crashed_peer_is_declared_down_within_one_second() {
    let mut net = Net::new(5, 0.0, 0.0, 3);
    net.crashed = vec![4];
    net.crash_at = 2000 * MS;
    let events_seen = net.run(4000 * MS);
    for i in 0..4 {
        let down = events_seen.iter().find(|(_, at, event)| {
            *at == i
                && *event
                    == PeerEvent::Down(PeerId {
                        addr: addr(4),
                        incarnation: 1,
                    })
        });
        let (when, _, _) = down
            .unwrap_or_else(|| panic!("front end {i} did not declare it down: {events_seen:?}"));
        // Probe period, probe timeout, suspicion timeout and dissemination together take well under a second here.
        assert!(
            *when - 2000 * MS < 1000 * MS,
            "front end {i} declared it down only at {when} us"
        );
        assert_eq!(net.swims[i].alive(), 3);
    }
}

#[rstest]
#[case::empty(vec![])]
#[case::other_cluster({ let mut b = vec![b'w', b'F', 1, 0, 0, 0, 8]; b.extend([1; 40]); b })]
#[case::garbled({ let mut b = vec![b'w', b'F', 1, 0, 0, 0, 7]; b.extend([0xff; 40]); b })]
#[case::oversized(vec![0; MAX_DATAGRAM + 1])]
fn invalid_datagrams_are_counted_and_dropped(#[case] bytes: Vec<u8>) {
    let mut swim = Swim::new(addr(0), 1, settings(), 1);
    swim.handle_datagram(0, &bytes);
    let dropped = swim.dropped;
    assert_eq!(
        dropped.oversized + dropped.foreign + dropped.garbled,
        1,
        "{dropped:?}"
    );
    assert_eq!(swim.alive(), 0);
}
