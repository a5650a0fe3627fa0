//! docs/design.md's sentences as tables: the formula of the virtual losses with its clamps and borders, and the ordinary
//! path. Values are worked out by hand in the rows.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::virtual_loss::{theta, virtual_loss_chance};
use wrenseam_policy::*;

/// theta = rho/(1 - rho) (d - 1)/d, "rho our busy share clamped to 0.05-0.95".
#[rstest]
#[case::half_busy(0.5, 10.0, 0.9)] // 1 x 9/10
#[case::three_quarters_busy(0.75, 4.0, 2.25)] // 3 x 3/4
#[case::at_the_upper_clamp(0.95, 2.0, 9.5)] // 19 x 1/2
#[case::beyond_the_upper_clamp(1.0, 2.0, 9.5)]
#[case::at_the_lower_clamp(0.05, 2.0, 0.5 / 19.0)] // 1/19 x 1/2
#[case::beyond_the_lower_clamp(0.0, 2.0, 0.5 / 19.0)]
#[case::one_instance_a_worker(0.9, 1.0, 0.0)]
#[case::less_than_one_instance(0.9, 0.4, 0.0)]
#[case::no_instance(0.5, 0.0, 0.0)]
#[case::very_many(0.5, 1e12, 1.0)]
fn theta_by_hand(#[case] busy: f64, #[case] instances: f64, #[case] want: f64) {
    assert!(
        (theta(busy, instances) - want).abs() < 1e-9,
        "{}",
        theta(busy, instances)
    );
}

/// "probability (min z*/z*) 1(Z <= z*) q(Z), capped at 1, only while theta >= 1, D > 0 and z* >= 1",
/// q(z) = prod (lambda + i theta)/(D - i + 1), i = 1..z. A row: D, Z, lambda, theta, z*, min z*.
#[rstest]
// D = 4, lambda = 1, theta = 1.5, z* = (4 - 1)/1.5 = 2.
#[case::none_free((4, 0, 1.0, 1.5, 2.0, 1.0), Some(0.5))] // empty product 1, x 1/2
#[case::beside_z_star_below((4, 1, 1.0, 1.5, 2.0, 1.0), Some(0.3125))] // 2.5/4 x 1/2
#[case::at_z_star((4, 2, 1.0, 1.5, 2.0, 1.0), Some(5.0 / 12.0))] // 2.5/4 x 4/3 x 1/2
#[case::beside_z_star_above((4, 3, 1.0, 1.5, 2.0, 1.0), Some(0.0))]
#[case::a_z_star_between_numbers_below((5, 2, 1.0, 1.6, 2.5, 2.5), Some(0.546))] // 2.6/5 x 4.2/4
#[case::a_z_star_between_numbers_above((5, 3, 1.0, 1.6, 2.5, 2.5), Some(0.0))]
// The smallest z* of all functions: itself, or another's.
#[case::the_smallest_itself((4, 2, 1.0, 1.5, 2.0, 2.0), Some(5.0 / 6.0))]
#[case::another_is_smallest((4, 2, 1.0, 1.5, 2.0, 0.5), Some(5.0 / 24.0))]
// The borders of theta, D and z*.
#[case::theta_just_under_1((2, 1, 1.0, 0.999, 1.001, 1.0), None)]
#[case::theta_of_1((2, 1, 1.0, 1.0, 1.0, 1.0), Some(1.0))] // 2/2
#[case::nowhere_warm((0, 0, 0.0, 1.5, 2.0, 1.0), None)]
#[case::warm_at_one((1, 1, 0.0, 1.0, 1.0, 1.0), Some(1.0))] // 1/1
#[case::z_star_just_under_1((2, 0, 1.0, 1.001, 0.999, 0.9), None)]
#[case::z_star_of_1((3, 1, 1.0, 2.0, 1.0, 1.0), Some(1.0))] // 3/3
#[case::more_in_flight_than_warm((2, 0, 3.0, 1.0, -1.0, -1.0), None)]
// The cap: q(z*) is 1 at theta = 1 and less beyond, so that only a min z* above z* could pass it.
#[case::at_the_cap((4, 2, 2.0, 1.0, 2.0, 2.0), Some(1.0))] // 3/4 x 4/3
#[case::beyond_the_cap((4, 2, 2.0, 1.0, 2.0, 3.0), Some(1.0))]
fn the_chance_of_a_virtual_loss_by_hand(
    #[case] row: (usize, usize, f64, f64, f64, f64),
    #[case] want: Option<f64>,
) {
    let (warm, free, in_flight, theta, star, least) = row;
    let got = virtual_loss_chance(warm, free, in_flight, theta, star, least);
    match (got, want) {
        (Some(got), Some(want)) => assert!((got - want).abs() < 1e-9, "{got}"),
        (got, want) => assert_eq!(got, want),
    }
}

