//! Calls whose clients leave before an answer is likely, and clients that never wait long.
mod common;
use common::*;
use rstest::rstest;
use wrenseam_policy::*;

/// One of so many gateways, whose classes state this aim, before workers enough that a call in hand is no crowd.
fn rig(gateways: u32, aim: Micros) -> Rig {
    let mut set = Settings {
        front_ends: gateways,
        load_on_demand: true,
        ..settings()
    };
    set.classes
        .iter_mut()
        .for_each(|c| c.latency_objective = aim);
    Rig::new(set, gateways.max(6) as usize)
}

/// Answers all orders at once, as by workers that hold every function, and those that come of it.
fn settle(rig: &mut Rig, mut out: Vec<Action>) -> Vec<Action> {
    let mut n = 0;
    while n < out.len() {
        if let Action::Load {
            worker,
            function,
            replicas: count,
        } = out[n].clone()
        {
            out.extend(rig.loaded(&worker, function, count.max(1), Outcome::Ok));
        }
        n += 1;
    }
    out
}

/// Makes calls one after another, whose clients have `left` while an answer takes `took`: how many were served, and how
/// many refused at once with advice.
fn calls(rig: &mut Rig, n: usize, function: u64, left: Micros, took: Micros) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    for _ in 0..n {
        let (id, class, tenant, memory_mb, lanes, load_time) = (rig.now, SAFE, None, 500.0, 8, 0);
        let retry = false;
        let call = Event::Request(NewRequest {
            id,
            class,
            tenant,
            function,
            time_left: left,
            memory_mb,
            concurrency: lanes,
            load_time,
            retry,
        });
        let out = rig.feed(call);
        let out = settle(rig, out);
        let advised =
            |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0);
        refused += usize::from(out.iter().any(advised));
        let sent = !sends(&out).is_empty();
        let out = rig.pass(if sent { took.min(left) } else { 20 * MS });
        settle(rig, out);
        let (outcome, closed) = if took < left {
            (Outcome::Ok, true)
        } else {
            (Outcome::Timeout, false)
        };
        let (attempt, elapsed, warm, crowd, inflight) = (0, took.min(left), Some(true), None, None);
        if sent {
            rig.feed(Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                outcome,
                elapsed,
                request_closed: closed,
                replica_loaded: warm,
                queue_depth: crowd,
                in_flight: inflight,
            }));
            served += usize::from(closed);
        }
    }
    (served, refused)
}

/// Seen on sockets: clients that waited 63 ms came again and again while answers took longer. What was sent for them filled
/// the workers, and calls with time left were turned away, also long after.
#[rstest]
fn what_cannot_end_in_what_is_left_is_refused_at_once(#[values(17, 300)] gateways: u32) {
    let mut rig = rig(gateways, 400 * MS);
    assert_eq!(calls(&mut rig, 20, 7, 3 * SEC, 120 * MS), (20, 0));
    let (served, refused) = calls(&mut rig, 40, 7, 47 * MS, 120 * MS);
    assert!(
        served == 0 && refused >= 38,
        "{refused} of 40 refused; one in two seconds may be tried"
    );
    assert_eq!(
        calls(&mut rig, 20, 7, 180 * MS, 120 * MS),
        (20, 0),
        "what can end is sent"
    );
}

/// All of a customer's deadlines are under 300 ms and its work is short: it is served from the first call on, whether the
/// settings state an aim or not, and again soon after a spell in which answers came too late.
#[rstest]
fn short_deadlines_are_served_where_the_work_is_short(
    #[values(1, 4, 300)] gateways: u32,
    #[values(0, 60 * MS, 30 * SEC)] aim: Micros,
    #[values(60 * MS, 290 * MS)] left: Micros,
) {
    let mut rig = rig(gateways, aim);
    assert_eq!(calls(&mut rig, 50, 7, left, 20 * MS), (50, 0));
    calls(&mut rig, 50, 7, left, left + 100 * MS);
    rig.pass(SEC);
    let (served, _) = calls(&mut rig, 50, 7, left, 20 * MS);
    assert!(served >= 45, "{served} of 50 after the spell");
}

/// A function whose calls are short, of a class whose others take far longer than its clients wait.
#[rstest]
fn a_quick_function_of_a_slow_class_is_served(#[values(1, 4, 300)] gateways: u32) {
    let mut rig = rig(gateways, 400 * MS);
    let (mut served, mut refused) = (0, 0);
    for _ in 0..60 {
        calls(&mut rig, 1, 7, 3 * SEC, 500 * MS);
        let ends = calls(&mut rig, 1, 8, 150 * MS, 20 * MS);
        (served, refused) = (served + ends.0, refused + ends.1);
    }
    assert!(served >= 55, "{served} of 60 served, {refused} refused");
}
