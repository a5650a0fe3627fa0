//! Readiness leases: how long a confirmation that a worker is ready is relied on.
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
/// When the front end starts to watch the discovery service; all leases are confirmed then.
const START: Micros = 1_000 * SECOND;
/// By the protocol, an event counts as reported this long after it happened, received or not.
const REPORTED_AFTER: Micros = 7 * SECOND;
/// How long new work may still be sent to a worker once its drain counts as reported.
const GRACE: Micros = 500 * MILLISECOND;
const REVIEW_INTERVAL: Micros = 100 * MILLISECOND;

fn settings(health_checks: bool) -> Settings {
    Settings {
        drain_grace: GRACE,
        health_checks,
        ..Settings::default()
    }
}

/// The leases of these workers, confirmed at `START`.
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

/// Reviews from `START` to `end`, and returns the time of the first action that `is_wanted` accepts.
fn time_of_first(
    leases: &mut ReadinessLeases,
    end: Micros,
    is_wanted: impl Fn(&LeaseAction) -> bool,
) -> Option<Micros> {
    (START..end)
        .step_by(REVIEW_INTERVAL as usize)
        .find(|&now| leases.review(now).iter().any(&is_wanted))
}

fn is_suspension(action: &LeaseAction) -> bool {
    matches!(action, LeaseAction::Suspend { .. })
}

#[test]
fn no_worker_is_checked_or_suspended_while_discovery_responds() {
    let mut leases = leases(true, &["a", "b"]);
    for now in (START..START + 100 * SECOND).step_by(REVIEW_INTERVAL as usize) {
        if now % (5 * SECOND) == 0 {
            assert_eq!(leases.list_confirmed(now), []);
        }
        assert_eq!(leases.review(now), []);
    }
}

/// A drain that began just after the last confirmation counts as reported `reported_at_s` seconds after `START`.
#[rstest]
#[case::no_further_response(None, 7)]
#[case::unreachable(Some(Interruption::Unreachable), 7)]
#[case::broken(Some(Interruption::Broken), 3)]
#[case::silent(Some(Interruption::Silent), 5)]
#[case::moved(Some(Interruption::Moved), 5)]
fn an_unconfirmed_worker_is_suspended_within_the_grace_of_a_possible_drain(
    #[case] interruption: Option<Interruption>,
    #[case] reported_at_s: u64,
) {
    let mut leases = leases(false, &["a"]);
    if let Some(cause) = interruption {
        leases.interrupted(START + SECOND, cause);
    }
    let suspended_at = time_of_first(&mut leases, START + 20 * SECOND, is_suspension)
        .expect("the worker was not suspended");
    let reported_at = START + reported_at_s * SECOND;
    assert!((reported_at..reported_at + GRACE).contains(&suspended_at));
    assert_eq!(leases.suspended_count(), 1);
}

#[test]
fn leases_end_sooner_in_a_process_that_takes_over() {
    let mut leases = ReadinessLeases::new(&settings(false), 7);
    leases.watch_started(START, true);
    leases.listed("a", true);
    let suspended_at = time_of_first(&mut leases, START + 20 * SECOND, is_suspension)
        .expect("the worker was not suspended");
    let reported_at = START + 2 * SECOND;
    assert!((reported_at..reported_at + GRACE).contains(&suspended_at));
}

#[test]
fn without_a_discovery_service_no_worker_is_suspended() {
    let mut leases = ReadinessLeases::new(&settings(true), 7);
    leases.listed("a", true);
    assert_eq!(leases.review(START + 3_600 * SECOND), []);
}

