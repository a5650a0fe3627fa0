//! Starts and runs one front end process.
//!
//! The core starts first, then the sources of endpoints and exclusions, and the listeners last, so that no client is
//! accepted before the parts that serve it run.
use crate::config::{Config, KserveConfig};
use crate::core::{Core, FleetAdmission};
use crate::discovery::address::DiscoveryAddress;
use crate::discovery::watch::WatchState;
use crate::discovery::{client, xds};
use crate::executed_ids::{self, ExecutedIds};
use crate::front::admin::{self, ActiveProcess};
use crate::front::messages::{self, HandoverContent};
use crate::front::{self, Listener, ListenerContext};
use crate::limits::Limits;
use crate::model::TransportProtocol;
use crate::net::spawn;
use crate::process_state::ProcessState;
use crate::queue::{CoreHandle, Message};
use crate::start_error::StartError;
use crate::{gossip, shutdown};
use may::net::TcpListener;
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

/// How many idle coroutines the scheduler keeps for reuse.
const COROUTINE_POOL: usize = 64;

/// The stack size of a coroutine that accepts connections, in bytes.
const ACCEPT_STACK: usize = 64 * 1024;

/// Runs one front end until a signal ends it and its connections have closed or the shutdown's time limit has passed.
///
/// # Errors
///
/// [`StartError`] names the part that could not be started. Parts that were started before it run until the process
/// exits.
pub fn run(config: Config, signals: Signals) -> Result<(), StartError> {
    log_config_faults(&config);
    configure_coroutines(&config.limits);
    let (core_handle, inbox) = core_queue();
    let mut server = Server::new(config, core_handle);
    server.start_core(inbox)?;
    let discovery = server.start_discovery()?;
    let active_process = server.read_predecessor_state();
    let listeners = server.start_listeners()?;
    server.start_admin_endpoint(active_process)?;
    server.wait(signals, &listeners, &discovery);
    Ok(())
}

fn log_config_faults(config: &Config) {
    for fault in &config.faults {
        log_line!("settings: {fault}; taken as not stated");
    }
}

/// Configures the coroutine scheduler. A front end runs on one processor core, where more scheduler threads would not
/// run in parallel.
fn configure_coroutines(limits: &Limits) {
    may::config()
        .set_workers(1)
        .set_stack_size(limits.coroutine_stack_bytes / size_of::<usize>())
        .set_pool_capacity(COROUTINE_POOL);
    may::config().set_worker_pin(false);
}

fn core_queue() -> (CoreHandle, Receiver<Message>) {
    let (sender, inbox) = channel();
    (CoreHandle::new(sender), inbox)
}

/// The state that the parts of the process are started with.
struct Server {
    config: Config,
    core: CoreHandle,
    limits: Arc<Limits>,
    process_state: Arc<ProcessState>,
    listener_context: ListenerContext,
}

impl Server {
    fn new(config: Config, core: CoreHandle) -> Self {
        let limits = Arc::new(config.limits.clone());
        let process_state = Arc::new(ProcessState::default());
        let digest = Config::configuration_digest(config.settings_digest, config.discovery_service);
        process_state.config_digest.store(digest, Ordering::Release);
        let listener_context =
            ListenerContext::new(core.clone(), limits.clone(), process_state.clone());
        Server {
            config,
            core,
            limits,
            process_state,
            listener_context,
        }
    }

    /// Starts the core's thread, and gossip if a fleet is configured.
    fn start_core(&self, inbox: Receiver<Message>) -> Result<(), StartError> {
        let settings = &self.config.settings;
        let seed = self.config.seed;
        let mut core = Core::new(
            settings.clone(),
            seed,
            self.limits.clone(),
            inbox,
            self.core.clone(),
            self.process_state.clone(),
        );
        if self.config.discovery_service.is_some() {
            let takes_over = self.config.admin.is_some();
            core = core.with_discovery(takes_over);
        }
        if self.config.admin.is_some() {
            // Where an admin endpoint is configured, a process may be replaced by one that runs beside it.
            match ExecutedIds::shared(&executed_ids::path(&self.config.name)) {
                Ok(ids) => core = core.with_executed_ids(ids),
                Err(error) => log_line!("{}", executed_ids::not_shared(&error)),
            }
        }
        if let Some(fleet) = &self.config.fleet {
            core = core.with_fleet_admission(FleetAdmission::new(fleet, settings, seed));
            self.start_gossip()?;
        }
        std::thread::Builder::new()
            .name("core".to_owned())
            .spawn(move || run_or_abort(core))
            .map_err(StartError::CoreThread)?;
        Ok(())
    }

    fn start_gossip(&self) -> Result<(), StartError> {
        let Some(fleet) = &self.config.fleet else {
            return Ok(());
        };
        let address = gossip::start(
            fleet,
            self.config.seed,
            self.core.clone(),
            self.process_state.clone(),
            self.limits.coroutine_stack_bytes,
        )
        .map_err(|error| StartError::Gossip(error.into()))?;
        log_line!("start: gossip listens on {address}");
        Ok(())
    }

