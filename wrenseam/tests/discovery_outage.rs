//! Front end processes while the discovery service is unreachable: their workers drain and restart without a report.
mod platform;

use platform::{
    cold_overload, late_arrivals, start_workers, wait_until, ClientSettings, Clients, Deployment,
    DiscoveryService, DrainLimits, EventDelay, EventLog, FrontEnd, FrontEndSettings, Outage,
    ProcessLimits, SimulatedWorker,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const WORKERS: usize = 8;
const CLIENTS_PER_FRONT_END: usize = 6;
/// Number of front end processes that run, of those that the settings state.
const RUNNING_FRONT_ENDS: usize = 3;
/// Processing time of a call at a worker.
const CALL_TIME: Duration = Duration::from_millis(15);
/// Time from the start of an outage until workers drain.
const OUTAGE_BEFORE_DRAIN: Duration = Duration::from_millis(400);
/// Time in ms from a change of the endpoint list until it counts as notified to the front ends, even to those that did
/// not receive it.
const NOTIFIED_AFTER_MS: u64 = 7_000;
/// How long workers drain before they stop.
const DRAIN: Duration = Duration::from_secs(14);
/// Length of an outage that is longer than it takes until drains count as notified.
const OUTAGE: Duration = Duration::from_millis(8_500);
/// Length of the periods in which served requests are counted, before the outage and at the end of the drain.
const MEASURED_PERIOD: Duration = Duration::from_secs(2);

/// Front end processes with simulated clients, workers and discovery service, all running.
struct Platform {
    start: Instant,
    deployment: Deployment,
    log: EventLog,
    discovery: DiscoveryService,
    workers: Vec<SimulatedWorker>,
    front_ends: Vec<FrontEnd>,
    clients: Clients,
}

impl Platform {
    fn start(deployment: Deployment) -> Platform {
        let (workers, log) = start_workers(WORKERS, CALL_TIME);
        let discovery = DiscoveryService::start(&log);
        let mut clients = Clients::new(1);
        let mut front_ends = Vec::new();
        for index in 0..RUNNING_FRONT_ENDS {
            let settings = FrontEndSettings {
                deployment: deployment.clone(),
                index,
                seed: 0x2a,
                limits: ProcessLimits::default(),
                processor: None,
            };
            let front_end = FrontEnd::start(settings, &log, discovery.address);
            let client = ClientSettings {
                front_end: index,
                address: front_end.address,
                timeout: Duration::from_millis(deployment.give_up_ms),
                pause: Duration::from_millis(40),
            };
            clients.add(CLIENTS_PER_FRONT_END, client);
            front_ends.push(front_end);
        }
        let platform = Platform {
            start: Instant::now(),
            deployment,
            log,
            discovery,
            workers,
            front_ends,
            clients,
        };
        platform.wait_until_warm();
        platform
    }

    /// Waits until the front ends serve requests and have confirmed endpoint lists.
    fn wait_until_warm(&self) {
        wait_until("clients are served", Duration::from_secs(10), || {
            self.clients.served_between(self.start, Instant::now()) > 300
        });
        wait_until("lists are confirmed", Duration::from_secs(10), || {
            let is_confirmed =
                |front_end: &FrontEnd| front_end.metric("app.discovery.confirmed_ms_ago").is_some();
            self.front_ends.iter().all(is_confirmed)
        });
    }

    /// The `count` workers that have received most requests and load orders.
    fn busiest(&self, count: usize) -> Vec<SimulatedWorker> {
        let mut workers = self.workers.clone();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.arrivals().len()));
        workers.truncate(count);
        workers
    }

    fn drain(&self, workers: &[SimulatedWorker]) {
        for worker in workers {
            worker.drain();
        }
        let instances: Vec<String> = workers
            .iter()
            .map(|worker| worker.instance("draining"))
            .collect();
        self.log.publish(&instances);
    }
}

#[rstest]
#[case::refused(Outage::Refused)]
#[case::silent(Outage::Silent)]
#[case::stalled(Outage::Stalled)]
#[case::cut_short(Outage::CutShort)]
fn draining_workers_get_no_work_once_their_unreported_drains_count_as_notified(
    #[case] outage: Outage,
    #[values(3, 48)] front_ends: usize,
) {
    let mut platform = Platform::start(Deployment {
        front_ends,
        ..Deployment::default()
    });
    let since = Instant::now();
    std::thread::sleep(MEASURED_PERIOD);
    let served_before = platform.clients.served_between(since, Instant::now());
    platform.discovery.interrupt(outage);
    std::thread::sleep(OUTAGE_BEFORE_DRAIN);
    platform.drain(&platform.busiest(3));
    std::thread::sleep(DRAIN - MEASURED_PERIOD);
    let since = Instant::now();
    std::thread::sleep(MEASURED_PERIOD);
    let served = platform.clients.served_between(since, Instant::now());
    platform.clients.stop();
    let limits = DrainLimits::without_notice(platform.deployment.drain_grace_ms);
    let late = late_arrivals(&platform.workers, |_| limits, platform.start);
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
    assert!(
        served * 2 >= served_before,
        "served {served}, {served_before} before the outage"
    );
}

