//! The admin endpoint: one line in, `YES` or `NO` out; readiness, drain and return, and callers that misbehave.
mod common;

use common::{connect, door, fastcgi, fastcgi_answer, Speech, Stage};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

fn health(stage: &Stage) -> String {
    let mut stream = connect(stage.front);
    stream
        .write_all(&fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("written");
    fastcgi_answer(&mut stream).expect("an answer").0
}

/// Each call in turn, and the beginning of its answer.
#[rstest]
#[case::ready(vec![("readyz\n", "YES")])]
#[case::drain_and_back(vec![
    ("evacuate\n", "YES"), ("readyz\n", "NO"), ("evacuate\n", "YES"), ("activate\n", "YES"), ("readyz\n", "YES"),
])]
#[case::odd_lines(vec![
    ("dance\n", "NO"), ("readyz now\n", "NO"), ("exclude\n", "NO"), ("exclude a b\n", "NO"), ("\n", "NO"),
    ("readyz\r\n", "YES"),
])]
fn calls_are_answered_with_one_line(#[case] calls: Vec<(&str, &str)>) {
    let stage = Stage::new(Speech::Platform);
    for (line, begins) in calls {
        let told = door(stage.door, line);
        assert!(
            told.starts_with(begins) && told.ends_with('\n') && told.lines().count() == 1,
            "{line:?}: {told:?}"
        );
    }
}

/// A drain says no on the platform's health too, and back again after `activate`.
#[test]
fn health_follows_the_drain() {
    let stage = Stage::new(Speech::Platform);
    assert!(health(&stage).starts_with("Status: 200"));
    assert!(door(stage.door, "evacuate\n").starts_with("YES"));
    assert!(health(&stage).starts_with("Status: 503"));
    assert!(door(stage.door, "activate\n").starts_with("YES"));
    assert!(health(&stage).starts_with("Status: 200"));
}

/// In a drain, an idle client connection is closed at once, not after the usual 5 s.
#[test]
fn a_drain_closes_idle_client_connections() {
    let stage = Stage::new(Speech::Platform);
    let mut kept = connect(stage.front);
    kept.write_all(&fastcgi(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("written");
    fastcgi_answer(&mut kept).expect("an answer");
    assert!(door(stage.door, "evacuate\n").starts_with("YES"));
    let since = Instant::now();
    kept.set_read_timeout(Some(Duration::from_secs(3)))
        .expect("a time-out");
    assert_eq!(kept.read(&mut [0; 16]).unwrap_or(1), 0, "closed");
    assert!(
        since.elapsed() < Duration::from_millis(1_500),
        "closed after {:?}",
        since.elapsed()
    );
}

/// Callers that never finish a line, or send too much, hold up nobody; they are closed without a reply.
#[test]
fn silent_and_long_callers_hold_nobody_up() {
    let stage = Stage::new(Speech::Platform);
    let silent: Vec<_> = (0..4).map(|_| connect(stage.door)).collect();
    let mut long = connect(stage.door);
    let _ = long.write_all(&[b'x'; 300]);
    let since = Instant::now();
    assert!(door(stage.door, "readyz\n").starts_with("YES"));
    assert!(
        since.elapsed() < Duration::from_millis(500),
        "answered after {:?}",
        since.elapsed()
    );
    let mut told = String::new();
    let _ = long.read_to_string(&mut told);
    assert_eq!(told, "");
    for mut caller in silent {
        caller
            .set_read_timeout(Some(Duration::from_secs(3)))
            .expect("a time-out");
        assert_eq!(caller.read(&mut [0; 16]).unwrap_or(1), 0, "closed");
    }
}

/// Unknown ids are answered no; known ones may be excluded twice and included again, and a new process of
/// the front end that shares TMPDIR holds the exclusions.
#[test]
fn exclusions_are_answered_and_kept_in_tmpdir() {
    let stage = Stage::new(Speech::Platform);
    assert!(door(stage.door, "exclude nobody\n").starts_with("NO"));
    assert!(door(stage.door, "include nobody\n").starts_with("NO"));
    assert!(door(stage.door, "exclude w1\n").starts_with("YES"));
    assert!(door(stage.door, "exclude w1\n").starts_with("YES"));
    stage.listed("w1", "draining", "excluded");
    assert!(door(stage.door, "include w1\n").starts_with("YES"));
    stage.listed("w1", "ready", "included");
    assert!(door(stage.door, "exclude w0\n").starts_with("YES"));
    let kept = std::fs::read_to_string(stage.folder().join("wrenseam-excluded")).expect("kept");
    assert_eq!(kept, "w0\n");
}

/// The figures count from 0: one call served, one attempt written, the members listed, the excluded one
/// avoided, nothing pending; then `END`.
#[test]
fn telemetry_tells_what_was_done() {
    let stage = Stage::new(Speech::Platform);
    let before = door(stage.door, "telemetry\n");
    assert!(
        before.contains("app.downstream_requests.tile-render.completed:0|c\n"),
        "{before}"
    );
    stage.play(
        Speech::Platform,
        "
        client send tile-render - x 3000
        worker expect tile-render - x
        worker send ok DONE
        client expect served DONE",
    );
    assert!(door(stage.door, "exclude w3\n").starts_with("YES"));
    let told = door(stage.door, "telemetry\n");
    for line in [
        "app.downstream_requests.tile-render.completed:1|c",
        "app.downstream_requests.tile-render.rejected:0|c",
        "app.downstream_requests.tile-order.failed:0|c",
        "app.upstream_requests:1|c",
        "app.pending:0|g",
        "app.members:4|g",
        "app.members_unavailable:1|g",
    ] {
        assert!(told.lines().any(|l| l == line), "{line} in {told}");
    }
    assert!(told.ends_with("\nEND\n"), "{told}");
}
