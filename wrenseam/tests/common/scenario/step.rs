//! The steps of a scenario, parsed from their text. The documentation of the `scenario` module lists them.
use super::super::clients::{ClientAnswer, ClientRequest};
use super::super::workers::{OrderMode, WorkerAnswer};
use super::super::CallContent;
use std::time::Duration;

/// Word in a step for a call without an idempotency key.
const NO_KEY: &str = "-";

/// One step of a scenario.
pub(crate) enum Step {
    Client(ClientStep),
    Worker(WorkerStep),
    /// Sets how all workers answer load orders and queries.
    Orders(OrderMode),
    Discovery(DiscoveryStep),
    /// Waits until the administration API reports this state of a worker.
    ExpectEndpoint {
        worker: String,
        state: String,
    },
    Program(ProgramStep),
    Wait(Duration),
}

/// An action of the client, or what it must receive.
pub(crate) enum ClientStep {
    Send(ClientRequest),
    /// Sends a request that ends early.
    SendPart,
    /// Sends a request without end.
    SendEndless,
    /// Opens this many connections that send nothing, and reconnects the client after them.
    Open(usize),
    /// Sends input without effect on a further connection.
    Flood,
    Close,
    /// Cancels the last request.
    Abort,
    ExpectAnswer(ClientAnswer),
    ExpectNothing,
    ExpectClosed,
}

/// An action of the workers, or what they must receive. `ExpectCall` and `ExpectNothing` concern all workers, the
/// others the connection of the last call.
pub(crate) enum WorkerStep {
    ExpectCall {
        content: CallContent,
        /// Whether the call must arrive at a worker in the zone of the previous call.
        same_zone: bool,
    },
    ExpectNothing,
    ExpectClosed,
    Answer(WorkerAnswer),
    /// Ignores further frames.
    Silence,
    Close,
}

/// An action of the discovery service, or the watch that it must receive. All but `ExpectWatch` concern the last watch.
pub(crate) enum DiscoveryStep {
    ExpectWatch {
        last_event_id: String,
    },
    SendEvent {
        id: String,
        worker: String,
        state: String,
    },
    SendComments,
    Close,
}

/// An action on the front end process.
pub(crate) enum ProgramStep {
    ReloadWithOtherService,
    ReloadCorrupt,
    Terminate,
}

impl Step {
    /// Parses a line; fails the test if it is not a step.
    pub(crate) fn parse(line: &str) -> Step {
        let words: Vec<&str> = line.split_whitespace().collect();
        Step::from_words(&words).unwrap_or_else(|| panic!("not a step of a scenario: {line}"))
    }

    fn from_words(words: &[&str]) -> Option<Step> {
        Some(match *words {
            ["client", ref rest @ ..] => Step::Client(ClientStep::from_words(rest)?),
            ["worker", ref rest @ ..] => Step::Worker(WorkerStep::from_words(rest)?),
            ["orders", "answer"] => Step::Orders(OrderMode::Answer),
            ["orders", "hold"] => Step::Orders(OrderMode::Hold),
            ["orders", "hold-loads"] => Step::Orders(OrderMode::HoldLoads),
            ["discovery", ref rest @ ..] => Step::Discovery(DiscoveryStep::from_words(rest)?),
            ["endpoint", "expect", worker, state] => Step::ExpectEndpoint {
                worker: worker.to_owned(),
                state: state.to_owned(),
            },
            ["program", "reload"] => Step::Program(ProgramStep::ReloadWithOtherService),
            ["program", "reload", "corrupt"] => Step::Program(ProgramStep::ReloadCorrupt),
            ["program", "terminate"] => Step::Program(ProgramStep::Terminate),
            ["wait", ms] => Step::Wait(Duration::from_millis(ms.parse().ok()?)),
            _ => return None,
        })
    }
}

impl ClientStep {
    fn from_words(words: &[&str]) -> Option<ClientStep> {
        Some(match *words {
            ["send", "part"] => ClientStep::SendPart,
            ["send", "endless"] => ClientStep::SendEndless,
            ["send", class, key, body, timeout] => ClientStep::Send(ClientRequest {
                content: call_content(class, key, body),
                timeout_ms: timeout.parse().ok()?,
            }),
            ["open", count] => ClientStep::Open(count.parse().ok()?),
            ["flood"] => ClientStep::Flood,
            ["close"] => ClientStep::Close,
            ["abort"] => ClientStep::Abort,
            ["expect", "nothing"] => ClientStep::ExpectNothing,
            ["expect", "closed"] => ClientStep::ExpectClosed,
            ["expect", "served", body] => {
                ClientStep::ExpectAnswer(ClientAnswer::Served(body.to_owned()))
            }
            ["expect", "rejected"] => ClientStep::ExpectAnswer(ClientAnswer::Rejected),
            ["expect", "failed"] => ClientStep::ExpectAnswer(ClientAnswer::Failed),
            _ => return None,
        })
    }
}

impl WorkerStep {
    fn from_words(words: &[&str]) -> Option<WorkerStep> {
        Some(match *words {
            ["expect", "nothing"] => WorkerStep::ExpectNothing,
            ["expect", "closed"] => WorkerStep::ExpectClosed,
            ["expect", class, key, body] => WorkerStep::ExpectCall {
                content: call_content(class, key, body),
                same_zone: false,
            },
            ["expect", class, key, body, "same-zone"] => WorkerStep::ExpectCall {
                content: call_content(class, key, body),
                same_zone: true,
            },
            ["send", ref rest @ ..] => WorkerStep::Answer(worker_answer(rest)?),
            ["silence"] => WorkerStep::Silence,
            ["close"] => WorkerStep::Close,
            _ => return None,
        })
    }
}

impl DiscoveryStep {
    fn from_words(words: &[&str]) -> Option<DiscoveryStep> {
        Some(match *words {
            ["expect", last_event_id] => DiscoveryStep::ExpectWatch {
                last_event_id: last_event_id.to_owned(),
            },
            ["send", id, worker, state] => DiscoveryStep::SendEvent {
                id: id.to_owned(),
                worker: worker.to_owned(),
                state: state.to_owned(),
            },
            ["comment"] => DiscoveryStep::SendComments,
            ["close"] => DiscoveryStep::Close,
            _ => return None,
        })
    }
}

fn call_content(class: &str, key: &str, body: &str) -> CallContent {
    CallContent {
        class: class.to_owned(),
        idempotency_key: (key != NO_KEY).then(|| key.to_owned()),
        body: body.to_owned(),
    }
}

fn worker_answer(words: &[&str]) -> Option<WorkerAnswer> {
    Some(match *words {
        ["ok", body] => WorkerAnswer::Ok(body.to_owned()),
        ["rejected"] => WorkerAnswer::Rejected,
        ["not-loaded"] => WorkerAnswer::NotLoaded,
        ["error"] => WorkerAnswer::Error,
        ["truncated"] => WorkerAnswer::Truncated,
        ["stalled"] => WorkerAnswer::Stalled,
        ["corrupt"] => WorkerAnswer::Corrupt,
        _ => return None,
    })
}
