//! The admin endpoint: replies to commands, readiness, drain and activation, exclusions, telemetry, and clients that
//! send no valid line.
mod common;

use common::{connect, fastcgi_request, read_fastcgi_answer, Harness, Protocol};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// The head of the response to a health check over FastCGI.
fn health(harness: &Harness) -> String {
    let mut stream = connect(harness.fastcgi_front);
    stream
        .write_all(&fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("written");
    read_fastcgi_answer(&mut stream).expect("an answer").head
}

/// Commands that are sent in this order, each with the beginning of its reply.
#[rstest]
#[case::readiness(vec![("readyz\n", "YES")])]
#[case::drain_and_activate(vec![
    ("evacuate\n", "YES"), ("readyz\n", "NO"), ("evacuate\n", "YES"), ("activate\n", "YES"), ("readyz\n", "YES"),
])]
#[case::invalid_lines(vec![
    ("dance\n", "NO"), ("readyz now\n", "NO"), ("exclude\n", "NO"), ("exclude a b\n", "NO"), ("\n", "NO"),
    ("readyz\r\n", "YES"),
])]
fn commands_are_answered_with_one_line(#[case] commands: Vec<(&str, &str)>) {
    let harness = Harness::new(Protocol::Platform);
    for (line, prefix) in commands {
        let reply = harness.admin_command(line);
        assert!(
            reply.starts_with(prefix) && reply.ends_with('\n') && reply.lines().count() == 1,
            "{line:?}: {reply:?}"
        );
    }
}

/// During a drain the health check over FastCGI fails. After `activate` it passes again.
#[test]
fn health_follows_the_drain() {
    let harness = Harness::new(Protocol::Platform);
    assert!(health(&harness).starts_with("Status: 200"));
    assert!(harness.admin_command("evacuate\n").starts_with("YES"));
    assert!(health(&harness).starts_with("Status: 503"));
    assert!(harness.admin_command("activate\n").starts_with("YES"));
    assert!(health(&harness).starts_with("Status: 200"));
}

/// During a drain an idle client connection is closed at once, and not only after the idle timeout of 5 s.
#[test]
fn a_drain_closes_idle_client_connections() {
    let harness = Harness::new(Protocol::Platform);
    let mut idle = connect(harness.fastcgi_front);
    idle.write_all(&fastcgi_request(1, &[("SCRIPT_NAME", "/healthz")], b""))
        .expect("written");
    read_fastcgi_answer(&mut idle).expect("an answer");
    assert!(harness.admin_command("evacuate\n").starts_with("YES"));
    let drained_at = Instant::now();
    idle.set_read_timeout(Some(Duration::from_secs(3)))
        .expect("a time-out");
    assert_eq!(idle.read(&mut [0; 16]).unwrap_or(1), 0, "closed");
    assert!(
        drained_at.elapsed() < Duration::from_millis(1_500),
        "closed after {:?}",
        drained_at.elapsed()
    );
}

/// Clients that never complete a line or send one that is too long do not delay the commands of others. They are
/// disconnected without a reply.
#[test]
fn silent_clients_and_oversized_lines_delay_no_other_command() {
    let harness = Harness::new(Protocol::Platform);
    let silent: Vec<_> = (0..4).map(|_| connect(harness.admin_endpoint)).collect();
    let mut long = connect(harness.admin_endpoint);
    let _ = long.write_all(&[b'x'; 300]);
    let sent_at = Instant::now();
    assert!(harness.admin_command("readyz\n").starts_with("YES"));
    assert!(
        sent_at.elapsed() < Duration::from_millis(500),
        "answered after {:?}",
        sent_at.elapsed()
    );
    let mut reply = String::new();
    let _ = long.read_to_string(&mut reply);
    assert_eq!(reply, "");
    for mut client in silent {
        client
            .set_read_timeout(Some(Duration::from_secs(3)))
            .expect("a time-out");
        assert_eq!(client.read(&mut [0; 16]).unwrap_or(1), 0, "closed");
    }
}

/// Commands with unknown worker ids are answered `NO`. A known worker may be excluded twice and included again. The
/// exclusions are written to `$TMPDIR`, where a successor process reads them.
#[test]
fn exclusions_are_acknowledged_and_written_to_tmpdir() {
    let harness = Harness::new(Protocol::Platform);
    assert!(harness.admin_command("exclude nobody\n").starts_with("NO"));
    assert!(harness.admin_command("include nobody\n").starts_with("NO"));
    assert!(harness.admin_command("exclude w1\n").starts_with("YES"));
    assert!(harness.admin_command("exclude w1\n").starts_with("YES"));
    harness.wait_for_endpoint("w1", "draining", "excluded");
    assert!(harness.admin_command("include w1\n").starts_with("YES"));
    harness.wait_for_endpoint("w1", "ready", "included");
    assert!(harness.admin_command("exclude w0\n").starts_with("YES"));
    let excluded =
        std::fs::read_to_string(harness.folder().join("wrenseam-excluded")).expect("written");
    assert_eq!(excluded, "w0\n");
}

/// The counters start at 0. After one request that was served with one attempt, and one excluded worker, the telemetry
/// shows these and no pending request, and ends with `END`.
#[test]
fn telemetry_counts_requests_attempts_and_members() {
    let harness = Harness::new(Protocol::Platform);
    let before = harness.admin_command("telemetry\n");
    assert!(
        before.contains("app.downstream_requests.tile-render.completed:0|c\n"),
        "{before}"
    );
    harness.run_scenario(
        Protocol::Platform,
        "
        client send tile-render - x 3000
        worker expect tile-render - x
        worker send ok DONE
        client expect served DONE",
    );
    assert!(harness.admin_command("exclude w3\n").starts_with("YES"));
    let reply = harness.admin_command("telemetry\n");
    for line in [
        "app.downstream_requests.tile-render.completed:1|c",
        "app.downstream_requests.tile-render.rejected:0|c",
        "app.downstream_requests.tile-order.failed:0|c",
        "app.upstream_requests:1|c",
        "app.pending:0|g",
        "app.members:4|g",
        "app.members_unavailable:1|g",
    ] {
        assert!(reply.lines().any(|l| l == line), "{line} in {reply}");
    }
    assert!(reply.ends_with("\nEND\n"), "{reply}");
}
