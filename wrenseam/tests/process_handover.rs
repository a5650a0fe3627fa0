//! The handover while two processes of one front end run: which of them is active and sends to workers in slow start.
mod common;

use common::{admin_command, Harness, Program, Protocol};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Barrier;
use wrenseam::front::admin::POLL_INTERVAL;
use wrenseam::handover::Handover;

/// A second process starts at several moments (`phase`, in ms) relative to the polls of the first one, whose polls are
/// late by up to one interval (`late`, in ms). At no time may both be active, and at the end the new one must be.
#[rstest]
fn at_no_time_are_both_processes_active(
    #[values(0, 1, 120, 249)] phase: u64,
    #[values(0, 100, 250)] late: u64,
) {
    let interval = POLL_INTERVAL.as_millis() as u64;
    assert_eq!(interval, 250);
    let mut file = "a".to_owned();
    let mut polls = 0;
    let mut old = Handover::new("a".into(), None);
    let mut new = None::<Handover>;
    assert!(
        !old.is_standby(),
        "a process that replaces no other is active at once"
    );
    let mut next_poll = 0;
    let mut started_at = 0;
    for now in 0..5_000 {
        if now == 2_000 + phase {
            let handover = Handover::new("b".into(), Some(&file));
            file = handover.process().to_owned();
            new = Some(handover);
            started_at = now;
        }
        if now >= next_poll {
            old.observe(Some(&file));
            polls += 1;
            next_poll = now + interval + late * (polls % 2);
        }
        if let Some(new) = new.as_mut() {
            if (now - started_at).is_multiple_of(interval) {
                new.observe(Some(&file)); // never late, so that it becomes active as early as possible
            }
            assert!(
                old.is_standby() || new.is_standby(),
                "both are active {} ms after the start",
                now - started_at
            );
        }
    }
    assert!(old.is_standby() && !new.expect("started").is_standby());
}

/// Of two processes that start at the same time, only the one that was named last becomes active, also if the file is
/// missing later. A process that finds its own name in the file does not wait.
#[test]
fn one_process_is_active_after_concurrent_starts_or_a_missing_file() {
    let mut one = Handover::new("a".into(), Some("x"));
    let mut two = Handover::new("b".into(), Some("x"));
    for _ in 0..4 {
        one.observe(Some("b"));
        two.observe(Some("b"));
    }
    assert!(one.is_standby() && !two.is_standby());
    assert!(!two.observe(None));
    assert!(!Handover::new("a".into(), Some("a")).is_standby());
}

/// With an admin endpoint configured, a process writes its name to `$TMPDIR` for its successor.
#[test]
fn a_process_names_itself_in_tmpdir() {
    let harness = Harness::new(Protocol::Platform);
    let name = std::fs::read_to_string(harness.folder().join("wrenseam-process-t"))
        .expect("a file with the name");
    assert!(name.ends_with("-2a"), "{name}: does not end with the seed");
}

/// Rounds of commands at both processes, after each of which both have polled the file of exclusions.
const ROUNDS: usize = 12;

/// Sends each command to its admin endpoint, all at the same time. All must be confirmed.
fn send_at_once(commands: &[(SocketAddr, String)]) {
    let barrier = Barrier::new(commands.len());
    std::thread::scope(|scope| {
        for (address, command) in commands {
            let barrier = &barrier;
            scope.spawn(move || {
                barrier.wait();
                let reply = admin_command(*address, command);
                assert!(reply.starts_with("YES"), "{command}: {reply}");
            });
        }
    });
}

/// The number of workers that get no new work from this process.
fn unavailable_workers(address: SocketAddr) -> usize {
    let telemetry = admin_command(address, "telemetry\n");
    let (_, rest) = telemetry
        .split_once("app.members_unavailable:")
        .expect("the gauge");
    let (count, _) = rest.split_once('|').expect("a gauge");
    count.parse().expect("a number")
}

/// Guards against exclusions that are confirmed and then lost, when operators exclude workers at both processes of an
/// upgrade at the same time.
#[test]
fn exclusions_at_both_processes_at_the_same_time_all_stay_in_effect() {
    let harness = Harness::new(Protocol::Platform);
    let folder = harness.folder();
    let mut successor = Program::start(&folder, &folder.join("config.json"), &[]);
    let _front = successor.next_listen_address();
    let endpoints = [harness.admin_endpoint, successor.next_listen_address()];
    successor.forward_log("successor".to_owned());
    for round in 0..ROUNDS {
        let commands = |name: &str| -> Vec<(SocketAddr, String)> {
            (0..4)
                .map(|worker| {
                    (
                        endpoints[(worker + round) % 2],
                        format!("{name} w{worker}\n"),
                    )
                })
                .collect()
        };
        send_at_once(&commands("exclude"));
        std::thread::sleep(3 * POLL_INTERVAL);
        let unavailable = endpoints.map(unavailable_workers);
        assert_eq!(unavailable, [4, 4], "round {round}");
        send_at_once(&commands("include"));
        std::thread::sleep(3 * POLL_INTERVAL);
        let unavailable = endpoints.map(unavailable_workers);
        assert_eq!(unavailable, [0, 0], "round {round}");
    }
}
