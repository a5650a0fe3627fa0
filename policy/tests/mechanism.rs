//! The ordinary path: beliefs, losses, copies and the random choice.
mod common;
use common::*;
use wrenseam_policy::*;

#[test]
fn a_new_gateway_asks_before_it_loads() {
    let mut rig = Rig::new(settings(), 3);
    let out = rig.request(1, SAFE, 7);
    assert_eq!(loads(&out, 0).len(), 3);
    assert!(loads(&out, 1).is_empty() && sends(&out).is_empty());
    assert_eq!(sends(&rig.loaded("w1", 7, 1, Outcome::Ok)), ["w1"]);
}

#[test]
fn where_nothing_stands_one_load_is_ordered_and_the_request_follows_it() {
    let mut rig = Rig::new(settings(), 3);
    rig.request(1, SAFE, 7);
    let mut out = Vec::new();
    for w in ["w0", "w1", "w2"] {
        out.extend(rig.loaded(w, 7, 0, Outcome::Ok));
    }
    let ordered = loads(&out, 1);
    assert_eq!(ordered.len(), 1);
    assert!(sends(&out).is_empty());
    assert_eq!(sends(&rig.loaded(&ordered[0], 7, 1, Outcome::Ok)), ordered);
}

#[test]
fn a_second_waiting_request_does_not_load_the_same_thing_again() {
    let mut rig = Rig::new(settings(), 3);
    rig.request(1, SAFE, 7);
    for w in ["w0", "w1", "w2"] {
        rig.loaded(w, 7, 0, Outcome::Ok);
    }
    assert!(loads(&rig.request(2, SAFE, 7), 1).is_empty());
}

#[test]
fn requests_spread_evenly_over_free_warm_workers() {
    let mut rig = Rig::new(settings(), 4);
    rig.warm(7, 1, &["w0", "w1", "w2"]);
    let mut seen = [0; 4];
    for id in 100..700 {
        let to = sends(&rig.request(id, SAFE, 7));
        let w: usize = to[0][1..].parse().unwrap();
        seen[w] += 1;
        rig.outcome(id, 0, Outcome::Ok, 50 * MS);
    }
    // 600 draws over three: 200 each, give or take four standard deviations.
    assert_eq!(seen[3], 0);
    assert!(
        seen[..3].iter().all(|n| (154..=246).contains(n)),
        "{seen:?}"
    );
}

#[test]
fn a_lost_request_joins_the_warm_worker_with_fewest_and_a_copy_is_added() {
    let mut rig = Rig::new(settings(), 3);
    rig.warm(7, 1, &["w0"]);
    assert_eq!(sends(&rig.request(2, SAFE, 7)), ["w0"]);
    let out = rig.request(3, SAFE, 7);
    assert_eq!(sends(&out), ["w0"]);
    let ordered = loads(&out, 1);
    assert_eq!(ordered.len(), 1);
    assert_ne!(ordered[0], "w0");
    // While that load is out, further losses add none.
    assert!(loads(&rig.request(4, SAFE, 7), 1).is_empty());
}

#[test]
fn marked_repeats_are_no_fresh_losses() {
    let mut rig = Rig::new(settings(), 3);
    rig.warm(7, 1, &["w0"]);
    rig.request(2, SAFE, 7);
    let out = rig.feed(Event::Request(NewRequest {
        id: 3,
        class: SAFE,
        tenant: None,
        function: 7,
        time_left: 3 * SEC,
        memory_mb: 500.0,
        concurrency: 1,
        load_time: 0,
        retry: true,
    }));
    assert_eq!(sends(&out), ["w0"]);
    assert!(loads(&out, 1).is_empty());
}

#[test]
fn the_new_copy_goes_where_the_least_recently_lost_function_lies_idle() {
    let mut rig = Rig::new(settings(), 3);
    rig.warm(1, 1, &["w1"]);
    rig.pass(100 * MS);
    rig.warm(2, 2, &["w2"]);
    rig.pass(100 * MS);
    rig.warm(7, 3, &["w0"]);
    rig.request(4, SAFE, 7);
    assert_eq!(loads(&rig.request(5, SAFE, 7), 1), ["w1"]);
}

#[test]
fn gateways_draw_the_same_place_for_a_function() {
    let place = |seed| {
        let mut set = settings();
        (set.front_ends, set.load_on_demand) = (3, true);
        let mut c = Controller::new(set, seed);
        let mut out = Vec::new();
        c.handle(
            SEC,
            Event::EndpointUpdate {
                complete: true,
                endpoints: (0..9).map(entry).collect(),
            },
            &mut out,
        );
        let mut rig = Rig { c, now: SEC };
        rig.request(1, SAFE, 7);
        let replies = (0..9).flat_map(|w| rig.loaded(&format!("w{w}"), 7, 0, Outcome::Ok));
        loads(&replies.collect::<Vec<_>>(), 1)
    };
    assert_eq!(place(1).len(), 1);
    assert!((2..12).all(|seed| place(seed) == place(1)));
}

