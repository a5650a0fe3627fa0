//! Test scenarios: texts with one step per line, executed in order. `client` steps act on one client connection,
//! `worker` steps on the call that was received last, `discovery` steps on the watch that was received last. A step
//! that expects something waits up to 10 s for it, one that expects nothing waits 300 ms; the test fails if the
//! expectation is not met.
//!
//!     client send CLASS KEY BODY WAIT_MS     sends a request with this timeout; KEY is the idempotency key or `-`
//!     client send part                       sends a request that ends early
//!     client send endless                    sends a request without end, in the background
//!     client expect served BODY              the client receives an answer of success with this body
//!     client expect rejected                 the client receives a rejection that says when to retry
//!     client expect failed                   the client receives any other answer
//!     client expect nothing                  the client receives nothing and stays connected
//!     client expect closed                   the front end closes the client's connection
//!     client open N                          opens N connections that send nothing, then reconnects the client
//!     client close                           closes the client's connection
//!     client abort                           cancels the last request: FastCGI abort record, or close in v2
//!     client flood                           sends input without effect on a further connection, for up to 10 s
//!     worker expect CLASS KEY BODY           any worker receives this call; it becomes the last call
//!     worker expect CLASS KEY BODY same-zone a worker in the zone of the last call receives this call
//!     worker expect nothing                  no worker receives a call
//!     worker expect closed                   the front end closes the connection of the last call
//!     worker send ok BODY                    answers the last call with success and this body
//!     worker send rejected                   answers the last call: no capacity left, nothing ran
//!     worker send not-loaded                 answers the last call: function not loaded, nothing ran
//!     worker send error                      answers the last call: it failed and may have run
//!     worker send truncated                  sends an incomplete answer to the last call, then closes its connection
//!     worker send stalled                    sends an incomplete answer to the last call; its connection stays open
//!     worker send corrupt                    sends an answer with a wrong checksum (frames) or invalid JSON (v2)
//!     worker silence                         ignores all further frames on the last call's connection; no effect in v2
//!     worker close                           closes the connection of the last call
//!     orders hold                            all workers hold back the answers to load orders and queries
//!     orders hold-loads                      all workers hold back the answers to load orders, and answer queries
//!     orders answer                          all workers answer load orders and queries, including those held back
//!     discovery expect LAST                  the configured service receives a watch with `Last-Event-ID: LAST`
//!     discovery send ID WORKER STATE         sends event ID, which reports WORKER in lifecycle state STATE
//!     discovery comment                      sends a comment every 100 ms from now on, in the background
//!     discovery close                        closes the connection of the watch
//!     endpoint expect WORKER STATE           the administration API reports STATE of WORKER, or no entry if `absent`
//!     program reload                         configures the other discovery service and reloads with SIGHUP
//!     program reload corrupt                 makes the configuration invalid and reloads with SIGHUP
//!     program terminate                      sends SIGTERM to the front end
//!     wait MS                                pauses the scenario
mod interpreter;
mod step;

use super::harness::Harness;
use super::Protocol;
use interpreter::Interpreter;
use step::Step;

#[allow(dead_code, reason = "each test binary uses its own part")]
impl Harness {
    /// Runs a scenario with a client of this front. Returns the answers that the client received and the calls that
    /// workers received, one entry each, in the order of the steps.
    pub(crate) fn run_scenario(&self, front: Protocol, scenario: &str) -> Vec<String> {
        let lines = scenario.lines().map(str::trim);
        let steps: Vec<(&str, Step)> = lines
            .filter(|line| !line.is_empty())
            .map(|line| (line, Step::parse(line)))
            .collect();
        let mut interpreter = Interpreter::new(self, front);
        for (line, step) in steps {
            interpreter.execute(step, format!("{front:?}: {line}"));
        }
        interpreter.into_transcript()
    }
}
