//! The program between stand-in workers and discovery services, and what it listens on.
use super::clients::http_get;
use super::config::{
    changed, config_template, endpoints, instances, write_kserve_files, zone_index, ConfigFile,
    WORKERS,
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

/// Time between two looks at what the administration API shows.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The running program with four stand-in workers in two zones, and two discovery services of which it follows one.
pub(crate) struct Harness {
    program: Program,
    /// Where FastCGI clients connect.
    pub(crate) fastcgi_front: SocketAddr,
    /// Where KServe v2 clients connect.
    pub(crate) kserve_front: SocketAddr,
    /// The administration API, over HTTP.
    pub(crate) admin_api: SocketAddr,
    /// The admin endpoint, which reads command lines.
    #[allow(dead_code, reason = "each test binary uses its own part")]
    pub(crate) admin_endpoint: SocketAddr,
    /// Calls that came to any worker.
    pub(super) calls: Receiver<ReceivedCall>,
    pub(super) orders: Arc<OrderControl>,
    discovery_services: [DiscoveryService; 2],
    /// Index of the service that the configuration names.
    configured_service: Cell<usize>,
    config: ConfigFile,
}

#[allow(dead_code, reason = "each test binary uses its own part")]
impl Harness {
    /// Starts the program with workers of this protocol.
    pub(crate) fn new(workers: Protocol) -> Harness {
        Harness::with_config_changes(workers, &[])
    }

    /// Starts it with a configuration in which each first text is replaced by the second.
    pub(crate) fn with_config_changes(workers: Protocol, changes: &[(&str, &str)]) -> Harness {
        let folder = create_run_folder("");
        let (received, calls) = channel();
        let orders = Arc::<OrderControl>::default();
        let context = WorkerContext {
            calls: received,
            orders: orders.clone(),
        };
        let addresses: Vec<SocketAddr> = (0..WORKERS)
            .map(|worker| start_worker(workers, zone_index(worker), context.clone()))
            .collect();
        let discovery_services = [DiscoveryService::start(), DiscoveryService::start()];
        let (instances, endpoints) = match workers {
            Protocol::Platform => (instances(&addresses), String::new()),
            Protocol::Kserve => (String::new(), endpoints(&addresses)),
        };
        let template = changed(config_template(&instances), changes);
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

    fn wait_until_started(mut self) -> Harness {
        self.program.forward_log("program".to_owned());
        while !http_get(self.admin_api, "/healthz").starts_with("HTTP/1.1 200") {
            std::thread::sleep(POLL_INTERVAL);
        }
        self
    }

    /// Sends SIGTERM and waits for the program's end; whether it ended well.
    pub(crate) fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        self.program.wait()
    }

    /// Sends a command line to the admin endpoint; the reply.
    pub(crate) fn admin_command(&self, line: &str) -> String {
        admin_command(self.admin_endpoint, line)
    }

    /// The id of the program's process.
    pub(crate) fn pid(&self) -> u32 {
        self.program.pid()
    }

    /// Sends the program a signal, named as `kill` wants it.
    pub(crate) fn signal(&self, name: &str) {
        self.program.signal(name);
    }

    /// Names the other discovery service in the configuration, and has it read again.
    pub(super) fn reload_with_other_service(&self) {
        self.configured_service
            .set(1 - self.configured_service.get());
        self.config.write(self.discovery_service().address);
        self.signal("-HUP");
    }

    /// Has the program read a configuration that is no JSON.
    pub(super) fn reload_corrupt(&self) {
        self.config.corrupt();
        self.signal("-HUP");
    }

    /// The discovery service that the configuration names.
    pub(super) fn discovery_service(&self) -> &DiscoveryService {
        &self.discovery_services[self.configured_service.get()]
    }

    /// Answers the next call, of this class, at any worker; false if none comes within a second.
    pub(crate) fn answer_next_call(&self, class: &str) -> bool {
        let Ok(call) = self.calls.recv_timeout(Duration::from_secs(1)) else {
            return false;
        };
        assert_eq!(call.content.class, class);
        call.answer(&WorkerAnswer::Ok("DONE".to_owned()));
        true
    }

    /// The ids of the calls that came to any worker since they were last asked for.
    pub(crate) fn received_call_ids(&self) -> Vec<u64> {
        self.calls.try_iter().map(|call| call.id).collect()
    }

    /// The folder of the program's files, which is its TMPDIR too.
    pub(crate) fn folder(&self) -> PathBuf {
        let folder = self.config.path.parent();
        folder.expect("a folder").to_path_buf()
    }

    /// Waits until the administration API shows this state of a worker, or that it is `absent`.
    pub(crate) fn wait_for_endpoint(&self, worker: &str, state: &str, context: &str) {
        let since = Instant::now();
        loop {
            let response = http_get(self.admin_api, "/v1/state");
            if endpoint_state(&response, worker).as_deref() == Some(state) {
                return;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "{context}: {response}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// The state of a worker in an answer of the administration API; `absent` without an entry.
fn endpoint_state(response: &str, worker: &str) -> Option<String> {
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    let json = parse(body).expect("JSON");
    let endpoints = list(object(&json).expect("an object"), "endpoints");
    let entry = endpoints
        .iter()
        .filter_map(object)
        .find(|entry| text(entry, "name") == Some(worker));
    let state = entry.map_or(Some("absent"), |entry| text(entry, "state"));
    state.map(str::to_owned)
}
