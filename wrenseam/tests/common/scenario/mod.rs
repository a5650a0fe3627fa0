//! Scenarios: texts with a step on each line that say what clients, workers and discovery services do and see.
//!
//!     client send CLASS KEY BODY WAIT_MS     a request; key `-` is none
//!     client send part | endless             a request that stops midway; one whose body does not end
//!     client expect served BODY | rejected | failed | nothing
//!     client expect closed                   the connection ends
//!     client open N                          so many more connections that say nothing; the client gets a new one
//!     client close | abort                   closes; cancels the last request (v2: by closing)
//!     client flood                           from another connection, what means nothing, without end
//!     worker expect CLASS KEY BODY           the next call at any worker
//!     worker expect CLASS KEY BODY same-zone the next call at any worker in the zone of the last call
//!     worker expect nothing                  no call comes
//!     worker expect closed                   the last call's connection ends
//!     worker send ok BODY | rejected | not-loaded | error
//!                                            answers the last call
//!     worker send truncated | stalled        an answer that stops midway, where the connection ends or stays
//!     worker send corrupt                    an answer whose checksum does not match
//!     worker silence                         ignores what else comes on the last call's connection
//!     worker close                           ends the last call's connection
//!     orders hold                            no worker answers orders to load, or questions what is loaded
//!     orders hold-loads                      none answers orders to load; questions say that nothing is loaded
//!     orders answer                          all are answered, those that were held back too
//!     discovery expect LAST                  the next watch at the configured discovery service, from this last event
//!     discovery send ID WORKER STATE         an event on the last watch
//!     discovery comment                      comments on it from now on
//!     discovery close                        ends it
//!     endpoint expect WORKER STATE           the program comes to hold this of a worker, or `absent`
//!     program reload                         names the other discovery service in the configuration; SIGHUP
//!     program reload corrupt                 makes the configuration unreadable; SIGHUP
//!     program terminate                      SIGTERM
//!     wait MS
mod interpreter;
mod step;

use super::harness::Harness;
use super::Protocol;
use interpreter::Interpreter;
use step::Step;

#[allow(dead_code, reason = "each test binary uses its own part")]
impl Harness {
    /// Runs a scenario through one front; what clients and workers saw, line by line.
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
