//! Rule 2 where the list of workers changes between two attempts, and where a retry may wait before it is written.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

/// The window of keyed classes in the common settings.
const WINDOW: Micros = 3 * SEC;

/// Zone and cell of a worker in the list.
type Place = (Option<usize>, Option<u64>);

fn entry_at(n: usize, (zone, cell): Place) -> Endpoint {
    Endpoint {
        zone,
        cell,
        ..endpoint(n)
    }
}

/// Two workers that hold function 7, and a keyed class whose retries are dropped in this group.
fn keyed_harness(group: KeyScope, places: [Place; 2]) -> ControllerHarness {
    let mut set = settings();
    set.classes[KEYED].key_scope = group;
    let mut harness = ControllerHarness::new(set, 0);
    let entries = (0..2).map(|n| entry_at(n, places[n])).collect();
    harness.feed(Event::EndpointUpdate {
        complete: true,
        endpoints: entries,
    });
    harness.mark_loaded(7, 1, &["w0", "w1"]);
    harness
}

fn keyed_request(harness: &mut ControllerHarness, left: Micros) -> Vec<Action> {
    harness.feed(Event::Request(NewRequest {
        id: 2,
        class: KEYED,
        tenant: None,
        function: 7,
        time_left: left,
        memory_mb: 500.0,
        concurrency: 1,
        load_time: 0,
        retry: false,
    }))
}

/// Workers whose zone or cell the list does not name share no memory of keys: two absent names are not the same place.
#[rstest]
#[case::one_zone(KeyScope::Zone, [(Some(0), None), (Some(0), None)], true)]
#[case::two_zones(KeyScope::Zone, [(Some(0), Some(1)), (Some(1), Some(1))], false)]
#[case::zones_not_told(KeyScope::Zone, [(None, Some(1)), (None, Some(1))], false)]
#[case::one_cell(KeyScope::Cell, [(None, Some(0)), (None, Some(0))], true)]
#[case::cells_not_told(KeyScope::Cell, [(Some(0), None), (Some(0), None)], false)]
#[case::all_whatever_is_told(KeyScope::All, [(None, None), (Some(0), Some(1))], true)]
fn a_keyed_request_is_retried_only_where_its_key_is_known(
    #[case] group: KeyScope,
    #[case] places: [Place; 2],
    #[case] repeated: bool,
) {
    let mut harness = keyed_harness(group, places);
    assert_eq!(sent_workers(&keyed_request(&mut harness, 2 * SEC)).len(), 1);
    let again = harness.end_attempt(2, 0, Outcome::Reset, 50 * MS);
    assert_eq!(
        sent_workers(&again).len(),
        usize::from(repeated),
        "{again:?}"
    );
    // What provably never ran is retried wherever workers are.
    let mut harness = keyed_harness(group, places);
    keyed_request(&mut harness, 2 * SEC);
    assert_eq!(
        sent_workers(&harness.end_attempt(2, 0, Outcome::ConnectFailed, 50 * MS)).len(),
        1
    );
}

/// The key is known where the worker was when the attempt was sent, not where the list has it later: it is listed anew
/// in the other's zone while its attempt is out.
#[rstest]
#[case::into_the_others_zone(KeyScope::Zone, (Some(1), Some(9)))]
#[case::into_the_others_cell(KeyScope::Cell, (Some(9), Some(1)))]
fn a_worker_that_is_listed_elsewhere_takes_no_key_along(
    #[case] group: KeyScope,
    #[case] to: Place,
) {
    let mut harness = keyed_harness(group, [(Some(0), Some(0)), (Some(1), Some(1))]);
    let first = sent_workers(&keyed_request(&mut harness, 2 * SEC))[0].clone();
    let moved = usize::from(first == "w1");
    let other = if moved == 0 {
        to
    } else {
        (to.0.map(|z| 1 - z.min(1)), to.1.map(|c| 1 - c.min(1)))
    };
    harness.feed(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![entry_at(moved, other)],
    });
    let mut later = harness.end_attempt(2, 0, Outcome::Reset, 50 * MS);
    later.extend(harness.advance(SEC));
    assert_eq!(sent_workers(&later), Vec::<String>::new(), "{later:?}");
    assert!(
        !later.iter().any(|a| matches!(a, Action::Reject { .. })),
        "it may have run: {later:?}"
    );
}

/// A retry says for how long it may still be written: workers drop it only so long after the first attempt. A first
/// attempt, one after another that never ran, and one of a class that is idempotent are not bounded.
#[rstest]
#[case::keyed_that_may_have_run(KEYED, Outcome::Reset, true)]
#[case::keyed_that_never_ran(KEYED, Outcome::Rejected, false)]
#[case::safe_that_may_have_run(IDEMPOTENT, Outcome::Reset, false)]
#[case::unsafe_that_never_ran(NOT_IDEMPOTENT, Outcome::ConnectFailed, false)]
fn a_retry_is_written_within_the_key_window(
    #[case] class: usize,
    #[case] outcome: Outcome,
    #[case] bounded: bool,
    #[values(0, 500, 1_900)] passed: u64,
) {
    let mut harness = keyed_harness(KeyScope::All, [(Some(0), Some(0)); 2]);
    let window = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send {
                retry_window: window,
                ..
            } => Some(*window),
            _ => None,
        })
    };
    assert_eq!(
        window(&harness.request(2, class, 7)),
        Some(None),
        "a first attempt"
    );
    harness.now += passed * MS;
    let again = window(&harness.end_attempt(2, 0, outcome, passed * MS)).expect("sent again");
    match again {
        None => assert!(!bounded),
        Some(left) => {
            assert!(bounded);
            let rest = WINDOW - passed * MS;
            assert!(left < rest && left + 30 * MS > rest, "{left} of {rest}");
        }
    }
}

/// Names of zones that the settings do not know are different zones.
#[test]
fn zones_that_the_settings_do_not_name_are_distinct() {
    let mut names = ZoneNames::new(&["east".to_owned(), "west".to_owned()]);
    let told: Vec<_> = ["west", "north", "south", "north", ""]
        .iter()
        .map(|n| names.position(n))
        .collect();
    assert_eq!(told, [Some(1), Some(2), Some(3), Some(2), None]);
    // Names without end take no memory without end.
    let numbered: Vec<_> = (0..2_000)
        .map(|n| names.position(&format!("zone-{n}")))
        .collect();
    assert_eq!(numbered[1_999], None);
    assert_eq!(names.position("south"), Some(3));
}