/// A step that brings a state about.
#[derive(Clone, Copy)]
enum Given {
    /// The controller takes the function for loaded at these workers.
    Warm(u64, &'static [&'static str]),
    /// A request of the function is in flight.
    Out(u64),
    /// So many seconds pass, and no order is answered.
    Seconds(u64),
    /// The requests in flight of the function are answered.
    Answered,
}

/// What a request of the function brings: where it may be sent (none: it waits), how many new replicas are ordered, and
/// whether workers are queried for what is loaded.
struct Want {
    sent_to: &'static [&'static str],
    new_copies: usize,
    asked: bool,
}

const F: u64 = 7;

#[rstest]
// "Requests go uniformly at random to believed-warm workers with a lane free of our requests."
#[case::a_free_warm_worker(&[Given::Warm(F, &["w0"])], Want { sent_to: &["w0"], new_copies: 0, asked: false })]
#[case::one_of_the_free(&[Given::Warm(F, &["w0", "w1"])], Want { sent_to: &["w0", "w1"], new_copies: 0, asked: false })]
#[case::not_the_one_that_is_taken(
    &[Given::Warm(F, &["w0", "w1"]), Given::Out(F)],
    Want { sent_to: &["w0", "w1"], new_copies: 0, asked: false }
)]
// "A loss is a request finding no believed-warm worker with a free lane." "A lost request joins the believed-warm worker
// with fewest of our requests in flight." "A budgeted hold order starts" the new copy.
#[case::a_loss_joins_and_adds_a_copy(
    &[Given::Warm(F, &["w0"]), Given::Out(F)],
    Want { sent_to: &["w0"], new_copies: 1, asked: false }
)]
// "A full cap on our loads adds none": one order of the function is out already.
#[case::a_second_loss_adds_none_while_one_is_out(
    &[Given::Warm(F, &["w0"]), Given::Out(F), Given::Out(F)],
    Want { sent_to: &["w0"], new_copies: 0, asked: false }
)]
// "Warm beliefs lapse after the told least keep-alive unless a budgeted hold renews them."
#[case::a_belief_lapses_unrenewed(
    &[Given::Warm(F, &["w0"]), Given::Answered, Given::Seconds(12)],
    Want { sent_to: &[], new_copies: 0, asked: true }
)]
#[case::a_belief_stands_within_the_keep_alive(
    &[Given::Warm(F, &["w0"]), Given::Seconds(5)],
    Want { sent_to: &["w0"], new_copies: 0, asked: false }
)]
// Nothing is known of a function never called: others' replicas may be loaded, so workers are queried (ours).
#[case::nothing_known(&[], Want { sent_to: &[], new_copies: 0, asked: true })]
#[case::only_another_function_is_warm(
    &[Given::Warm(8, &["w0"])],
    Want { sent_to: &[], new_copies: 0, asked: true }
)]
fn the_ordinary_path(#[case] given: &[Given], #[case] want: Want) {
    let mut harness = ControllerHarness::new(settings(), 3);
    let mut id = 10;
    for step in given {
        id += 1;
        match *step {
            Given::Warm(function, workers) => harness.mark_loaded(function, id, workers),
            Given::Out(function) => drop(harness.request(id, IDEMPOTENT, function)),
            Given::Seconds(seconds) => drop(harness.advance(seconds * SEC)),
            Given::Answered => drop(harness.end_attempt(id - 1, 0, Outcome::Ok, 50 * MS)),
        }
    }
    let out = harness.request(100, IDEMPOTENT, F);
    let sent = sent_workers(&out);
    assert_eq!(sent.len(), usize::from(!want.sent_to.is_empty()), "{out:?}");
    assert!(
        sent.iter()
            .all(|worker| want.sent_to.contains(&worker.as_str())),
        "{out:?}"
    );
    assert_eq!(load_orders(&out, 1).len(), want.new_copies, "{out:?}");
    assert_eq!(!load_orders(&out, 0).is_empty(), want.asked, "{out:?}");
}
