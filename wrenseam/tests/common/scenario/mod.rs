//! Scenarios: texts with a step on each line that say what clients, workers and discovery services do and see.
//!
//!     client send CLASS KEY BODY WAIT_MS     a request; key `-` is none
//!     client expect served BODY | refused | failed | nothing
//!     client send part | endless             a request that stops midway; one whose body does not end
//!     client open N                          so many more connections that say nothing; the client gets a new one
//!     client expect closed                   the connection ends
//!     client close | abort                   closes; cancels the last request (v2: by closing)
//!     client flood                           from another connection, what means nothing, without end
//!     worker expect CLASS KEY BODY [same]    the next call at any worker; `same`: in the zone of the last
//!     worker expect nothing                  no call comes
//!     worker send ok BODY | full | miss | error      answers the last call
//!     worker send half | stall | spoilt      an answer that ends midway; one that stops midway; one whose checksum
//!                                            does not match
//!     worker hush                            ignores what else comes on the last call's connection
//!     worker expect closed                   the last call's connection ends
//!     worker close                           ends the last call's connection
//!     orders hold | load | answer            no worker answers orders or questions; nor orders to load, and of
//!                                            what is asked none is loaded; what was held back is answered, as all is
//!     board expect LAST                      the next watch at the configured discovery service, from this last event
//!     board send ID WORKER STATE             an event on the last watch
//!     board chatter                          comments on it from now on
//!     board close                            ends it
//!     list expect WORKER STATE               the program comes to hold this of a worker, or `absent`
//!     program reload [broken]                names the other discovery service (a file that is no JSON); SIGHUP
//!     program term                           SIGTERM
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
    pub fn run_scenario(&self, front: Protocol, scenario: &str) -> Vec<String> {
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
