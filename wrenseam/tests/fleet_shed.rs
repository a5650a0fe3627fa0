//! Load shedding by class across the fleet.
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use rstest::rstest;
use wrenseam::fleet::Shedder;
use wrenseam_policy::Micros;

const SECOND: Micros = 1_000_000;

/// The part of each class that is shed after so many arrivals, classes in turn.
fn shed_fractions(pressure: u32, mix: &[usize], arrivals: usize, seed: u64) -> Vec<f64> {
    let mut shed = Shedder::new(&[1, 0], 3, 5 * SECOND);
    let mut rng = SmallRng::seed_from_u64(seed);
    for step in 0..20 {
        shed.set_pressure(step * SECOND / 10, pressure);
    }
    let mut arrived = [0.0; 3];
    let mut refused = [0.0; 3];
    for arrival in 0..arrivals {
        let class = mix[arrival % mix.len()];
        arrived[class] += 1.0;
        if shed.should_shed(2 * SECOND + arrival as Micros, class, rng.random()) {
            refused[class] += 1.0;
        }
    }
    (0..3)
        .map(|class| {
            if arrived[class] > 0.0 {
                refused[class] / arrived[class]
            } else {
                0.0
            }
        })
        .collect()
}

#[rstest]
#[case::calm(800, [0.0, 0.0, 0.0])]
#[case::at_capacity(1000, [0.0, 0.0, 0.0])]
// Pressure 1.5 asks a third refused: class 1 (a third of arrivals) goes first and whole.
#[case::a_third(1500, [0.0, 1.0, 0.0])]
// Pressure 3 asks two thirds: class 1 whole, class 0 whole; class 2 is not in the order.
#[case::two_thirds(3000, [1.0, 1.0, 0.0])]
fn the_order_is_kept(#[case] pressure: u32, #[case] want: [f64; 3]) {
    let fractions = shed_fractions(pressure, &[0, 1, 2], 3000, 1);
    for class in 0..3 {
        assert!(
            (fractions[class] - want[class]).abs() < 0.05,
            "class {class}: {fractions:?}"
        );
    }
}

#[test]
fn the_edge_class_is_refused_in_part() {
    // Pressure 1.25 asks a fifth: class 1, half of arrivals, is refused two fifths of the time.
    let fractions = shed_fractions(1250, &[0, 1], 4000, 2);
    assert!(
        fractions[0] < 0.01 && (fractions[1] - 0.4).abs() < 0.05,
        "{fractions:?}"
    );
}

#[test]
fn front_ends_with_the_same_pressure_shed_alike() {
    let fractions: Vec<f64> = (0..3)
        .map(|seed| shed_fractions(1250, &[0, 1], 4000, seed)[1])
        .collect();
    let spread = fractions.iter().cloned().fold(0.0, f64::max)
        - fractions.iter().cloned().fold(1.0, f64::min);
    assert!(spread < 0.05, "{fractions:?}");
}
