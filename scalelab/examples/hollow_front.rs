//! One simulated front end at one scenario, for a profiler:
//!
//!     valgrind --tool=callgrind --toggle-collect='*Controller*handle*' target/release/examples/hollow_front 10000 16000 152 20
//!
//! Workers, functions, calls a second and seconds; a fifth word, `1/rank`, spreads the calls so.
use scalelab::simulated_front_end::{Scenario, SimulatedFrontEnd, SEC};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let figure = |n: usize, usual: f64, bound: f64| {
        let told = words.get(n).map_or(Ok(usual), |w| w.parse::<f64>());
        match told {
            Ok(v) if v >= 1.0 && v <= bound => v,
            _ => {
                eprintln!(
                    "hollow_front: word {} is to be a number from 1 to {bound}",
                    n + 1
                );
                std::process::exit(2);
            }
        }
    };
    let mut scenario = Scenario {
        workers: figure(0, 10_000.0, 20_000.0) as usize,
        functions: figure(1, 16_000.0, 64_000.0) as usize,
        requests_per_s: figure(2, 152.0, 2_000.0),
        ..Scenario::default()
    };
    if words.get(4).is_some_and(|w| w == "1/rank") {
        (scenario.popularity_exponent, scenario.popularity_offset) = (1.0, 0.0);
    }
    let mut front = SimulatedFrontEnd::new(&scenario);
    front.run(figure(3, 20.0, 36_000.0) as u64 * SEC);
    println!("{:#?}\n{:#?}", front.counts, front.handling_times);
}