    /// Sends the endpoints of the start configuration to the core, and starts the watch of the discovery service.
    fn start_discovery(&mut self) -> Result<Arc<DiscoveryAddress>, StartError> {
        // The known events may take much memory, so they are dropped as soon as they are read.
        let known = std::mem::take(&mut self.config.known_events);
        let watch = WatchState::from_known_events(&known);
        drop(known);
        for update in watch.updates {
            self.core
                .endpoint_update(TransportProtocol::Frames, update.complete, update.endpoints);
        }
        let address = Arc::new(DiscoveryAddress::new(self.config.discovery_service));
        let service = address.clone();
        let seed = self.config.seed;
        let limits = self.limits.clone();
        let core = self.core.clone();
        spawn(self.limits.coroutine_stack_bytes, move || {
            client::run(&service, watch.state, seed, &limits.discovery, &core);
        })
        .map_err(StartError::Discovery)?;
        Ok(address)
    }

    /// Reads the exclusions that another process of this front end left in `$TMPDIR`, and names this process as the
    /// active one there; `None` if no admin endpoint is configured. Called before clients are accepted, so that the
    /// exclusions apply from the first request on.
    fn read_predecessor_state(&self) -> Option<ActiveProcess> {
        self.config.admin?;
        match admin::read_exclusions(&admin::exclusions_path()) {
            Ok(excluded) => {
                let _ = self.core.send(Message::Exclusions(excluded)); // fails only if the core has ended
            }
            Err(error) => log_limited!(
                "{}",
                messages::handover_not_read(HandoverContent::Exclusions, &error)
            ),
        }
        let active_process = ActiveProcess::claim(&self.config.name, self.config.seed);
        if active_process.is_standby() {
            let _ = self.core.send(Message::Standby(true));
        }
        Some(active_process)
    }

    /// Starts the listeners of the fronts and of the administration API. Each address is logged.
    fn start_listeners(&mut self) -> Result<Vec<Listener>, StartError> {
        let fastcgi = self.listen(self.config.listen, "fastcgi", front::fastcgi::serve)?;
        log_listening(&self.config.name, &fastcgi.socket);
        let mut listeners = vec![fastcgi];
        if let Some(kserve) = self.config.kserve.take() {
            self.start_kserve(kserve, &mut listeners)?;
        }
        Ok(listeners)
    }

    fn start_kserve(
        &self,
        kserve: KserveConfig,
        listeners: &mut Vec<Listener>,
    ) -> Result<(), StartError> {
        if let Some(endpoints) = &kserve.endpoints {
            let endpoints = xds::parse_endpoints(endpoints)
                .map_err(|error| StartError::Endpoints(error.into()))?;
            self.core
                .endpoint_update(TransportProtocol::Kserve, true, endpoints);
        }
        let clients = self.listen(kserve.listen, "kserve", front::kserve::serve)?;
        log_listening("KServe v2", &clients.socket);
        listeners.push(clients);
        if let Some(address) = kserve.admin {
            let administration = self.listen(address, "admin", front::kserve::serve_admin)?;
            log_listening("administration", &administration.socket);
            listeners.push(administration);
        }
        Ok(())
    }

    fn listen(
        &self,
        address: SocketAddr,
        front: &'static str,
        serve: front::Serve,
    ) -> Result<Listener, StartError> {
        let failed = |source| StartError::Listener { address, source };
        let socket = Arc::new(TcpListener::bind(address).map_err(failed)?);
        let listener = socket.clone();
        let context = self.listener_context.clone();
        context.accept_loops.fetch_add(1, Ordering::AcqRel);
        let accept = move || front::accept(&listener, &context, front, serve);
        spawn(ACCEPT_STACK, accept).map_err(failed)?;
        Ok(Listener {
            socket,
            front,
            serve,
        })
    }

    /// Starts the admin endpoint, and the polling of the files that the processes of this front end share.
    fn start_admin_endpoint(
        &self,
        active_process: Option<ActiveProcess>,
    ) -> Result<(), StartError> {
        let (Some(address), Some(active_process)) = (self.config.admin, active_process) else {
            return Ok(());
        };
        let failed = |source| StartError::AdminEndpoint { address, source };
        let listener = TcpListener::bind(address).map_err(failed)?;
        log_listening("the operators' door", &listener);
        let context = self.listener_context.clone();
        let accept = move || admin::accept(&listener, &context);
        spawn(self.limits.coroutine_stack_bytes, accept).map_err(failed)?;
        let context = self.listener_context.clone();
        let poll = move || admin::poll_handover_files(&context, active_process);
        spawn(self.limits.coroutine_stack_bytes, poll).map_err(StartError::Exclusions)
    }

    /// Serves until a signal ends the process, and then shuts down. The fleet is notified last.
    fn wait(&self, signals: Signals, listeners: &[Listener], discovery: &DiscoveryAddress) {
        let settings_digest = self.config.settings_digest;
        shutdown::wait(
            signals,
            settings_digest,
            listeners,
            &self.listener_context,
            discovery,
        );
        if self.config.fleet.is_some() {
            gossip::leave(&self.process_state);
        }
    }
}

/// Runs the core. Aborts the process if the core panics, as its records may then be inconsistent.
fn run_or_abort(core: Core) {
    if std::panic::catch_unwind(AssertUnwindSafe(|| core.run())).is_err() {
        std::process::abort();
    }
}

fn log_listening(name: &str, listener: &TcpListener) {
    let address = listener
        .local_addr()
        .map_or("?".to_owned(), |address| address.to_string());
    log_line!("start: {name} listens on {address}");
}