/// Checks that workers that drain while events are delayed get no work once their drains count as notified, which is
/// `notified_after` their start at the latest.
fn check_delayed_drains(front_ends: usize, delay: EventDelay, notified_after: Duration) {
    let mut platform = Platform::start(Deployment {
        front_ends,
        ..Deployment::default()
    });
    platform.discovery.delay_events(delay);
    std::thread::sleep(OUTAGE_BEFORE_DRAIN);
    platform.drain(&platform.busiest(3));
    std::thread::sleep(DRAIN);
    platform.clients.stop();
    let mut limits = DrainLimits::without_notice(platform.deployment.drain_grace_ms);
    limits.notified_after = limits.notified_after.min(notified_after);
    let late = late_arrivals(&platform.workers, |_| limits, platform.start);
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

/// Guards against a drain that is not heard of while discovery is slow and comments come all the while: each request was
/// replaced before the event came, and the first comment of the next one was taken for the news that nothing had changed.
#[rstest]
fn slow_discovery_hides_no_drains(
    #[values(1_500, 3_500, 5_000, 7_000, 12_000)] delay_ms: u64,
    #[values(3, 48)] front_ends: usize,
) {
    let delay = Duration::from_millis(delay_ms);
    check_delayed_drains(front_ends, EventDelay::FromRequest(delay), delay);
}

/// A connection on which comments come and an event never does is not relied on.
#[rstest]
fn a_watch_that_stops_without_an_error_hides_no_drains(#[values(3, 48)] front_ends: usize) {
    let notified_after = Duration::from_millis(NOTIFIED_AFTER_MS);
    check_delayed_drains(front_ends, EventDelay::UntilNextRequest, notified_after);
}

/// Guards against draining workers that are resumed after an outage although discovery has not told yet what is pending:
/// a comment was taken as proof that nothing is.
#[rstest]
fn draining_workers_are_not_resumed_before_slow_discovery_has_reported_their_drains(
    #[values(
        EventDelay::FromRequest(Duration::from_secs(2)),
        EventDelay::FromRequest(Duration::from_secs(4)),
        EventDelay::FromPublication(OUTAGE + Duration::from_secs(3)),
    )]
    delay: EventDelay,
    #[values(Outage::Refused, Outage::Stalled)] outage: Outage,
) {
    let mut platform = Platform::start(Deployment::default());
    platform.discovery.interrupt(outage);
    std::thread::sleep(OUTAGE_BEFORE_DRAIN);
    platform.drain(&platform.busiest(3));
    std::thread::sleep(OUTAGE - OUTAGE_BEFORE_DRAIN);
    platform.discovery.delay_events(delay);
    platform.discovery.restore();
    std::thread::sleep(DRAIN - OUTAGE);
    platform.clients.stop();
    let limits = DrainLimits::without_notice(platform.deployment.drain_grace_ms);
    let late = late_arrivals(&platform.workers, |_| limits, platform.start);
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

#[test]
fn a_list_that_changes_often_stays_confirmed() {
    let mut platform = Platform::start(Deployment::default());
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(12) {
        let worker = &platform.workers[0];
        platform.log.publish(&[worker.instance("ready")]);
        std::thread::sleep(Duration::from_millis(700));
    }
    platform.clients.stop();
    for front_end in &platform.front_ends {
        let age = front_end.metric("app.discovery.confirmed_ms_ago");
        assert!(age.is_some_and(|age| age < NOTIFIED_AFTER_MS), "{age:?}");
    }
}

#[test]
fn paused_front_ends_send_nothing_to_workers_whose_drains_count_as_notified_meanwhile() {
    let mut platform = Platform::start(Deployment::default());
    platform.discovery.interrupt(Outage::Refused);
    platform.drain(&platform.busiest(4));
    for front_end in &platform.front_ends {
        front_end.signal("-STOP");
    }
    std::thread::sleep(Duration::from_millis(NOTIFIED_AFTER_MS + 800));
    for front_end in &platform.front_ends {
        front_end.signal("-CONT");
    }
    std::thread::sleep(MEASURED_PERIOD);
    platform.clients.stop();
    let limits = DrainLimits::without_notice(platform.deployment.drain_grace_ms);
    let late = late_arrivals(&platform.workers, |_| limits, platform.start);
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

#[rstest]
#[case::refused(Outage::Refused)]
#[case::stalled(Outage::Stalled)]
fn a_worker_with_an_unreported_restart_is_not_overloaded_while_it_is_cold(#[case] outage: Outage) {
    const QUOTA_PER_S: u64 = 80;
    let mut platform = Platform::start(Deployment {
        quota_per_s: QUOTA_PER_S,
        ..Deployment::default()
    });
    platform.discovery.interrupt(outage);
    std::thread::sleep(Duration::from_secs(1));
    let worker = platform.busiest(1).remove(0);
    worker.stop();
    std::thread::sleep(Duration::from_secs(2));
    worker.restart();
    std::thread::sleep(Duration::from_secs(11));
    platform.clients.stop();
    let notified_at = worker.starts()[0] + Duration::from_millis(NOTIFIED_AFTER_MS);
    let capacity_per_s = QUOTA_PER_S as f64 / WORKERS as f64;
    let overload = cold_overload(&worker, notified_at, capacity_per_s);
    assert!(
        overload.is_none(),
        "calls in a second, allowed: {overload:?}"
    );
    for front_end in &platform.front_ends {
        assert_eq!(front_end.metric("app.members_suspended"), Some(0));
    }
}
