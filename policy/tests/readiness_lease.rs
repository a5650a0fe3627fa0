//! Readiness leases: until when what discovery and workers stated is acted on.
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use wrenseam_policy::readiness_lease::{
    HealthCheckResult, Interruption, LeaseAction, ReadinessLeases, SuspendReason,
};
use wrenseam_policy::{Micros, Settings};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// Any time at which a front end starts.
const START: Micros = 1_000 * SECOND;
/// The protocol page: what is not received counts as notified so long after it happened.
const NOTIFIED_AFTER: Micros = 7 * SECOND;
const GRACE: Micros = 500 * MILLISECOND;
const REVIEW: Micros = 100 * MILLISECOND;

fn settings(health_checks: bool) -> Settings {
    Settings {
        drain_grace: GRACE,
        health_checks,
        ..Settings::default()
    }
}

/// Leases of these workers, confirmed by discovery at `START`.
fn leases(health_checks: bool, workers: &[&str]) -> ReadinessLeases {
    let mut leases = ReadinessLeases::new(&settings(health_checks), 7);
    leases.watch_started(START, false);
    for worker in workers {
        leases.listed(worker, true);
    }
    leases
}

fn suspend(worker: &str, reason: SuspendReason) -> LeaseAction {
    LeaseAction::Suspend {
        worker: worker.to_owned(),
        reason,
    }
}

fn resume(worker: &str, may_have_restarted: bool) -> LeaseAction {
    LeaseAction::Resume {
        worker: worker.to_owned(),
        may_have_restarted,
    }
}

/// Reviews until `end` and returns when the first such action came.
fn first(
    leases: &mut ReadinessLeases,
    end: Micros,
    is_wanted: impl Fn(&LeaseAction) -> bool,
) -> Option<Micros> {
    (START..end)
        .step_by(REVIEW as usize)
        .find(|&now| leases.review(now).iter().any(&is_wanted))
}

fn is_suspension(action: &LeaseAction) -> bool {
    matches!(action, LeaseAction::Suspend { .. })
}

#[test]
fn workers_are_left_alone_while_discovery_responds() {
    let mut leases = leases(true, &["a", "b"]);
    for now in (START..START + 100 * SECOND).step_by(REVIEW as usize) {
        if now % (5 * SECOND) == 0 {
            assert_eq!(leases.list_confirmed(now), []);
        }
        assert_eq!(leases.review(now), []);
    }
}

#[rstest]
#[case::no_further_response(None, 7)]
#[case::nobody_answers(Some(Interruption::Unreachable), 7)]
#[case::broken(Some(Interruption::Broken), 3)]
#[case::silent(Some(Interruption::Silent), 5)]
#[case::moved(Some(Interruption::Moved), 5)]
fn unconfirmed_workers_are_suspended_before_a_drain_counts_as_notified(
    #[case] interruption: Option<Interruption>,
    #[case] notified_at_s: u64,
) {
    let mut leases = leases(false, &["a"]);
    if let Some(cause) = interruption {
        leases.interrupted(START + SECOND, cause);
    }
    let suspended_at = first(&mut leases, START + 20 * SECOND, is_suspension).expect("suspended");
    let notified_at = START + notified_at_s * SECOND;
    assert!((notified_at..notified_at + GRACE).contains(&suspended_at));
    assert_eq!(leases.suspended_count(), 1);
}

#[test]
fn a_process_that_takes_over_is_notified_sooner() {
    let mut leases = ReadinessLeases::new(&settings(false), 7);
    leases.watch_started(START, true);
    leases.listed("a", true);
    let suspended_at = first(&mut leases, START + 20 * SECOND, is_suspension).expect("suspended");
    let notified_at = START + 2 * SECOND;
    assert!((notified_at..notified_at + GRACE).contains(&suspended_at));
}

#[test]
fn without_a_discovery_service_nothing_is_suspended() {
    let mut leases = ReadinessLeases::new(&settings(true), 7);
    leases.listed("a", true);
    assert_eq!(leases.review(START + 3_600 * SECOND), []);
}

#[test]
fn work_that_a_worker_takes_renews_its_lease() {
    let mut leases = leases(false, &["a", "b"]);
    for now in (START..START + 60 * SECOND).step_by(REVIEW as usize) {
        if now % SECOND == 0 {
            assert_eq!(leases.accepted("a", now - 50 * MILLISECOND, now), None);
        }
        let actions = leases.review(now);
        assert!(!actions.contains(&suspend("a", SuspendReason::LeaseEnded)));
    }
    assert_eq!(leases.suspended_count(), 1);
}

