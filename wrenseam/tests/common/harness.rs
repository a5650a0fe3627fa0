//! Runs one front end process with stand-in workers and discovery services.
use super::clients::http_get;
use super::config::{
    config_template, endpoints_json, instances_json, replace_each, write_kserve_files, zone_index,
    ConfigFile, WORKER_COUNT,
};
use super::discovery::DiscoveryService;
use super::program::{admin_command, create_run_folder, Program};
use super::support::sockets::TEST_TIMEOUT;
use super::workers::{start_worker, OrderControl, ReceivedCall, WorkerAnswer, WorkerContext};
use super::Protocol;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::json::{list, object, parse, text};

/// Interval at which the administration API is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running front end with four stand-in workers in two zones and two stand-in discovery services. Its configuration
/// names one of the two services at a time.
pub(crate) struct Harness {
    program: Program,
    /// Address of the FastCGI front.
    pub(crate) fastcgi_front: SocketAddr,
    /// Address of the KServe v2 front.
    pub(crate) kserve_front: SocketAddr,
    /// Address of the administration API, which is served over HTTP.
    pub(crate) admin_api: SocketAddr,
    /// Address of the admin endpoint, which accepts command lines over TCP.
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) admin_endpoint: SocketAddr,
    /// Calls received by any worker, in order of arrival.
    pub(super) calls: Receiver<ReceivedCall>,
    /// How the workers answer load orders and queries.
    pub(super) orders: Arc<OrderControl>,
    discovery_services: [DiscoveryService; 2],
    /// Index of the discovery service that the configuration names; a reload switches it.
    configured_service: Cell<usize>,
    config: ConfigFile,
}

#[allow(dead_code, reason = "each test binary uses its own part")]
impl Harness {
    /// Starts the front end and four workers that speak `workers`, and waits until it is healthy.
    pub(crate) fn new(workers: Protocol) -> Harness {
        Harness::with_config_changes(workers, &[])
    }

    /// Like `new`, with each `(from, to)` of `changes` replaced once in the text of the configuration.
    pub(crate) fn with_config_changes(workers: Protocol, changes: &[(&str, &str)]) -> Harness {
        let folder = create_run_folder("");
        let (call_sender, calls) = channel();
        let orders = Arc::<OrderControl>::default();
        let context = WorkerContext {
            calls: call_sender,
            orders: orders.clone(),
        };
        let addresses: Vec<SocketAddr> = (0..WORKER_COUNT)
            .map(|worker| start_worker(workers, zone_index(worker), context.clone()))
            .collect();
        let discovery_services = [DiscoveryService::start(), DiscoveryService::start()];
        let (instances, endpoints) = match workers {
            Protocol::Platform => (instances_json(&addresses), String::new()),
            Protocol::Kserve => (String::new(), endpoints_json(&addresses)),
        };
        let template = replace_each(config_template(&instances), changes);
        let config = ConfigFile::create(&folder, template, discovery_services[0].address);
        let kserve_config = write_kserve_files(&folder, &endpoints);
        let environment = [("WRENSEAM_KSERVE", kserve_config.as_os_str())];
        let mut program = Program::start(&folder, &config.path, &environment);
        let harness = Harness {
            fastcgi_front: program.next_listen_address(),
            kserve_front: program.next_listen_address(),
            admin_api: program.next_listen_address(),
            admin_endpoint: program.next_listen_address(),
            program,
            calls,
            orders,
            discovery_services,
            configured_service: Cell::new(0),
            config,
        };
        harness.wait_until_started()
    }

    /// Forwards the log, and waits until the health check of the administration API succeeds.
    fn wait_until_started(mut self) -> Harness {
        self.program.forward_log("program".to_owned());
        while !http_get(self.admin_api, "/healthz").starts_with("HTTP/1.1 200") {
            std::thread::sleep(POLL_INTERVAL);
        }
        self
    }

    /// Sends SIGTERM and waits until the process exits. Returns whether it exited with status 0.
    pub(crate) fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        self.program.wait()
    }

    /// Sends a command line to the admin endpoint and returns the reply.
    pub(crate) fn admin_command(&self, line: &str) -> String {
        admin_command(self.admin_endpoint, line)
    }

    /// Process id of the front end.
    pub(crate) fn pid(&self) -> u32 {
        self.program.pid()
    }

    /// Sends a signal to the front end; `name` is an option of `kill`, such as `-TERM`.
    pub(crate) fn signal(&self, name: &str) {
        self.program.signal(name);
    }

    /// Writes a configuration that names the other discovery service, and reloads it with SIGHUP.
    pub(super) fn reload_with_other_service(&self) {
        self.configured_service
            .set(1 - self.configured_service.get());
        self.config.write(self.discovery_service().address);
        self.signal("-HUP");
    }

    /// Replaces the configuration by invalid JSON, and reloads it with SIGHUP.
    pub(super) fn reload_corrupt(&self) {
        self.config.corrupt();
        self.signal("-HUP");
    }

    /// The discovery service that the configuration names.
    pub(super) fn discovery_service(&self) -> &DiscoveryService {
        &self.discovery_services[self.configured_service.get()]
    }

    /// Answers the next call that any worker receives, with success; the call must be of this class. Returns false if
    /// no call arrives within 1 s.
    pub(crate) fn answer_next_call(&self, class: &str) -> bool {
        let Ok(call) = self.calls.recv_timeout(Duration::from_secs(1)) else {
            return false;
        };
        assert_eq!(call.content.class, class);
        call.answer(&WorkerAnswer::Ok("DONE".to_owned()));
        true
    }

    /// Frame ids of the calls that the workers received since the previous read of their calls; 0 for a KServe v2 call.
    pub(crate) fn received_call_ids(&self) -> Vec<u64> {
        self.calls.try_iter().map(|call| call.id).collect()
    }

    /// Directory of the front end's configuration, which is also its `TMPDIR`.
    pub(crate) fn folder(&self) -> PathBuf {
        let folder = self.config.path.parent();
        folder
            .expect("the configuration is in a directory")
            .to_path_buf()
    }

    /// Waits until the administration API reports `state` for a worker; the state `absent` stands for no entry.
    /// `context` is shown if the test fails.
    pub(crate) fn wait_for_endpoint(&self, worker: &str, state: &str, context: &str) {
        let started_at = Instant::now();
        loop {
            let response = http_get(self.admin_api, "/v1/state");
            if endpoint_state(&response, worker).as_deref() == Some(state) {
                return;
            }
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "{context}: {worker} is not {state}: {response}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// State of a worker in the response to `GET /v1/state`: `absent` if it has no entry, `None` if the entry has no state.
fn endpoint_state(response: &str, worker: &str) -> Option<String> {
    let (_, body) = response.split_once("\r\n\r\n").expect("response body");
    let json = parse(body).expect("JSON body");
    let endpoints = list(object(&json).expect("JSON object"), "endpoints");
    let entry = endpoints
        .iter()
        .filter_map(object)
        .find(|entry| text(entry, "name") == Some(worker));
    let state = entry.map_or(Some("absent"), |entry| text(entry, "state"));
    state.map(str::to_owned)
}
