//! Table tests of the behaviour that docs/design.md describes: the formula for the probability of a virtual loss, with
//! its clamps and limits, and the routing of a request without faults. The comments in the rows show how the expected
//! values are calculated.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::virtual_loss::{theta, virtual_loss_chance};
use wrenseam_policy::*;

/// theta = rho/(1 - rho) (d - 1)/d, where rho is the share of busy workers, clamped to 0.05 to 0.95, and d the number
/// of replicas that fit into a worker's memory.
#[rstest]
#[case::half_busy(0.5, 10.0, 0.9)] // 1 x 9/10
#[case::three_quarters_busy(0.75, 4.0, 2.25)] // 3 x 3/4
#[case::at_the_upper_clamp(0.95, 2.0, 9.5)] // 19 x 1/2
#[case::beyond_the_upper_clamp(1.0, 2.0, 9.5)]
#[case::at_the_lower_clamp(0.05, 2.0, 0.5 / 19.0)] // 1/19 x 1/2
#[case::beyond_the_lower_clamp(0.0, 2.0, 0.5 / 19.0)]
#[case::one_replica_fits(0.9, 1.0, 0.0)]
#[case::less_than_one_replica_fits(0.9, 0.4, 0.0)]
#[case::no_replica_fits(0.5, 0.0, 0.0)]
#[case::very_many_replicas_fit(0.5, 1e12, 1.0)]
fn theta_follows_its_formula(#[case] busy: f64, #[case] instances: f64, #[case] expected: f64) {
    assert!(
        (theta(busy, instances) - expected).abs() < 1e-9,
        "theta is {}, expected {expected}",
        theta(busy, instances)
    );
}

/// The probability is (min z*/z*) 1(Z <= z*) q(Z), at most 1, where q(z) is the product of
/// (lambda + i theta)/(D - i + 1) for i = 1..z. There are virtual losses only while theta >= 1, D > 0 and z* >= 1.
///
/// A row holds D (workers with the function loaded), Z (workers with a free replica), lambda (requests in flight),
/// theta, z* and min z* (the least of all functions).
#[rstest]
// D = 4, lambda = 1, theta = 1.5, z* = (4 - 1)/1.5 = 2.
#[case::no_free_worker((4, 0, 1.0, 1.5, 2.0, 1.0), Some(0.5))] // empty product: 1 x 1/2
#[case::one_below_z_star((4, 1, 1.0, 1.5, 2.0, 1.0), Some(0.3125))] // 2.5/4 x 1/2
#[case::at_z_star((4, 2, 1.0, 1.5, 2.0, 1.0), Some(5.0 / 12.0))] // 2.5/4 x 4/3 x 1/2
#[case::one_above_z_star((4, 3, 1.0, 1.5, 2.0, 1.0), Some(0.0))]
#[case::just_below_a_fractional_z_star((5, 2, 1.0, 1.6, 2.5, 2.5), Some(0.546))] // 2.6/5 x 4.2/4
#[case::just_above_a_fractional_z_star((5, 3, 1.0, 1.6, 2.5, 2.5), Some(0.0))]
// The smallest z* is that of the function itself, or of another one.
#[case::own_z_star_is_the_least((4, 2, 1.0, 1.5, 2.0, 2.0), Some(5.0 / 6.0))]
#[case::another_z_star_is_the_least((4, 2, 1.0, 1.5, 2.0, 0.5), Some(5.0 / 24.0))]
// The limits of theta, D and z* for which there are virtual losses.
#[case::theta_just_under_1((2, 1, 1.0, 0.999, 1.001, 1.0), None)]
#[case::theta_of_1((2, 1, 1.0, 1.0, 1.0, 1.0), Some(1.0))] // 2/2
#[case::loaded_nowhere((0, 0, 0.0, 1.5, 2.0, 1.0), None)]
#[case::loaded_at_one_worker((1, 1, 0.0, 1.0, 1.0, 1.0), Some(1.0))] // 1/1
#[case::z_star_just_under_1((2, 0, 1.0, 1.001, 0.999, 0.9), None)]
#[case::z_star_of_1((3, 1, 1.0, 2.0, 1.0, 1.0), Some(1.0))] // 3/3
#[case::more_in_flight_than_loaded((2, 0, 3.0, 1.0, -1.0, -1.0), None)]
// The maximum of 1: q(z*) is 1 at theta = 1 and less for a larger theta, so only a min z* above z* could exceed it.
#[case::at_the_maximum((4, 2, 2.0, 1.0, 2.0, 2.0), Some(1.0))] // 3/4 x 4/3
#[case::beyond_the_maximum((4, 2, 2.0, 1.0, 2.0, 3.0), Some(1.0))]
fn the_probability_of_a_virtual_loss_follows_its_formula(
    #[case] row: (usize, usize, f64, f64, f64, f64),
    #[case] expected: Option<f64>,
) {
    let (loaded, free, in_flight, theta, z_star, least_z_star) = row;
    let chance = virtual_loss_chance(loaded, free, in_flight, theta, z_star, least_z_star);
    match (chance, expected) {
        (Some(chance), Some(expected)) => assert!(
            (chance - expected).abs() < 1e-9,
            "probability {chance}, expected {expected}"
        ),
        (chance, expected) => assert_eq!(chance, expected),
    }
}