#[rstest]
#[case(HealthCheckResult::Accepting, None)]
#[case(HealthCheckResult::NotAccepting, Some(SuspendReason::NotAccepting))]
#[case(HealthCheckResult::Refused, Some(SuspendReason::Refused))]
#[case(HealthCheckResult::Unreachable, None)]
fn a_health_check_in_time_decides(
    #[case] result: HealthCheckResult,
    #[case] reason: Option<SuspendReason>,
) {
    let mut leases = leases(true, &["a"]);
    let check = LeaseAction::Check("a".to_owned());
    let is_check = |action: &LeaseAction| *action == check;
    let checked_at = first(&mut leases, START + 20 * SECOND, is_check).expect("checked");
    assert!(checked_at < START + NOTIFIED_AFTER);
    let expected = reason.map(|reason| suspend("a", reason));
    let answered_at = checked_at + MILLISECOND;
    assert_eq!(
        leases.check_ended("a", checked_at, result, answered_at),
        expected
    );
    let later = leases.review(START + NOTIFIED_AFTER + GRACE);
    let has_ended = later.contains(&suspend("a", SuspendReason::LeaseEnded));
    assert_eq!(has_ended, result == HealthCheckResult::Unreachable);
}

#[rstest]
#[case::refused(&[HealthCheckResult::Refused], true)]
#[case::turned_away_once(&[HealthCheckResult::NotAccepting], false)]
#[case::turned_away_twice(&[HealthCheckResult::NotAccepting, HealthCheckResult::NotAccepting], true)]
fn what_may_have_restarted_is_resumed_as_a_new_process(
    #[case] results: &[HealthCheckResult],
    #[case] may_have_restarted: bool,
) {
    let mut leases = leases(true, &["a"]);
    let mut now = START + NOTIFIED_AFTER;
    for &result in results {
        let _ = leases.check_ended("a", now, result, now);
        now += SECOND;
    }
    let resumed = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    assert_eq!(resumed, Some(resume("a", may_have_restarted)));
}

#[rstest]
#[case::after_the_last_confirmation(START + SECOND, true)]
#[case::before_it(START - SECOND, false)]
fn a_refusal_since_the_last_confirmation_is_taken_for_a_restart(
    #[case] refused_at: Micros,
    #[case] may_have_restarted: bool,
) {
    let mut leases = leases(true, &["a"]);
    leases.refused("a", refused_at);
    assert_eq!(leases.list_confirmed(START), []);
    assert_eq!(leases.review(START + 2 * SECOND), []);
    let now = START + NOTIFIED_AFTER;
    let actions = leases.review(now);
    let suspended = actions.contains(&suspend("a", SuspendReason::Refused));
    assert_eq!(suspended, may_have_restarted);
    assert!(actions.contains(&LeaseAction::Check("a".to_owned())));
    let later = now + MILLISECOND;
    let resumed = leases.check_ended("a", later, HealthCheckResult::Accepting, later);
    assert_eq!(resumed, may_have_restarted.then(|| resume("a", true)));
}

#[test]
fn a_worker_that_was_out_of_sight_is_resumed_as_a_new_process() {
    let mut leases = leases(true, &["a"]);
    let mut now = START + NOTIFIED_AFTER + GRACE;
    assert!(leases
        .review(now)
        .contains(&suspend("a", SuspendReason::LeaseEnded)));
    now += 2 * SECOND;
    let resumed = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    assert_eq!(resumed, Some(resume("a", true)));
}

#[test]
fn answers_to_what_was_sent_before_do_not_count() {
    let mut leases = leases(true, &["a", "b"]);
    let now = START + NOTIFIED_AFTER;
    let not_accepting = HealthCheckResult::NotAccepting;
    let suspended = suspend("a", SuspendReason::NotAccepting);
    assert_eq!(
        leases.check_ended("a", now, not_accepting, now),
        Some(suspended)
    );
    assert_eq!(
        leases.accepted("a", now - MILLISECOND, now + MILLISECOND),
        None
    );
    assert_eq!(leases.suspended_count(), 1);
    leases.interrupted(now, Interruption::Broken);
    assert_eq!(
        leases.accepted("b", now - MILLISECOND, now + MILLISECOND),
        None
    );
    leases.review(now + 2 * SECOND + GRACE);
    assert_eq!(leases.suspended_count(), 2);
}

#[test]
fn a_worker_in_doubt_is_checked_at_once() {
    let mut leases = leases(true, &["a"]);
    let mut now = START + NOTIFIED_AFTER;
    leases.review(now);
    let _ = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    now += SECOND;
    assert_eq!(leases.review(now), []);
    leases.suspected("a", now);
    assert_eq!(leases.review(now), [LeaseAction::Check("a".to_owned())]);
}

#[test]
fn contact_resumes_what_the_list_names_as_ready() {
    let mut leases = leases(false, &["a", "b", "c"]);
    let now = START + 10 * SECOND;
    leases.review(now);
    assert_eq!(leases.suspended_count(), 3);
    leases.listed("b", false);
    let resumed = leases.list_confirmed(now);
    assert_eq!(resumed, [resume("a", false), resume("c", false)]);
    assert_eq!(leases.suspended_count(), 0);
    assert_eq!(leases.review(now + SECOND), []);
}

#[test]
fn a_request_made_before_an_interruption_confirms_nothing() {
    let mut leases = leases(false, &["a"]);
    let now = START + 5 * SECOND;
    leases.interrupted(now, Interruption::Moved);
    assert_eq!(leases.list_confirmed(now - MILLISECOND), []);
    leases.review(now + 4 * SECOND + GRACE);
    assert_eq!(leases.suspended_count(), 1);
}

