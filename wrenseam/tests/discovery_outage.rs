//! Front end processes while discovery is out of reach.
mod platform;

use platform::{
    cold_overload, late_arrivals, start_workers, wait_until, ClientSettings, Clients, Deployment,
    DiscoveryService, EventLog, FrontEnd, FrontEndSettings, Notified, Outage, StandInWorker,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const WORKERS: usize = 8;
const CLIENTS_PER_FRONT_END: usize = 6;
/// Front end processes that run.
const RUNNING: usize = 3;
/// A call's work at a worker.
const WORK: Duration = Duration::from_millis(15);
/// From the begin of an outage until workers drain.
const OUTAGE_BEFORE_DRAIN: Duration = Duration::from_millis(400);
/// What discovery has to tell counts as notified so long after it happened, ms.
const NOTIFIED_AFTER_MS: u64 = 7_000;
/// How long workers drain before they stop.
const DRAIN: Duration = Duration::from_secs(14);
/// The end of a drain, in which service is measured.
const LAST_PART: Duration = Duration::from_secs(2);

/// Front ends between stand-ins, all running and called.
struct Platform {
    start: Instant,
    deployment: Deployment,
    log: EventLog,
    discovery: DiscoveryService,
    workers: Vec<StandInWorker>,
    front_ends: Vec<FrontEnd>,
    clients: Clients,
}

impl Platform {
    fn start(deployment: Deployment) -> Platform {
        let (workers, log) = start_workers(WORKERS, WORK);
        let discovery = DiscoveryService::start(&log);
        let mut clients = Clients::new(1);
        let mut front_ends = Vec::new();
        for index in 0..RUNNING {
            let settings = FrontEndSettings {
                deployment: deployment.clone(),
                index,
                seed: 0x2a,
            };
            let front_end = FrontEnd::start(settings, &log, discovery.address);
            let client = ClientSettings {
                front_end: index,
                address: front_end.address,
                wait: Duration::from_millis(deployment.give_up_ms),
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

    /// Waits until the front ends serve and have confirmed their lists.
    fn wait_until_warm(&self) {
        wait_until("clients are served", Duration::from_secs(10), || {
            self.clients.served_between(self.start, Instant::now()) > 300
        });
        wait_until("lists are confirmed", Duration::from_secs(10), || {
            let is_confirmed =
                |front_end: &FrontEnd| front_end.figure("app.discovery.confirmed_ms_ago").is_some();
            self.front_ends.iter().all(is_confirmed)
        });
    }

    /// The workers to which most has come.
    fn busiest(&self, count: usize) -> Vec<StandInWorker> {
        let mut workers = self.workers.clone();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.arrivals().len()));
        workers.truncate(count);
        workers
    }

    fn drain(&self, workers: &[StandInWorker]) {
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
fn drains_that_discovery_cannot_report_get_no_work_once_they_count_as_notified(
    #[case] outage: Outage,
    #[values(3, 48)] front_ends: usize,
) {
    let mut platform = Platform::start(Deployment {
        front_ends,
        ..Deployment::default()
    });
    let since = Instant::now();
    std::thread::sleep(LAST_PART);
    let usual = platform.clients.served_between(since, Instant::now());
    platform.discovery.interrupt(outage);
    std::thread::sleep(OUTAGE_BEFORE_DRAIN);
    platform.drain(&platform.busiest(3));
    std::thread::sleep(DRAIN - LAST_PART);
    let since = Instant::now();
    std::thread::sleep(LAST_PART);
    let served = platform.clients.served_between(since, Instant::now());
    platform.clients.stop();
    let notified = Notified::unheard(platform.deployment.drain_grace_ms);
    let late = late_arrivals(&platform.workers, |_| notified, platform.start);
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
    assert!(
        served * 2 >= usual,
        "served {served}, {usual} before the outage"
    );
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
        let age = front_end.figure("app.discovery.confirmed_ms_ago");
        assert!(age.is_some_and(|age| age < NOTIFIED_AFTER_MS), "{age:?}");
    }
}

#[test]
fn front_ends_that_stood_still_send_nothing_to_workers_whose_drains_count_as_notified_meanwhile() {
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
    std::thread::sleep(LAST_PART);
    platform.clients.stop();
    let notified = Notified::unheard(platform.deployment.drain_grace_ms);
    let late = late_arrivals(&platform.workers, |_| notified, platform.start);
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

#[rstest]
#[case::refused(Outage::Refused)]
#[case::stalled(Outage::Stalled)]
fn a_worker_whose_restart_discovery_cannot_report_is_not_overloaded_while_it_is_cold(
    #[case] outage: Outage,
) {
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
        assert_eq!(front_end.figure("app.members_suspended"), Some(0));
    }
}