/// A step that prepares the state of the controller.
#[derive(Clone, Copy)]
enum Setup {
    /// The controller knows that the function is loaded at these workers.
    Loaded(u64, &'static [&'static str]),
    /// One more request for the function is in flight.
    InFlight(u64),
    /// This many seconds pass, in which no order is answered.
    Seconds(u64),
    /// The request of the previous step is served.
    Served,
}

/// The actions for a request.
struct Expected {
    /// The workers of which one gets the request; empty if it waits.
    sent_to: &'static [&'static str],
    /// Number of replicas that are ordered.
    load_orders: usize,
    /// Whether workers are polled.
    polls: bool,
}

/// The function that is requested.
const F: u64 = 7;

#[rstest]
// A request goes to a random worker that has the function loaded and a slot free of this front end's requests.
#[case::one_free_worker(&[Setup::Loaded(F, &["w0"])], Expected { sent_to: &["w0"], load_orders: 0, polls: false })]
#[case::several_free_workers(
    &[Setup::Loaded(F, &["w0", "w1"])],
    Expected { sent_to: &["w0", "w1"], load_orders: 0, polls: false }
)]
#[case::one_of_two_workers_is_busy(
    &[Setup::Loaded(F, &["w0", "w1"]), Setup::InFlight(F)],
    Expected { sent_to: &["w0", "w1"], load_orders: 0, polls: false }
)]
// A request that finds no worker with a free slot is lost: it goes to the worker with the function loaded that has the
// fewest of this front end's requests in flight, and a new replica is ordered within the load budget.
#[case::a_loss_adds_a_replica(
    &[Setup::Loaded(F, &["w0"]), Setup::InFlight(F)],
    Expected { sent_to: &["w0"], load_orders: 1, polls: false }
)]
// No replica is added while one of the function is being loaded.
#[case::a_second_loss_adds_none_during_a_load(
    &[Setup::Loaded(F, &["w0"]), Setup::InFlight(F), Setup::InFlight(F)],
    Expected { sent_to: &["w0"], load_orders: 0, polls: false }
)]
// A replica is considered unloaded after the keep-alive of the settings, unless a load order renews it within the load
// budget.
#[case::replica_state_expires_without_renewal(
    &[Setup::Loaded(F, &["w0"]), Setup::Served, Setup::Seconds(12)],
    Expected { sent_to: &[], load_orders: 0, polls: true }
)]
#[case::replica_state_is_kept_within_the_keep_alive(
    &[Setup::Loaded(F, &["w0"]), Setup::Seconds(5)],
    Expected { sent_to: &["w0"], load_orders: 0, polls: false }
)]
// In addition to the documented design: workers are polled about a function that was never called, because other front
// ends may have had it loaded.
#[case::function_never_called(&[], Expected { sent_to: &[], load_orders: 0, polls: true })]
#[case::only_another_function_is_loaded(
    &[Setup::Loaded(8, &["w0"])],
    Expected { sent_to: &[], load_orders: 0, polls: true }
)]
fn a_request_is_routed_by_what_is_loaded(#[case] setup: &[Setup], #[case] expected: Expected) {
    let mut harness = ControllerHarness::new(settings(), 3);
    let mut id = 10;
    for step in setup {
        id += 1;
        match *step {
            Setup::Loaded(function, workers) => harness.mark_loaded(function, id, workers),
            Setup::InFlight(function) => drop(harness.request(id, IDEMPOTENT, function)),
            Setup::Seconds(seconds) => drop(harness.advance(seconds * SEC)),
            Setup::Served => drop(harness.end_attempt(id - 1, 0, Outcome::Ok, 50 * MS)),
        }
    }
    let out = harness.request(100, IDEMPOTENT, F);
    let sent = sent_workers(&out);
    assert_eq!(
        sent.len(),
        usize::from(!expected.sent_to.is_empty()),
        "{out:?}"
    );
    assert!(
        sent.iter()
            .all(|worker| expected.sent_to.contains(&worker.as_str())),
        "{out:?}"
    );
    assert_eq!(load_orders(&out, 1).len(), expected.load_orders, "{out:?}");
    assert_eq!(!load_orders(&out, 0).is_empty(), expected.polls, "{out:?}");
}
