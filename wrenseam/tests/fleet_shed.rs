//! Load shedding by class, by the fleet's pressure.
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use rstest::rstest;
use wrenseam::fleet::Shedder;
use wrenseam_policy::Micros;

const SECOND: Micros = 1_000_000;

/// The fraction of requests shed per class, over `arrivals` requests whose classes repeat the sequence `mix`. The shed
/// order is class 1, then class 0; class 2 is never shed.
fn shed_fractions(pressure: u32, mix: &[usize], arrivals: usize, seed: u64) -> Vec<f64> {
    let mut shedder = Shedder::new(&[1, 0], 3, 5 * SECOND);
    let mut rng = SmallRng::seed_from_u64(seed);
    for step in 0..20 {
        shedder.set_pressure(step * SECOND / 10, pressure);
    }
    let mut arrived = [0.0; 3];
    let mut shed = [0.0; 3];
    for arrival in 0..arrivals {
        let class = mix[arrival % mix.len()];
        arrived[class] += 1.0;
        if shedder.should_shed(2 * SECOND + arrival as Micros, class, rng.random()) {
            shed[class] += 1.0;
        }
    }
    (0..3)
        .map(|class| {
            if arrived[class] > 0.0 {
                shed[class] / arrived[class]
            } else {
                0.0
            }
        })
        .collect()
}

#[rstest]
#[case::below_capacity(800, [0.0, 0.0, 0.0])]
#[case::at_capacity(1000, [0.0, 0.0, 0.0])]
// At a pressure of 1.5 a third is shed: all of class 1, which is a third of the arrivals.
#[case::a_third(1500, [0.0, 1.0, 0.0])]
// At a pressure of 3 two thirds are shed: all of classes 1 and 0. Class 2 is not in the shed order.
#[case::two_thirds(3000, [1.0, 1.0, 0.0])]
fn classes_are_shed_in_order(#[case] pressure: u32, #[case] want: [f64; 3]) {
    let fractions = shed_fractions(pressure, &[0, 1, 2], 3000, 1);
    for class in 0..3 {
        assert!(
            (fractions[class] - want[class]).abs() < 0.05,
            "class {class}: {fractions:?}"
        );
    }
}

#[test]
fn the_last_class_that_is_shed_is_shed_in_part() {
    // At a pressure of 1.25 a fifth is shed: two fifths of class 1, which is half of the arrivals.
    let fractions = shed_fractions(1250, &[0, 1], 4000, 2);
    assert!(
        fractions[0] < 0.01 && (fractions[1] - 0.4).abs() < 0.05,
        "{fractions:?}"
    );
}

#[test]
fn front_ends_with_the_same_pressure_shed_the_same_fraction() {
    let fractions: Vec<f64> = (0..3)
        .map(|seed| shed_fractions(1250, &[0, 1], 4000, seed)[1])
        .collect();
    let spread = fractions.iter().cloned().fold(0.0, f64::max)
        - fractions.iter().cloned().fold(1.0, f64::min);
    assert!(spread < 0.05, "{fractions:?}");
}
