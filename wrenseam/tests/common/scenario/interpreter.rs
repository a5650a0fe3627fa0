//! Executes the steps of a scenario on a running harness.
use super::super::clients::{flood, Client};
use super::super::discovery::WatchStream;
use super::super::harness::Harness;
use super::super::support::sockets::{connect, TEST_TIMEOUT};
use super::super::workers::ReceivedCall;
use super::super::{CallContent, Protocol, QUIET_PERIOD};
use super::step::{ClientStep, DiscoveryStep, ProgramStep, Step, WorkerStep};
use std::net::{SocketAddr, TcpStream};

/// State of a running scenario.
pub(crate) struct Interpreter<'h> {
    harness: &'h Harness,
    /// Protocol of the front that the client uses.
    front: Protocol,
    front_address: SocketAddr,
    client: Client,
    /// Client connections that stay open without sending anything.
    silent_connections: Vec<TcpStream>,
    /// The call that the last `worker expect` step received.
    last_call: Option<ReceivedCall>,
    /// The watch that the last `discovery expect` step received.
    last_watch: Option<WatchStream>,
    /// Answers that the client received and calls that workers received, in the order of the steps.
    transcript: Vec<String>,
    /// Front and text of the current step, shown if it fails.
    context: String,
}

impl<'h> Interpreter<'h> {
    /// Connects the client to the front of this protocol.
    pub(crate) fn new(harness: &'h Harness, front: Protocol) -> Interpreter<'h> {
        let front_address = match front {
            Protocol::Platform => harness.fastcgi_front,
            Protocol::Kserve => harness.kserve_front,
        };
        Interpreter {
            harness,
            front,
            front_address,
            client: Client::connect(front, front_address),
            silent_connections: Vec::new(),
            last_call: None,
            last_watch: None,
            transcript: Vec::new(),
            context: String::new(),
        }
    }

    /// Answers that the client received and calls that workers received, in the order of the steps.
    pub(crate) fn into_transcript(self) -> Vec<String> {
        self.transcript
    }

    /// Executes a step; `context` is shown if it fails.
    pub(crate) fn execute(&mut self, step: Step, context: String) {
        self.context = context;
        match step {
            Step::Client(step) => self.execute_client(step),
            Step::Worker(step) => self.execute_worker(step),
            Step::Orders(mode) => self.harness.orders.set(mode),
            Step::Discovery(step) => self.execute_discovery(step),
            Step::ExpectEndpoint { worker, state } => {
                self.harness
                    .wait_for_endpoint(&worker, &state, &self.context);
            }
            Step::Program(step) => self.execute_program(&step),
            Step::Wait(duration) => std::thread::sleep(duration),
        }
    }

    fn execute_client(&mut self, step: ClientStep) {
        match step {
            ClientStep::Send(request) => self.client.send(&request),
            ClientStep::SendPart => self.client.send_part(),
            ClientStep::SendEndless => self.client.send_endless(),
            ClientStep::Open(count) => self.open_connections(count),
            ClientStep::Flood => flood(self.front, self.front_address),
            ClientStep::Close => self.client.close(),
            ClientStep::Abort => self.client.abort(),
            ClientStep::ExpectAnswer(expected) => {
                let answer = self.client.read_answer(&self.context);
                assert_eq!(answer, expected, "{}", self.context);
                self.transcript.push(format!("client {answer:?}"));
            }
            ClientStep::ExpectNothing => self.client.expect_nothing(&self.context),
            ClientStep::ExpectClosed => self.client.expect_closed(&self.context),
        }
    }

    fn open_connections(&mut self, count: usize) {
        let address = self.front_address;
        self.silent_connections
            .extend((0..count).map(|_| connect(address)));
        self.client = Client::connect(self.front, address);
    }

    fn execute_worker(&mut self, step: WorkerStep) {
        match step {
            WorkerStep::ExpectCall { content, same_zone } => self.expect_call(&content, same_zone),
            WorkerStep::ExpectNothing => {
                let call = self.harness.calls.recv_timeout(QUIET_PERIOD);
                assert!(call.is_err(), "{}: a worker received a call", self.context);
            }
            WorkerStep::ExpectClosed => self.last_call().expect_closed(&self.context),
            WorkerStep::Answer(answer) => self.last_call().answer(&answer),
            WorkerStep::Silence => self.last_call().silence(),
            WorkerStep::Close => self.last_call().close(),
        }
    }

    fn expect_call(&mut self, expected: &CallContent, same_zone: bool) {
        let received = self.harness.calls.recv_timeout(TEST_TIMEOUT);
        let call = received.expect(&self.context);
        assert_eq!(call.content, *expected, "{}", self.context);
        if same_zone {
            assert_eq!(call.zone, self.last_call().zone, "{}", self.context);
        }
        self.transcript.push(format!("worker {:?}", call.content));
        self.last_call = Some(call);
    }

    fn last_call(&self) -> &ReceivedCall {
        self.last_call.as_ref().expect(&self.context)
    }

    fn execute_discovery(&mut self, step: DiscoveryStep) {
        match step {
            DiscoveryStep::ExpectWatch { last_event_id } => {
                let watches = &self.harness.discovery_service().watches;
                let watch = watches.recv_timeout(TEST_TIMEOUT).expect(&self.context);
                assert_eq!(watch.last_event_id, last_event_id, "{}", self.context);
                self.last_watch = Some(watch);
            }
            DiscoveryStep::SendEvent { id, worker, state } => {
                self.last_watch().send_event(&id, &worker, &state);
            }
            DiscoveryStep::SendComments => self.last_watch().send_comments(),
            DiscoveryStep::Close => self.last_watch().close(),
        }
    }

    fn last_watch(&self) -> &WatchStream {
        self.last_watch.as_ref().expect(&self.context)
    }

    fn execute_program(&mut self, step: &ProgramStep) {
        match step {
            ProgramStep::ReloadWithOtherService => self.harness.reload_with_other_service(),
            ProgramStep::ReloadCorrupt => self.harness.reload_corrupt(),
            ProgramStep::Terminate => self.harness.signal("-TERM"),
        }
    }
}
