//! The reading side of one connection to a worker: answers, each to the exchange that it belongs to.
use super::codec::{outcome, Decoder};
use super::connection::{State, What};
use crate::limits::Limits;
use crate::model::{AttemptReport, Payload};
use crate::net::{receive, timed_out, ReadOutcome};
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::Instant;
use wrenseam_policy::Outcome;

/// Reads answers until the connection ends.
pub(super) fn read_answers(
    mut stream: TcpStream,
    state: &State,
    reports: &CoreHandle,
    limits: &Limits,
) -> Result<(), String> {
    let (mut ring, mut decoder) = (Ring::new(limits.worker_ring), Decoder::default());
    stream
        .set_read_timeout(Some(limits.frame_stall))
        .map_err(|e| e.to_string())?;
    let end = loop {
        let asked = Instant::now();
        match receive(&mut ring, &mut stream) {
            Ok(ReadOutcome::Closed) => break Ok(()),
            Ok(ReadOutcome::Data) => {}
            // Guards against an answer that stops short: nothing more comes behind it.
            // (What came while we stood still lies there unread: that is no stop. Nor is a read that failed at once.)
            Ok(ReadOutcome::NotReady) => {
                let waited = asked.elapsed() >= limits.frame_stall / 2;
                if waited && decoder.midway() && nothing_lies(&stream) {
                    break Err("a frame stopped midway".to_owned());
                }
                continue;
            }
            Err(why) => break Err(why.to_string()),
        }
        match answers(&mut decoder, &mut ring, state, reports, limits.answer) {
            Ok(()) => {}
            // Guards against a stream that is out of step: nothing after this can be trusted.
            Err(why) => break Err(format!("bad frame: {why}")),
        }
    };
    let _ = stream.shutdown(Shutdown::Both);
    end
}

/// Whether nothing that came lies unread.
pub(super) fn nothing_lies(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(e) if timed_out(&e))
}

fn answers(
    decoder: &mut Decoder,
    ring: &mut Ring,
    state: &State,
    reports: &CoreHandle,
    most: usize,
) -> Result<(), String> {
    while let Some(frame) = decoder.next(ring, most)? {
        let outcome = outcome(frame.code).ok_or_else(|| format!("code {}", frame.code))?;
        // Guards against a spoilt code, which the check does not cover: what never ran has no body.
        if outcome.proves_not_executed() && !frame.body.is_empty() {
            return Err(format!("a body behind code {}", frame.code));
        }
        let exchange = {
            let mut table = state.table.lock().map_err(|_| "poisoned")?;
            table.heard = Some(Instant::now());
            // Guards against an answer to a frame that is not wholly out: the rest of it would follow, and might run.
            if table
                .open
                .get(&frame.id)
                .is_some_and(|e| e.end > state.progress.bytes())
            {
                return Err("an answer to what was not written".to_owned());
            }
            table.open.remove(&frame.id)
        };
        // An answer to what has ended already comes late and is dropped.
        let Some(exchange) = exchange else { continue };
        exchange.ticket.end();
        state.load.fetch_sub(1, Ordering::AcqRel);
        let number = |name: &str| frame.field(name).and_then(|v| v.parse().ok());
        match exchange.what {
            What::Order(order) => {
                reports.load_order_ended(order, outcome, number("slots_up").unwrap_or(0))
            }
            What::Probe => {}
            What::Attempt(key) => {
                let warm = match frame.field("detail") {
                    Some("resident") => Some(true),
                    Some("booted" | "rode") => Some(false),
                    _ => None,
                };
                let told = matches!(outcome, Outcome::Ok | Outcome::Rejected);
                let crowd = if told { number("company") } else { None };
                let payload = (outcome == Outcome::Ok).then_some(Payload::Bytes(frame.body));
                reports.attempt_ended(
                    key,
                    AttemptReport {
                        outcome,
                        replica_loaded: warm,
                        queue_depth: crowd,
                        payload,
                    },
                );
            }
        }
    }
    Ok(())
}
