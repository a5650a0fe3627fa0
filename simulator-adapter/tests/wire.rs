//! Runs the adapter as a process: end of input, invalid input, unknown fields, and a request to one front end.
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on this input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    // The adapter may exit before it has read all input, so a failed write is no error.
    let _ = child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes());
    child
        .wait_with_output()
        .expect("cannot read the adapter's output")
}

#[test]
fn the_adapter_exits_successfully_at_the_end_of_input() {
    let out = run_adapter("{\"FRAME\":{\"moment\":1,\"n\":4}}\n{\"COMMIT\":{}}\n");
    assert!(out.status.success());
    assert_eq!(
        String::from_utf8_lossy(&out.stdout),
        "{\"READY\":{\"n\":4}}\n"
    );
}

#[test]
fn invalid_input_ends_the_adapter_with_an_error_that_names_the_line() {
    let frame = "{\"FRAME\":{\"moment\":1,\"n\":1}}\n";
    for invalid in [
        "nonsense",
        "[]",
        "{}",
        "{\"ALARM\":{\"gateway\":0}}x",
        "{\"JOB_IN\":3}",
        "{\"WHAT\":{}}",
    ] {
        let out = run_adapter(&format!("{frame}{invalid}\n"));
        let message = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{invalid}");
        assert!(
            message.contains("line 2") && message.lines().count() == 1,
            "{invalid}: {message}"
        );
    }
}

#[test]
fn unknown_fields_and_settings_are_ignored_and_a_request_leads_to_a_poll() {
    let input = concat!(
        "{\"FRAME\":{\"moment\":1000,\"n\":1,\"new\":1}}\n",
        "{\"SPAWN\":{\"gateway\":2,\"salt\":5,\"conf\":{\"novel\":{\"a\":[]},\"family-info\":{\"orders\":true}}}}\n",
        "{\"DISCOVERY\":{\"gateway\":2,\"mode\":\"remembered\",\"rev\":1,\"elements\":",
        "[{\"host\":\"h1\",\"mode\":\"on\",\"az\":\"z\",\"odd\":0}]}}\n",
        "{\"JOB_IN\":{\"gateway\":2,\"id\":9,\"qos\":\"c\",\"image\":\"00000000000000ff\",\"left\":900,\"x\":1}}\n",
        "{\"COMMIT\":{}}\n",
    );
    let out = run_adapter(input);
    let reply = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let poll =
        "{\"START_COPY\":{\"copies\":0,\"gateway\":2,\"host\":\"h1\",\"image\":\"00000000000000ff\"}}";
    assert!(reply.contains(poll), "no poll in the reply: {reply}");
}
