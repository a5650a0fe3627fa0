//! Simulated workers that speak KServe v2 over HTTP/1.1.
use super::support::http::{read_message, response};
use super::{leave_unanswered, Behaviour, FaultyWorker, MAX_ANSWER_DELAY_MS, MAX_REPEAT_DELAY_MS};
use std::io::{self, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;

/// Number of hexadecimal digits of a call's id.
const ID_DIGITS: usize = 16;

/// Answers requests until one side ends the connection.
pub(crate) fn serve(worker: &FaultyWorker, mut stream: TcpStream) -> io::Result<()> {
    loop {
        if worker.reset_at_random(&mut stream) {
            return Ok(());
        }
        let request = read_message(&mut stream)?;
        if !request.target().ends_with("/infer") {
            let loaded = response("200 OK", "", r#"{"parameters":{"slots_up":1}}"#);
            let _ = stream.write_all(&loaded); // the request is a load order
            continue;
        }
        let body = String::from_utf8_lossy(&request.body);
        if serve_call(worker, call_id(&body), &mut stream)?.is_break() {
            return Ok(());
        }
    }
}

/// The id in a call's body, in hexadecimal digits.
fn call_id(body: &str) -> &str {
    let (_, rest) = body.split_once(r#""id":""#).expect("an id");
    rest.get(..ID_DIGITS).expect("an id of full length")
}

/// Draws the behaviour for a call and carries it out. Returns whether to go on reading from the connection.
fn serve_call(
    worker: &FaultyWorker,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<ControlFlow<()>> {
    let behaviour = worker.receive(u64::from_str_radix(id, 16).expect("hexadecimal"));
    if let Some(next) = leave_unanswered(behaviour, stream) {
        return Ok(next);
    }
    if behaviour == Behaviour::ServeLate {
        std::thread::sleep(worker.random_delay(MAX_ANSWER_DELAY_MS));
    }
    let answer = answer(behaviour, id);
    stream.write_all(&answer)?;
    if behaviour.repeats_answer() {
        std::thread::sleep(worker.random_delay(MAX_REPEAT_DELAY_MS));
        let _ = stream.write_all(&answer); // the connection may have ended
    }
    Ok(ControlFlow::Continue(()))
}

/// Encodes the answer of a behaviour that has one.
fn answer(behaviour: Behaviour, id: &str) -> Vec<u8> {
    match behaviour {
        Behaviour::Fail => response("500 Internal Server Error", "", "{}"),
        Behaviour::NotLoaded => response("404 Not Found", "", "{}"),
        Behaviour::Reject | Behaviour::RejectTwice => {
            response("503 Service Unavailable", "Retry-After: 1\r\n", "")
        }
        Behaviour::NotBegun => response("429 Too Many Requests", "", "{}"),
        Behaviour::Corrupt => b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n".to_vec(),
        // The response of a proxy that lost the worker's response. Unlike a rejection it has no Retry-After.
        Behaviour::CorruptCode => response("503 Service Unavailable", "", ""),
        _ => {
            let output = format!(
                r#"{{"id":"{id}","outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["DONE"]}}]}}"#
            );
            response("200 OK", "", &output)
        }
    }
}
