//! Peer traffic per front end against the fleet's size, on a loss-free network in simulated time: each front
//! end publishes its summary every probe period, as the program does. Prints a table; seeded, so the same
//! every run. `cargo run --release --example gossip_traffic -- 3 10 30`
use std::net::SocketAddr;
use std::time::Instant;
use wrenseam::fleet::{Summary, Swim, SwimSettings};

const MS: u64 = 1000;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![3, 10, 30, 100] } else { sizes };
    println!(
        "| front ends | datagrams/s each | bytes/s each | CPU µs/s each | alive counted | summaries heard |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for n in sizes {
        let addr = |i: usize| SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16));
        let settings = SwimSettings {
            cluster: 1,
            probe: 500 * MS,
            suspect_for: 1500 * MS,
            expected: n,
            fresh_for: 1500 * MS,
            capacity: 1024,
        };
        let mut swims: Vec<Swim> = (0..n).map(|i| Swim::new(addr(i), 1, settings, i as u64)).collect();
        (1..n).for_each(|i| swims[i].join(0, addr(0)));
        let (mut flight, mut datagrams, mut bytes) = (Vec::new(), 0u64, 0u64);
        let (warm, end) = (20_000 * MS, 30_000 * MS);
        let mut busy = std::time::Duration::ZERO;
        let mut now = 0;
        while now < end {
            now += 5 * MS;
            let started = Instant::now();
            for (i, swim) in swims.iter_mut().enumerate() {
                if now % (500 * MS) == (i as u64 * 5 * MS) % (500 * MS) {
                    swim.publish(now, Summary { pressure: 500, ..Summary::default() });
                }
                swim.tick(now);
                for (to, b) in swim.outbox() {
                    if now > warm {
                        datagrams += 1;
                        bytes += b.len() as u64;
                    }
                    flight.push(((to.port() - 10_000) as usize, b));
                }
            }
            for (to, b) in flight.drain(..) {
                swims[to].datagram(now, &b);
            }
            if now > warm {
                busy += started.elapsed();
            }
        }
        let seconds = (end - warm) as f64 / 1e6;
        let each = |x: f64| x / seconds / n as f64;
        let alive = swims.iter().map(Swim::alive).min().unwrap_or(0);
        let heard = swims.iter().map(|s| s.summaries(end).len()).min().unwrap_or(0);
        println!(
            "| {n} | {:.1} | {:.0} | {:.0} | {alive} of {} (least) | {heard} of {} (least) |",
            each(datagrams as f64),
            each(bytes as f64),
            each(busy.as_micros() as f64),
            n - 1,
            n - 1
        );
    }
}
