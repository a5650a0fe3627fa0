//! The effect of each fault on datagrams and connections, and the validation of scenario files.
use fleetlab::faults::{ConnectionAction, DatagramAction, Faults};
use fleetlab::scenario::{Fault, Scenario};
use rstest::rstest;

fn fault(kind: &str) -> Fault {
    Fault {
        at_s: 0.0,
        kind: kind.into(),
        factor: None,
        fronts: None,
        groups: None,
        from: None,
        to: None,
        ratio: None,
        ms: None,
        worker: None,
        front: None,
    }
}

#[test]
fn a_partition_cuts_between_groups_only_and_heals() {
    let mut faults = Faults::new(4, 1);
    faults.apply(&Fault {
        fronts: Some(vec![0, 1]),
        ..fault("partition")
    });
    assert_eq!(faults.datagram(Some(0), 1, 0.5), DatagramAction::Pass);
    assert_eq!(faults.datagram(Some(2), 3, 0.5), DatagramAction::Pass);
    assert_eq!(faults.datagram(Some(0), 2, 0.5), DatagramAction::Drop);
    assert_eq!(faults.datagram(Some(3), 1, 0.5), DatagramAction::Drop);
    faults.apply(&fault("heal"));
    assert_eq!(faults.datagram(Some(0), 2, 0.5), DatagramAction::Pass);
}

#[test]
fn losses_duplicates_delays_and_resets_follow_the_random_number() {
    let mut faults = Faults::new(2, 2);
    faults.apply(&Fault {
        ratio: Some(0.2),
        ..fault("drop")
    });
    faults.apply(&Fault {
        ratio: Some(0.1),
        ..fault("duplicate")
    });
    faults.apply(&Fault {
        ms: Some(40),
        ..fault("delay")
    });
    assert_eq!(faults.datagram(None, 1, 0.1), DatagramAction::Drop);
    assert_eq!(faults.datagram(None, 1, 0.25), DatagramAction::Duplicate);
    assert_eq!(faults.datagram(None, 1, 0.5), DatagramAction::Delay(40));
    faults.apply(&Fault {
        ratio: Some(0.5),
        ..fault("reset")
    });
    faults.apply(&Fault {
        worker: Some(1),
        ..fault("blackhole")
    });
    assert_eq!(faults.connection(0, 0.4), ConnectionAction::Reset);
    assert_eq!(faults.connection(0, 0.6), ConnectionAction::Pass);
    assert_eq!(faults.connection(1, 0.9), ConnectionAction::BlackHole);
}

#[test]
fn named_groups_cut_links_and_deaf_or_mute_front_ends_lose_gossip() {
    let mut faults = Faults::new(5, 1);
    let groups = [("a".to_owned(), vec![0, 1]), ("b".to_owned(), vec![2])]
        .into_iter()
        .collect();
    faults.apply(&Fault {
        groups: Some(groups),
        ..fault("partition")
    });
    let passes = |faults: &Faults, from: usize, to: usize| {
        faults.datagram(Some(from), to, 0.5) == DatagramAction::Pass
    };
    assert!(
        passes(&faults, 0, 1) && passes(&faults, 3, 4),
        "within a group, and among front ends in no group"
    );
    assert!(!passes(&faults, 0, 2) && !passes(&faults, 2, 3) && !passes(&faults, 4, 1));
    faults.apply(&fault("heal"));
    faults.apply(&Fault {
        from: Some(0),
        to: Some(1),
        ..fault("cut")
    });
    assert!(!passes(&faults, 0, 1) && passes(&faults, 1, 0));
    faults.apply(&Fault {
        front: Some(2),
        ..fault("deaf")
    });
    faults.apply(&Fault {
        front: Some(3),
        ..fault("mute")
    });
    assert!(
        !passes(&faults, 0, 2) && passes(&faults, 2, 0),
        "gossip to the deaf front end is lost, gossip from it arrives"
    );
    assert!(
        !passes(&faults, 3, 0) && passes(&faults, 0, 3),
        "gossip from the mute front end is lost, gossip to it arrives"
    );
    faults.apply(&fault("heal"));
    assert!((0..5).all(|from| (0..5).all(|to| passes(&faults, from, to))));
}

const VALID: &str = r#"{"name":"s","seed":1,"seconds":5,"fronts":3,"workers":2,"fleet":true,"rate_per_s":10,
    "work_ms":5,"wait_ms":300,"client_attempts":2,"faults":[{"at_s":1,"kind":"kill","front":2}]}"#;

#[test]
fn a_scenario_is_parsed_and_its_ranges_are_enforced() {
    assert_eq!(Scenario::parse(VALID).expect("valid").faults.len(), 1);
    assert!(Scenario::parse(&VALID.replace(r#""front":2"#, r#""front":3"#)).is_err());
    assert!(Scenario::parse(&VALID.replace(r#""kill""#, r#""melt""#)).is_err());
    assert!(Scenario::parse(&VALID.replace(r#""seconds":5"#, r#""seconds":6000"#)).is_err());
    assert!(Scenario::parse("[]").is_err());
}

#[rstest]
#[case::no_scenario("[]", "not a scenario in JSON (see docs/fleetlab.md)")]
#[case::a_value(&VALID.replace(r#""seconds":5"#, r#""seconds":6000"#), "'seconds' is 6000, not within 1 to 600")]
#[case::a_front(&VALID.replace(r#""front":2"#, r#""front":3"#), "'front' is 3, not within 0 to 2")]
#[case::a_fault(&VALID.replace(r#""kill""#, r#""melt""#), "unknown kind of fault: 'melt'")]
#[case::an_effect(&VALID.replace(r#""seed":1"#, r#""seed":1,"effect":"odd""#), "'effect' is odd, not retryable or fragile")]
fn scenario_errors_keep_their_texts(#[case] text: &str, #[case] want: &str) {
    let error = Scenario::parse(text).expect_err("invalid");
    assert_eq!(error.to_string(), want);
}
