//! Runs one simulated front end on one scenario, for use with a profiler:
//!
//!     valgrind --tool=callgrind --toggle-collect='*Controller*handle*' target/release/examples/hollow_front 10000 16000 152 20
//!
//! The arguments are the numbers of workers, functions, requests per second and seconds. A fifth argument, `1/rank`,
//! makes the functions' popularity proportional to 1/rank.
use scalelab::simulated_front_end::{Scenario, SimulatedFrontEnd, SEC};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |position: usize, default: f64, max: f64| {
        let parsed = args
            .get(position)
            .map_or(Ok(default), |arg| arg.parse::<f64>());
        match parsed {
            Ok(value) if value >= 1.0 && value <= max => value,
            _ => {
                eprintln!(
                    "hollow_front: argument {} must be a number from 1 to {max}",
                    position + 1
                );
                std::process::exit(2);
            }
        }
    };
    let mut scenario = Scenario {
        workers: number(0, 10_000.0, 20_000.0) as usize,
        functions: number(1, 16_000.0, 64_000.0) as usize,
        requests_per_s: number(2, 152.0, 2_000.0),
        ..Scenario::default()
    };
    if args.get(4).is_some_and(|arg| arg == "1/rank") {
        (scenario.popularity_exponent, scenario.popularity_offset) = (1.0, 0.0);
    }
    let mut front_end = SimulatedFrontEnd::new(&scenario);
    front_end.run(number(3, 20.0, 36_000.0) as u64 * SEC);
    println!("{:#?}\n{:#?}", front_end.counts, front_end.handling_times);
}
