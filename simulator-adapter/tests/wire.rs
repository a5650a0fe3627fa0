//! The adapter at its edges: odd input, and a short talk with one gateway.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn talk(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may end before it has read everything; what it wrote is judged.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn end_of_input_ends_it_cleanly() {
    let out = talk("{\"FRAME\":{\"moment\":1,\"n\":4}}\n{\"COMMIT\":{}}\n");
    assert!(out.status.success());
    assert_eq!(
        String::from_utf8_lossy(&out.stdout),
        "{\"READY\":{\"n\":4}}\n"
    );
}

#[test]
fn what_is_not_the_protocol_ends_it_with_a_message_that_names_the_line() {
    let frame = "{\"FRAME\":{\"moment\":1,\"n\":1}}\n";
    for bad in [
        "nonsense",
        "[]",
        "{}",
        "{\"ALARM\":{\"gateway\":0}}x",
        "{\"JOB_IN\":3}",
        "{\"WHAT\":{}}",
    ] {
        let out = talk(&format!("{frame}{bad}\n"));
        let message = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{bad}");
        assert!(
            message.contains("line 2") && message.lines().count() == 1,
            "{bad}: {message}"
        );
    }
}

#[test]
fn unknown_fields_and_settings_are_skipped_and_a_request_is_asked_for() {
    let input = concat!(
        "{\"FRAME\":{\"moment\":1000,\"n\":1,\"new\":1}}\n",
        "{\"SPAWN\":{\"gateway\":2,\"salt\":5,\"conf\":{\"novel\":{\"a\":[]},\"family-info\":{\"orders\":true}}}}\n",
        "{\"DISCOVERY\":{\"gateway\":2,\"mode\":\"remembered\",\"rev\":1,\"elements\":",
        "[{\"host\":\"h1\",\"mode\":\"on\",\"az\":\"z\",\"odd\":0}]}}\n",
        "{\"JOB_IN\":{\"gateway\":2,\"id\":9,\"qos\":\"c\",\"image\":\"00000000000000ff\",\"left\":900,\"x\":1}}\n",
        "{\"COMMIT\":{}}\n",
    );
    let out = talk(input);
    let reply = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let asked =
        "{\"START_COPY\":{\"copies\":0,\"gateway\":2,\"host\":\"h1\",\"image\":\"00000000000000ff\"}}";
    assert!(reply.contains(asked), "{reply}");
}