/// Workers that are used are checked, others only up to a number, and never many at a time.
#[test]
fn a_large_fleet_is_checked_in_part_and_in_turn() {
    let names: Vec<String> = (0..3_200).map(|number| format!("w{number}")).collect();
    let mut leases = leases(true, &[]);
    for name in &names {
        leases.listed(name, true);
    }
    for name in &names[..40] {
        leases.used(name, START);
    }
    let mut checked = BTreeSet::new();
    for now in (START..START + 60 * SECOND).step_by(REVIEW as usize) {
        let actions = leases.review(now);
        let checks: Vec<_> = actions
            .into_iter()
            .filter_map(|action| match action {
                LeaseAction::Check(worker) => Some(worker),
                _ => None,
            })
            .collect();
        assert!(checks.len() <= 20);
        for worker in checks {
            let _ = leases.check_ended(&worker, now, HealthCheckResult::Accepting, now);
            checked.insert(worker);
        }
    }
    assert!(names[..40].iter().all(|name| checked.contains(name)));
    assert!(checked.len() <= 64, "{}", checked.len());
    assert_eq!(leases.suspended_count(), names.len() - checked.len());
}

/// What happens in one step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Drain(usize),
    Interrupt(Interruption),
    Confirm,
    Send(usize),
}

fn step(workers: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..workers).prop_map(Step::Drain),
        1 => prop_oneof![
            Just(Interruption::Broken),
            Just(Interruption::Silent),
            Just(Interruption::Unreachable),
            Just(Interruption::Moved),
        ].prop_map(Step::Interrupt),
        1 => Just(Step::Confirm),
        12 => (0..workers).prop_map(Step::Send),
    ]
}

/// When what happened at `happened_at` counts as notified, by the pages' clocks.
fn notified_at(happened_at: Micros, interruptions: &[(Micros, Interruption)]) -> Micros {
    let by_interruption = interruptions
        .iter()
        .filter(|(at, _)| happened_at < *at)
        .map(|(at, cause)| match cause {
            Interruption::Broken => at + 2 * SECOND,
            Interruption::Silent | Interruption::Moved => at + 4 * SECOND,
            Interruption::Unreachable => at + NOTIFIED_AFTER,
        })
        .min();
    let by_age = happened_at + NOTIFIED_AFTER;
    by_interruption.map_or(by_age, |notified_at| notified_at.min(by_age))
}

/// A random run, given how each check ends.
fn run(steps: &[Step], health_checks: bool, answers: &[u8]) -> Result<(), TestCaseError> {
    let workers = ["a", "b", "c", "d"];
    let mut leases = leases(health_checks, &workers);
    let mut usable: BTreeSet<&str> = workers.into();
    let mut drained: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut interruptions = Vec::new();
    let mut now = START;
    for (step, answer) in steps.iter().zip(answers.iter().cycle()) {
        now += REVIEW;
        let mut actions = Vec::new();
        match step {
            Step::Drain(worker) => {
                drained.entry(workers[*worker]).or_insert(now);
            }
            Step::Interrupt(cause) => {
                interruptions.push((now, *cause));
                leases.interrupted(now, *cause);
            }
            Step::Confirm => {
                for worker in drained.keys() {
                    leases.listed(worker, false);
                    usable.remove(worker);
                }
                actions.extend(leases.list_confirmed(now));
                interruptions.clear();
            }
            Step::Send(worker) => {
                let worker = workers[*worker];
                if usable.contains(worker) && !drained.contains_key(worker) {
                    actions.extend(leases.accepted(worker, now, now));
                }
            }
        }
        actions.extend(leases.review(now));
        while let Some(action) = actions.pop() {
            match action {
                LeaseAction::Check(worker) => {
                    let result = match (drained.contains_key(worker.as_str()), answer % 8) {
                        (_, 0) => HealthCheckResult::Unreachable,
                        (true, _) => HealthCheckResult::NotAccepting,
                        (false, _) => HealthCheckResult::Accepting,
                    };
                    actions.extend(leases.check_ended(&worker, now, result, now));
                }
                LeaseAction::Suspend { worker, .. } => usable.retain(|known| *known != worker),
                LeaseAction::Resume { worker, .. } => {
                    usable.extend(workers.iter().filter(|known| **known == worker));
                }
            }
        }
        for (worker, drained_at) in &drained {
            let last = notified_at(*drained_at, &interruptions) + GRACE;
            let is_kept = now <= last || !usable.contains(worker);
            prop_assert!(is_kept, "{worker}: last {last}, now {now}");
        }
    }
    Ok(())
}

/// Whatever is lost and answered meanwhile.
#[test]
fn no_worker_is_usable_once_its_drain_counts_as_notified_and_the_grace_is_over() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(4), 50..400);
    let answers = proptest::collection::vec(any::<u8>(), 400);
    let inputs = (steps, any::<bool>(), answers);
    let result = runner.run(&inputs, |(steps, health_checks, answers)| {
        run(&steps, health_checks, &answers)
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}