#[test]
fn memory_short_by_our_own_account_drops_the_least_recently_lost() {
    let mut set = settings();
    set.kind_memory_mb = vec![1600.0]; // two copies of 500 MB stay under the margin, three do not
    let mut rig = Rig::new(set, 2);
    rig.warm(1, 1, &["w1"]);
    rig.pass(100 * MS);
    rig.warm(2, 2, &["w1"]);
    rig.pass(100 * MS);
    rig.warm(7, 3, &["w0"]);
    rig.request(4, SAFE, 7);
    let out = rig.request(5, SAFE, 7);
    assert!(
        out.contains(&Action::Unload {
            worker: "w1".into(),
            function: 1
        }),
        "{out:?}"
    );
    assert!(!out.contains(&Action::Unload {
        worker: "w1".into(),
        function: 2
    }));
}

#[test]
fn beliefs_lapse_after_the_keep_alive_and_a_hold_renews_the_last_copy() {
    let mut rig = Rig::new(settings(), 2);
    rig.warm(7, 1, &["w0"]);
    let out = rig.pass(7 * SEC);
    assert_eq!(loads(&out, 1), ["w0"]);
    // With no answer to the hold the belief lapses: the next call has to ask again.
    rig.pass(5 * SEC);
    assert!(sends(&rig.request(2, SAFE, 7)).is_empty());
}

#[test]
fn a_miss_voids_the_belief_and_the_request_goes_on() {
    let mut rig = Rig::new(settings(), 2);
    rig.warm(7, 1, &["w0"]);
    assert_eq!(sends(&rig.request(2, UNSAFE, 7)), ["w0"]);
    let out = rig.outcome(2, 0, Outcome::NotLoaded, 2 * MS);
    assert!(!loads(&out, 0).is_empty() || !loads(&out, 1).is_empty());
    let again = rig.request(3, SAFE, 7);
    assert!(sends(&again).is_empty());
}

#[test]
fn where_calls_load_by_themselves_and_the_ration_is_spent_the_call_goes_there() {
    let mut set = settings();
    (set.load_on_demand, set.load_budget_window) = (true, 5 * SEC); // nothing free, no share: no order at all
    let mut rig = Rig::new(set, 2);
    rig.request(1, SAFE, 7);
    let mut out = rig.loaded("w0", 7, 0, Outcome::Ok);
    out.extend(rig.loaded("w1", 7, 0, Outcome::Ok));
    assert_eq!(sends(&out).len(), 1);
    assert!(loads(&out, 1).is_empty());
}

#[test]
fn crowd_notes_take_lanes() {
    let mut rig = Rig::new(settings(), 3);
    rig.warm(7, 1, &["w0", "w1"]);
    for id in 2..40 {
        let to = sends(&rig.request(id, SAFE, 7)).remove(0);
        let crowd = (to == "w0").then_some(3);
        rig.feed(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 50 * MS,
            request_closed: true,
            replica_loaded: Some(true),
            queue_depth: crowd,
            in_flight: None,
        }));
        if to == "w0" {
            assert_eq!(sends(&rig.request(id + 100, SAFE, 7)), ["w1"]);
            return;
        }
    }
    panic!("w0 was never drawn");
}

/// Feeds one call of function 7 at each of these distances, answered at once, and returns what is ordered
/// after each: copies to hold within the last second before the next, at other times, and copies dropped.
fn fire(gaps: &[Micros]) -> Vec<(usize, usize, usize)> {
    let mut rig = Rig::new(settings(), 3);
    let after = |(n, &gap): (usize, &Micros)| {
        let mut out = rig.request(n as u64, SAFE, 7);
        for w in loads(&out, 0) {
            out.extend(rig.loaded(&w, 7, 0, Outcome::Ok));
        }
        for w in loads(&out, 1) {
            rig.loaded(&w, 7, 1, Outcome::Ok);
        }
        rig.outcome(n as u64, 0, Outcome::Ok, 50 * MS);
        let (early, late) = (rig.pass(gap - SEC), rig.pass(SEC));
        loads(&late, 1)
            .iter()
            .for_each(|w| drop(rig.loaded(w, 7, 1, Outcome::Ok)));
        let drops = early
            .iter()
            .filter(|a| matches!(a, Action::Unload { .. }))
            .count();
        (loads(&late, 1).len(), loads(&early, 1).len(), drops)
    };
    gaps.iter().enumerate().map(after).collect()
}

/// Seen on sockets: eight in ten calls on timers found no copy, as it had been unloaded in between, and their
/// copies, kept though nothing called them, took the room of others.
#[test]
fn a_call_on_a_timer_finds_a_copy_held_ahead_and_none_is_kept_in_between() {
    let even = fire(&[10 * SEC; 5]);
    assert!(
        even[2..]
            .iter()
            .all(|&(ahead, else_, drops)| (ahead, else_, drops) == (1, 0, 1)),
        "{even:?}"
    );
    let uneven = fire(&[10 * SEC, 7 * SEC, 12 * SEC, 9 * SEC, 6 * SEC, 10 * SEC]);
    assert!(
        uneven[2..]
            .iter()
            .all(|&(ahead, _, drops)| (ahead, drops) == (0, 0)),
        "{uneven:?}"
    );
}
