//! Shedding by class in common.
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use rstest::rstest;
use wrenseam::fleet::Shedder;
use wrenseam_policy::Micros;

const S: Micros = 1_000_000;

/// Refused share of each class after `n` arrivals, classes in turn.
fn play(pressure: u32, mix: &[usize], n: usize, seed: u64) -> Vec<f64> {
    let mut shed = Shedder::new(&[1, 0], 3, 5 * S);
    let mut rng = SmallRng::seed_from_u64(seed);
    for step in 0..20 {
        shed.pressure(step * S / 10, pressure);
    }
    let (mut asked, mut refused) = (vec![0.0; 3], vec![0.0; 3]);
    for i in 0..n {
        let class = mix[i % mix.len()];
        asked[class] += 1.0;
        if shed.refuses(2 * S + i as Micros, class, rng.random()) {
            refused[class] += 1.0;
        }
    }
    (0..3)
        .map(|c| {
            if asked[c] > 0.0 {
                refused[c] / asked[c]
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
    let got = play(pressure, &[0, 1, 2], 3000, 1);
    for c in 0..3 {
        assert!((got[c] - want[c]).abs() < 0.05, "class {c}: {got:?}");
    }
}

#[test]
fn the_edge_class_is_refused_in_part() {
    // Pressure 1.25 asks a fifth: class 1, half of arrivals, is refused two fifths of the time.
    let got = play(1250, &[0, 1], 4000, 2);
    assert!(got[0] < 0.01 && (got[1] - 0.4).abs() < 0.05, "{got:?}");
}

#[test]
fn front_ends_told_the_same_pressure_refuse_alike() {
    let shares: Vec<f64> = (0..3)
        .map(|seed| play(1250, &[0, 1], 4000, seed)[1])
        .collect();
    let spread =
        shares.iter().cloned().fold(0.0, f64::max) - shares.iter().cloned().fold(1.0, f64::min);
    assert!(spread < 0.05, "{shares:?}");
}
