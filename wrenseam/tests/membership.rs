//! Who the members are, over all sources.
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

/// After `a` at 1 and `b` at 2 are known: what this update changes.
#[rstest]
#[case::repeated((true, vec![("a", 1, Ready, 0), ("b", 2, Ready, 0)]), vec![])]
#[case::drain((false, vec![("a", 1, Draining, 0)]), vec![("a", Draining, Drain)])]
#[case::left_out_of_a_list((true, vec![("b", 2, Ready, 0)]), vec![("a", Gone, Drain)])]
#[case::back_cold_under_its_id((false, vec![("a", 1, Ready, 9)]), vec![("a", Ready, Drain)])]
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
    let mut members = Membership::default();
    let first = vec![endpoint("a", 1, Ready, 0), endpoint("b", 2, Ready, 0)];
    assert!(members
        .apply(TransportProtocol::Frames, true, first)
        .iter()
        .all(|c| c.action == Connect));
    // The list of another source changes nothing of these.
    assert_eq!(
        members.apply(TransportProtocol::Kserve, true, vec![]),
        vec![]
    );
    let endpoints = update
        .1
        .iter()
        .map(|&(id, port, state, at)| endpoint(id, port, state, at))
        .collect();
    let got = members.apply(TransportProtocol::Frames, update.0, endpoints);
    let got: Vec<_> = got
        .iter()
        .map(|c| (c.endpoint.id.as_str(), c.endpoint.state, c.action))
        .collect();
    assert_eq!(got, changes);
}

/// Excluded: published as draining whatever the list says, until included; then a new process, cold.
#[test]
fn an_excluded_endpoint_drains_until_it_is_included() {
    let mut members = Membership::default();
    members.apply(
        TransportProtocol::Frames,
        true,
        vec![endpoint("a", 1, Ready, 0)],
    );
    assert_eq!(members.exclude("nobody"), Err(UnknownEndpoint));
    let state = |c: &[Change]| {
        c.iter()
            .map(|c| (c.endpoint.state, c.action))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        state(&members.exclude("a").expect("known")),
        vec![(Draining, Drain)]
    );
    assert_eq!(
        members.exclude("a"),
        Ok(vec![]),
        "a second exclude changes nothing"
    );
    // The list has it ready again, as after a restart: it stays excluded.
    let again = members.apply(
        TransportProtocol::Frames,
        true,
        vec![endpoint("a", 1, Ready, 7)],
    );
    assert_eq!(state(&again), vec![(Draining, Drain)]);
    let back = members.include("a", 99).expect("excluded");
    assert_eq!(state(&back), vec![(Ready, Drain)]);
    assert_eq!(back[0].endpoint.started_at, 99, "back as a new process");
    assert_eq!(
        members.include("a", 100),
        Ok(vec![]),
        "a second include changes nothing"
    );
    assert_eq!(members.include("nobody", 100), Err(UnknownEndpoint));
}

/// A replacing process takes the set over, also ids that its list does not name yet.
#[test]
fn exclusions_are_handed_over() {
    let mut members = Membership::default();
    let set = |ids: &[&str]| ids.iter().map(|&id| id.to_owned()).collect::<BTreeSet<_>>();
    assert_eq!(members.replace_exclusions(set(&["a"]), 5), vec![]);
    let told = members.apply(
        TransportProtocol::Frames,
        true,
        vec![endpoint("a", 1, Ready, 0)],
    );
    assert_eq!(
        told.iter().map(|c| c.endpoint.state).collect::<Vec<_>>(),
        vec![Draining]
    );
    let back = members.replace_exclusions(set(&[]), 9);
    assert_eq!(
        back.iter()
            .map(|c| (c.endpoint.state, c.endpoint.started_at))
            .collect::<Vec<_>>(),
        vec![(Ready, 9)]
    );
}
