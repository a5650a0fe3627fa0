//! Rule 2, which says what may be retried, where the endpoint list changes between two attempts and where a retry may
//! wait before it is written.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

/// How long workers remember a key in the common settings.
const KEY_MEMORY: Micros = 3 * SEC;

/// Zone and cell of a worker in the endpoint list; `None` if not known.
type Placement = (Option<usize>, Option<u64>);

fn endpoint_at(n: usize, (zone, cell): Placement) -> Endpoint {
    Endpoint {
        zone,
        cell,
        ..endpoint(n)
    }
}

/// Two workers that have function 7 loaded, where this scope applies to the keyed class.
fn keyed_harness(key_scope: KeyScope, placements: [Placement; 2]) -> ControllerHarness {
    let mut settings = settings();
    settings.classes[KEYED].key_scope = key_scope;
    let mut harness = ControllerHarness::new(settings, 0);
    let endpoints = (0..2).map(|n| endpoint_at(n, placements[n])).collect();
    harness.feed(Event::EndpointUpdate {
        complete: true,
        endpoints,
    });
    harness.mark_loaded(7, 1, &["w0", "w1"]);
    harness
}

fn keyed_request(harness: &mut ControllerHarness, time_left: Micros) -> Vec<Action> {
    harness.feed(Event::Request(NewRequest {
        id: 2,
        class: KEYED,
        tenant: None,
        function: 7,
        time_left,
        memory_mb: 500.0,
        concurrency: 1,
        load_time: 0,
        retry: false,
    }))
}

/// Workers whose zone or cell is not known share no memory of keys: two unknown ones are not the same.
#[rstest]
#[case::one_zone(KeyScope::Zone, [(Some(0), None), (Some(0), None)], true)]
#[case::two_zones(KeyScope::Zone, [(Some(0), Some(1)), (Some(1), Some(1))], false)]
#[case::unknown_zones(KeyScope::Zone, [(None, Some(1)), (None, Some(1))], false)]
#[case::one_cell(KeyScope::Cell, [(None, Some(0)), (None, Some(0))], true)]
#[case::unknown_cells(KeyScope::Cell, [(Some(0), None), (Some(0), None)], false)]
#[case::all_workers(KeyScope::All, [(None, None), (Some(0), Some(1))], true)]
fn a_keyed_request_is_retried_only_where_its_key_is_known(
    #[case] key_scope: KeyScope,
    #[case] placements: [Placement; 2],
    #[case] retried: bool,
) {
    let mut harness = keyed_harness(key_scope, placements);
    assert_eq!(sent_workers(&keyed_request(&mut harness, 2 * SEC)).len(), 1);
    let actions = harness.end_attempt(2, 0, Outcome::Reset, 50 * MS);
    assert_eq!(
        sent_workers(&actions).len(),
        usize::from(retried),
        "wrong number of retries: {actions:?}"
    );
    // A request that was certainly not executed may be retried at any worker.
    let mut harness = keyed_harness(key_scope, placements);
    keyed_request(&mut harness, 2 * SEC);
    assert_eq!(
        sent_workers(&harness.end_attempt(2, 0, Outcome::ConnectFailed, 50 * MS)).len(),
        1
    );
}

/// A key is known at the placement that its worker had when the attempt was sent, even if the worker is listed in the
/// zone or cell of the other one while the attempt is in flight.
#[rstest]
#[case::into_the_other_zone(KeyScope::Zone, (Some(1), Some(9)))]
#[case::into_the_other_cell(KeyScope::Cell, (Some(9), Some(1)))]
fn a_key_is_known_only_where_its_worker_was_listed_at_the_attempt(
    #[case] key_scope: KeyScope,
    #[case] new_placement: Placement,
) {
    let mut harness = keyed_harness(key_scope, [(Some(0), Some(0)), (Some(1), Some(1))]);
    let first = sent_workers(&keyed_request(&mut harness, 2 * SEC))[0].clone();
    let moved = usize::from(first == "w1");
    let placement = if moved == 0 {
        new_placement
    } else {
        let (zone, cell) = new_placement;
        (
            zone.map(|zone| 1 - zone.min(1)),
            cell.map(|cell| 1 - cell.min(1)),
        )
    };
    harness.feed(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![endpoint_at(moved, placement)],
    });
    let mut actions = harness.end_attempt(2, 0, Outcome::Reset, 50 * MS);
    actions.extend(harness.advance(SEC));
    assert_eq!(
        sent_workers(&actions),
        Vec::<String>::new(),
        "the request was retried: {actions:?}"
    );
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Reject { .. })),
        "rejected although it may have been executed: {actions:?}"
    );
}

/// A retry of a keyed request must be written while workers still remember its key, counted from the first attempt. A
/// first attempt, one after attempts that were certainly not executed, and one of an idempotent class have no limit.
#[rstest]
#[case::keyed_that_may_have_been_executed(KEYED, Outcome::Reset, true)]
#[case::keyed_that_was_not_executed(KEYED, Outcome::Rejected, false)]
#[case::idempotent_that_may_have_been_executed(IDEMPOTENT, Outcome::Reset, false)]
#[case::not_idempotent_that_was_not_executed(NOT_IDEMPOTENT, Outcome::ConnectFailed, false)]
fn a_retry_is_written_while_its_key_is_known(
    #[case] class: usize,
    #[case] outcome: Outcome,
    #[case] limited: bool,
    #[values(0, 500, 1_900)] passed: u64,
) {
    let mut harness = keyed_harness(KeyScope::All, [(Some(0), Some(0)); 2]);
    let retry_window = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { retry_window, .. } => Some(*retry_window),
            _ => None,
        })
    };
    assert_eq!(
        retry_window(&harness.request(2, class, 7)),
        Some(None),
        "the first attempt is missing or limited"
    );
    harness.now += passed * MS;
    let window =
        retry_window(&harness.end_attempt(2, 0, outcome, passed * MS)).expect("no retry was sent");
    match window {
        None => assert!(!limited),
        Some(left) => {
            assert!(limited);
            let rest = KEY_MEMORY - passed * MS;
            assert!(
                left < rest && left + 30 * MS > rest,
                "the retry window is {left} where the key is known for {rest}"
            );
        }
    }
}

/// Zones that the settings do not name have positions of their own.
#[test]
fn zones_that_the_settings_do_not_name_are_distinct() {
    let mut names = ZoneNames::new(&["east".to_owned(), "west".to_owned()]);
    let positions: Vec<_> = ["west", "north", "south", "north", ""]
        .iter()
        .map(|name| names.position(name))
        .collect();
    assert_eq!(positions, [Some(1), Some(2), Some(3), Some(2), None]);
    // The memory for names is bounded.
    let numbered: Vec<_> = (0..2_000)
        .map(|n| names.position(&format!("zone-{n}")))
        .collect();
    assert_eq!(numbered[1_999], None);
    assert_eq!(names.position("south"), Some(3));
}
