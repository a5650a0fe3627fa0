//! What is in force after each fault, and scenario files.
use fleetlab::faults::{ConnectionAction, DatagramAction, Faults};
use fleetlab::scenario::{Fault, Scenario};

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
fn a_partition_cuts_between_sets_only_and_heals() {
    let mut f = Faults::new(4, 1);
    f.apply(&Fault {
        fronts: Some(vec![0, 1]),
        ..fault("partition")
    });
    assert_eq!(f.datagram(Some(0), 1, 0.5), DatagramAction::Pass);
    assert_eq!(f.datagram(Some(2), 3, 0.5), DatagramAction::Pass);
    assert_eq!(f.datagram(Some(0), 2, 0.5), DatagramAction::Drop);
    assert_eq!(f.datagram(Some(3), 1, 0.5), DatagramAction::Drop);
    f.apply(&fault("heal"));
    assert_eq!(f.datagram(Some(0), 2, 0.5), DatagramAction::Pass);
}

#[test]
fn losses_copies_and_holds_follow_the_die() {
    let mut f = Faults::new(2, 2);
    f.apply(&Fault {
        ratio: Some(0.2),
        ..fault("drop")
    });
    f.apply(&Fault {
        ratio: Some(0.1),
        ..fault("duplicate")
    });
    f.apply(&Fault {
        ms: Some(40),
        ..fault("delay")
    });
    assert_eq!(f.datagram(None, 1, 0.1), DatagramAction::Drop);
    assert_eq!(f.datagram(None, 1, 0.25), DatagramAction::Duplicate);
    assert_eq!(f.datagram(None, 1, 0.5), DatagramAction::Delay(40));
    f.apply(&Fault {
        ratio: Some(0.5),
        ..fault("reset")
    });
    f.apply(&Fault {
        worker: Some(1),
        ..fault("blackhole")
    });
    assert_eq!(f.connection(0, 0.4), ConnectionAction::Reset);
    assert_eq!(f.connection(0, 0.6), ConnectionAction::Pass);
    assert_eq!(f.connection(1, 0.9), ConnectionAction::BlackHole);
}

#[test]
fn named_groups_one_way_cuts_deaf_and_mute_front_ends() {
    let mut f = Faults::new(5, 1);
    let groups = [("a".to_owned(), vec![0, 1]), ("b".to_owned(), vec![2])]
        .into_iter()
        .collect();
    f.apply(&Fault {
        groups: Some(groups),
        ..fault("partition")
    });
    let passes = |f: &Faults, from: usize, to: usize| {
        f.datagram(Some(from), to, 0.5) == DatagramAction::Pass
    };
    assert!(
        passes(&f, 0, 1) && passes(&f, 3, 4),
        "within a group, and among those in none"
    );
    assert!(!passes(&f, 0, 2) && !passes(&f, 2, 3) && !passes(&f, 4, 1));
    f.apply(&fault("heal"));
    f.apply(&Fault {
        from: Some(0),
        to: Some(1),
        ..fault("cut")
    });
    assert!(!passes(&f, 0, 1) && passes(&f, 1, 0));
    f.apply(&Fault {
        front: Some(2),
        ..fault("deaf")
    });
    f.apply(&Fault {
        front: Some(3),
        ..fault("mute")
    });
    assert!(!passes(&f, 0, 2) && passes(&f, 2, 0), "a deaf one is heard");
    assert!(!passes(&f, 3, 0) && passes(&f, 0, 3), "a mute one hears");
    f.apply(&fault("heal"));
    assert!((0..5).all(|from| (0..5).all(|to| passes(&f, from, to))));
}

const GOOD: &str = r#"{"name":"s","seed":1,"seconds":5,"fronts":3,"workers":2,"fleet":true,"rate_per_s":10,
    "work_ms":5,"wait_ms":300,"client_attempts":2,"faults":[{"at_s":1,"kind":"kill","front":2}]}"#;

#[test]
fn a_scenario_is_read_and_its_bounds_kept() {
    assert_eq!(Scenario::parse(GOOD).expect("read").faults.len(), 1);
    assert!(Scenario::parse(&GOOD.replace(r#""front":2"#, r#""front":3"#)).is_err());
    assert!(Scenario::parse(&GOOD.replace(r#""kill""#, r#""melt""#)).is_err());
    assert!(Scenario::parse(&GOOD.replace(r#""seconds":5"#, r#""seconds":6000"#)).is_err());
    assert!(Scenario::parse("[]").is_err());
}