#[test]
fn accepted_work_renews_the_lease_of_its_worker() {
    let mut leases = leases(false, &["a", "b"]);
    for now in (START..START + 60 * SECOND).step_by(REVIEW_INTERVAL as usize) {
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
fn a_health_check_before_the_lease_ends_renews_it_or_suspends_the_worker(
    #[case] result: HealthCheckResult,
    #[case] reason: Option<SuspendReason>,
) {
    let mut leases = leases(true, &["a"]);
    let check = LeaseAction::Check("a".to_owned());
    let is_check = |action: &LeaseAction| *action == check;
    let checked_at = time_of_first(&mut leases, START + 20 * SECOND, is_check)
        .expect("no health check was sent");
    assert!(checked_at < START + REPORTED_AFTER);
    let expected = reason.map(|reason| suspend("a", reason));
    let answered_at = checked_at + MILLISECOND;
    assert_eq!(
        leases.check_ended("a", checked_at, result, answered_at),
        expected
    );
    let later = leases.review(START + REPORTED_AFTER + GRACE);
    let lease_ended = later.contains(&suspend("a", SuspendReason::LeaseEnded));
    assert_eq!(lease_ended, result == HealthCheckResult::Unreachable);
}

#[rstest]
#[case::refused(&[HealthCheckResult::Refused], true)]
#[case::rejected_once(&[HealthCheckResult::NotAccepting], false)]
#[case::rejected_twice(&[HealthCheckResult::NotAccepting, HealthCheckResult::NotAccepting], true)]
fn a_worker_that_may_have_restarted_is_resumed_as_a_new_process(
    #[case] results: &[HealthCheckResult],
    #[case] may_have_restarted: bool,
) {
    let mut leases = leases(true, &["a"]);
    let mut now = START + REPORTED_AFTER;
    for &result in results {
        let _ = leases.check_ended("a", now, result, now);
        now += SECOND;
    }
    let resumed = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    assert_eq!(resumed, Some(resume("a", may_have_restarted)));
}

#[rstest]
#[case::after_the_last_confirmation(START + SECOND, true)]
#[case::before_the_last_confirmation(START - SECOND, false)]
fn a_connection_refused_after_the_last_confirmation_indicates_a_restart(
    #[case] refused_at: Micros,
    #[case] may_have_restarted: bool,
) {
    let mut leases = leases(true, &["a"]);
    leases.refused("a", refused_at);
    assert_eq!(leases.list_confirmed(START), []);
    assert_eq!(leases.review(START + 2 * SECOND), []);
    let now = START + REPORTED_AFTER;
    let actions = leases.review(now);
    let suspended = actions.contains(&suspend("a", SuspendReason::Refused));
    assert_eq!(suspended, may_have_restarted);
    assert!(actions.contains(&LeaseAction::Check("a".to_owned())));
    let later = now + MILLISECOND;
    let resumed = leases.check_ended("a", later, HealthCheckResult::Accepting, later);
    assert_eq!(resumed, may_have_restarted.then(|| resume("a", true)));
}

#[test]
fn a_worker_that_was_unconfirmed_too_long_is_resumed_as_a_new_process() {
    let mut leases = leases(true, &["a"]);
    let mut now = START + REPORTED_AFTER + GRACE;
    assert!(leases
        .review(now)
        .contains(&suspend("a", SuspendReason::LeaseEnded)));
    now += 2 * SECOND;
    let resumed = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    assert_eq!(resumed, Some(resume("a", true)));
}

#[test]
fn answers_to_work_sent_before_a_rejection_or_an_interruption_are_ignored() {
    let mut leases = leases(true, &["a", "b"]);
    let now = START + REPORTED_AFTER;
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
fn a_suspected_worker_is_checked_at_the_next_review() {
    let mut leases = leases(true, &["a"]);
    let mut now = START + REPORTED_AFTER;
    leases.review(now);
    let _ = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    now += SECOND;
    assert_eq!(leases.review(now), []);
    leases.suspected("a", now);
    assert_eq!(leases.review(now), [LeaseAction::Check("a".to_owned())]);
}

#[test]
fn regained_contact_resumes_the_workers_listed_as_ready() {
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

/// Guards against draining workers that are resumed with the list although they have just said that they take no new work:
/// they are checked, also while discovery responds, until they take some, or are no longer listed as ready.
#[rstest]
#[case::draining(HealthCheckResult::NotAccepting)]
#[case::stopped(HealthCheckResult::Refused)]
fn a_worker_that_takes_no_new_work_is_not_resumed_by_the_list(#[case] result: HealthCheckResult) {
    let mut leases = leases(true, &["a", "b"]);
    let mut now = START + REPORTED_AFTER;
    for worker in ["a", "b"] {
        assert!(leases.check_ended(worker, now, result, now).is_some());
    }
    for _ in 0..5 {
        now += SECOND;
        assert_eq!(leases.list_confirmed(now), []);
        let checks = ["a", "b"].map(|worker| LeaseAction::Check(worker.to_owned()));
        assert_eq!(leases.review(now), checks);
        assert_eq!(leases.check_ended("a", now, result, now), None);
        assert_eq!(leases.check_ended("b", now, result, now), None);
    }
    assert_eq!(leases.suspended_count(), 2);
    leases.listed("b", false);
    now += SECOND;
    assert_eq!(leases.review(now), [LeaseAction::Check("a".to_owned())]);
    let resumed = leases.check_ended("a", now, HealthCheckResult::Accepting, now);
    assert_eq!(resumed, Some(resume("a", true)));
    assert_eq!(leases.suspended_count(), 0);
    assert_eq!(leases.review(now + SECOND), []);
}

#[test]
fn a_confirmation_from_before_an_interruption_is_ignored() {
    let mut leases = leases(false, &["a"]);
    let now = START + 5 * SECOND;
    leases.interrupted(now, Interruption::Moved);
    assert_eq!(leases.list_confirmed(now - MILLISECOND), []);
    leases.review(now + 4 * SECOND + GRACE);
    assert_eq!(leases.suspended_count(), 1);
}

/// Health checks go to the workers in use and to a bounded number of others, and one review sends few of them.
#[test]
fn health_checks_of_many_workers_are_limited() {
    let names: Vec<String> = (0..3_200).map(|number| format!("w{number}")).collect();
    let mut leases = leases(true, &[]);
    for name in &names {
        leases.listed(name, true);
    }
    for name in &names[..40] {
        leases.used(name, START);
    }
    let mut checked = BTreeSet::new();
    for now in (START..START + 60 * SECOND).step_by(REVIEW_INTERVAL as usize) {
        let actions = leases.review(now);
        let checks: Vec<_> = actions
            .into_iter()
            .filter_map(|action| match action {
                LeaseAction::Check(worker) => Some(worker),
                _ => None,
            })
            .collect();
        assert!(
            checks.len() <= 20,
            "one review sent {} health checks",
            checks.len()
        );
        for worker in checks {
            let _ = leases.check_ended(&worker, now, HealthCheckResult::Accepting, now);
            checked.insert(worker);
        }
    }
    assert!(names[..40].iter().all(|name| checked.contains(name)));
    assert!(
        checked.len() <= 64,
        "{} workers were checked",
        checked.len()
    );
    assert_eq!(leases.suspended_count(), names.len() - checked.len());
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum Step {
    /// The worker at this position begins to drain.
    Drain(usize),
    /// Contact with discovery is lost.
    Interrupt(Interruption),
    /// Discovery reports all events so far.
    Confirm,
    /// The worker at this position is sent work if it is usable, and accepts it unless it drains.
    Send(usize),
}

fn any_step(workers: usize) -> impl Strategy<Value = Step> {
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

/// When an event of the time `happened_at` counts as reported by the protocol, given the interruptions since the last
/// confirmation.
fn reported_at(happened_at: Micros, interruptions: &[(Micros, Interruption)]) -> Micros {
    let by_interruption = interruptions
        .iter()
        .filter(|(at, _)| happened_at < *at)
        .map(|(at, cause)| match cause {
            Interruption::Broken => at + 2 * SECOND,
            Interruption::Silent | Interruption::Moved => at + 4 * SECOND,
            Interruption::Unreachable => at + REPORTED_AFTER,
        })
        .min();
    let by_age = happened_at + REPORTED_AFTER;
    by_interruption.map_or(by_age, |reported_at| reported_at.min(by_age))
}

/// Runs the steps, and checks after each that no draining worker is usable beyond the drain grace. The health checks of
/// a step get no answer where its value of `answers` is a multiple of eight.
fn run_steps(steps: &[Step], health_checks: bool, answers: &[u8]) -> Result<(), TestCaseError> {
    let workers = ["a", "b", "c", "d"];
    let mut leases = leases(health_checks, &workers);
    let mut usable: BTreeSet<&str> = workers.into();
    let mut draining: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut interruptions = Vec::new();
    let mut now = START;
    for (step, answer) in steps.iter().zip(answers.iter().cycle()) {
        now += REVIEW_INTERVAL;
        let mut actions = Vec::new();
        match step {
            Step::Drain(worker) => {
                draining.entry(workers[*worker]).or_insert(now);
            }
            Step::Interrupt(cause) => {
                interruptions.push((now, *cause));
                leases.interrupted(now, *cause);
            }
            Step::Confirm => {
                for worker in draining.keys() {
                    leases.listed(worker, false);
                    usable.remove(worker);
                }
                actions.extend(leases.list_confirmed(now));
                interruptions.clear();
            }
            Step::Send(worker) => {
                let worker = workers[*worker];
                if usable.contains(worker) && !draining.contains_key(worker) {
                    actions.extend(leases.accepted(worker, now, now));
                }
            }
        }
        actions.extend(leases.review(now));
        while let Some(action) = actions.pop() {
            match action {
                LeaseAction::Check(worker) => {
                    let result = match (draining.contains_key(worker.as_str()), answer % 8) {
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
        for (worker, drains_since) in &draining {
            let grace_end = reported_at(*drains_since, &interruptions) + GRACE;
            let is_respected = now <= grace_end || !usable.contains(worker);
            prop_assert!(
                is_respected,
                "{worker} is usable at {now}, its drain grace ended at {grace_end}"
            );
        }
    }
    Ok(())
}

/// Random runs of drains, interruptions, confirmations and work.
#[test]
fn a_draining_worker_is_not_usable_after_the_drain_grace() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(any_step(4), 50..400);
    let answers = proptest::collection::vec(any::<u8>(), 400);
    let inputs = (steps, any::<bool>(), answers);
    let result = runner.run(&inputs, |(steps, health_checks, answers)| {
        run_steps(&steps, health_checks, &answers)
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}
