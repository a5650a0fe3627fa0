//! The changes of the endpoint list by updates of all sources, exclusions and inclusions.
use rstest::rstest;
use std::collections::BTreeSet;
use wrenseam::discovery::membership::{Change, ConnectionAction, Membership, UnknownEndpoint};
use wrenseam::model::{Endpoint, TransportProtocol};
use wrenseam_policy::WorkerState;
use ConnectionAction::{Connect, Drain, Keep};
use WorkerState::{Draining, Gone, Ready};

fn endpoint(id: &str, port: u16, state: WorkerState, started_at: u64) -> Endpoint {
    let address = ([127, 0, 0, 1], port).into();
    let (zone, kind, protocol) = (
        "hall-a".to_owned(),
        "std".to_owned(),
        TransportProtocol::Frames,
    );
    Endpoint {
        id: id.to_owned(),
        address,
        state,
        started_at,
        zone,
        kind,
        cell: Some(0),
        protocol,
    }
}

type Update = (bool, Vec<(&'static str, u16, WorkerState, u64)>);

/// The changes by an update when endpoint `a` is listed at port 1 and `b` at port 2.
#[rstest]
#[case::repeated((true, vec![("a", 1, Ready, 0), ("b", 2, Ready, 0)]), vec![])]
#[case::drain((false, vec![("a", 1, Draining, 0)]), vec![("a", Draining, Drain)])]
#[case::left_out_of_a_list((true, vec![("b", 2, Ready, 0)]), vec![("a", Gone, Drain)])]
#[case::restarted_under_its_id((false, vec![("a", 1, Ready, 9)]), vec![("a", Ready, Drain)])]
#[case::moved((false, vec![("a", 3, Ready, 0)]), vec![("a", Ready, Connect)])]
#[case::new_at_an_old_address((false, vec![("c", 1, Ready, 9)]), vec![("a", Gone, Drain), ("c", Ready, Connect)])]
#[case::end_of_an_unknown_one((false, vec![("d", 4, Gone, 0)]), vec![])]
#[case::drain_twice(
    (false, vec![("a", 1, Draining, 0), ("a", 1, Draining, 0), ("a", 1, Gone, 0)]),
    vec![("a", Draining, Drain), ("a", Gone, Drain)]
)]
#[case::drain_cancelled((false, vec![("a", 1, Draining, 0), ("a", 1, Ready, 0)]), vec![("a", Draining, Drain), ("a", Ready, Keep)])]
fn an_update_changes_each_endpoint_once(
    #[case] update: Update,
    #[case] changes: Vec<(&str, WorkerState, ConnectionAction)>,
) {
    let mut membership = Membership::default();
    let first = vec![endpoint("a", 1, Ready, 0), endpoint("b", 2, Ready, 0)];
    assert!(membership
        .apply(TransportProtocol::Frames, true, first)
        .iter()
        .all(|c| c.action == Connect));
    // A list from another source does not change these endpoints.
    assert_eq!(
        membership.apply(TransportProtocol::Kserve, true, vec![]),
        vec![]
    );
    let endpoints = update
        .1
        .iter()
        .map(|&(id, port, state, started_at)| endpoint(id, port, state, started_at))
        .collect();
    let actual = membership.apply(TransportProtocol::Frames, update.0, endpoints);
    let actual: Vec<_> = actual
        .iter()
        .map(|c| (c.endpoint.id.as_str(), c.endpoint.state, c.action))
        .collect();
    assert_eq!(actual, changes);
}

/// An excluded endpoint is published as draining, whatever state the list gives it. Once included it counts as a new
/// process.
#[test]
fn an_excluded_endpoint_drains_until_it_is_included() {
    let mut membership = Membership::default();
    membership.apply(
        TransportProtocol::Frames,
        true,
        vec![endpoint("a", 1, Ready, 0)],
    );
    assert_eq!(membership.exclude("nobody"), Err(UnknownEndpoint));
    let state = |c: &[Change]| {
        c.iter()
            .map(|c| (c.endpoint.state, c.action))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        state(&membership.exclude("a").expect("known")),
        vec![(Draining, Drain)]
    );
    assert_eq!(
        membership.exclude("a"),
        Ok(vec![]),
        "a second exclude changes nothing"
    );
    // The list has the endpoint as ready again, as after a restart: it stays excluded.
    let again = membership.apply(
        TransportProtocol::Frames,
        true,
        vec![endpoint("a", 1, Ready, 7)],
    );
    assert_eq!(state(&again), vec![(Draining, Drain)]);
    let included = membership.include("a", 99).expect("excluded");
    assert_eq!(state(&included), vec![(Ready, Drain)]);
    assert_eq!(
        included[0].endpoint.started_at, 99,
        "included as a new process"
    );
    assert_eq!(
        membership.include("a", 100),
        Ok(vec![]),
        "a second include changes nothing"
    );
    assert_eq!(membership.include("nobody", 100), Err(UnknownEndpoint));
}

/// A process that replaces another takes over its exclusions, also those of ids that its list does not name yet.
#[test]
fn exclusions_are_handed_over() {
    let mut membership = Membership::default();
    let set = |ids: &[&str]| ids.iter().map(|&id| id.to_owned()).collect::<BTreeSet<_>>();
    assert_eq!(membership.replace_exclusions(set(&["a"]), 5), vec![]);
    let changes = membership.apply(
        TransportProtocol::Frames,
        true,
        vec![endpoint("a", 1, Ready, 0)],
    );
    assert_eq!(
        changes.iter().map(|c| c.endpoint.state).collect::<Vec<_>>(),
        vec![Draining]
    );
    let included = membership.replace_exclusions(set(&[]), 9);
    assert_eq!(
        included
            .iter()
            .map(|c| (c.endpoint.state, c.endpoint.started_at))
            .collect::<Vec<_>>(),
        vec![(Ready, 9)]
    );
}
