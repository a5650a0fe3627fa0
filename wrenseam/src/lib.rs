//! The front end round the decision module: fronts parse, the core owns the module, transports carry.
//! See docs/architecture.md for the life of a request.
#![deny(unsafe_code)] // one exception, with its reason: `front::close`
#![warn(missing_docs)]

#[macro_use]
pub mod log;
pub mod cli;
pub mod clock;
pub mod config;
pub mod core;
pub mod discovery;
pub mod fleet;
pub mod front;
pub mod gossip;
pub mod handover;
pub mod http;
pub mod limits;
pub mod model;
pub mod net;
pub mod process_state;
pub mod queue;
pub mod ring;
pub mod shutdown;
pub mod worker;

use crate::core::Core;
use crate::model::TransportProtocol;
use crate::process_state::ProcessState;
use crate::queue::{CoreHandle, Message};
use config::Config;
use front::ListenerContext;
use may::net::TcpListener;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};

/// Runs one front end until it has been told to stop and nothing is open.
pub fn run(mut config: Config, signals: signal_hook::iterator::Signals) -> Result<(), String> {
    for why in &config.faults {
        eprintln!("settings: {why}; taken as not stated");
    }
    let limits = Arc::new(config.limits);
    // One core is ours: more scheduler threads would only take turns on it.
    may::config()
        .set_workers(1)
        .set_stack_size(limits.stack / size_of::<usize>())
        .set_pool_capacity(64);
    may::config().set_worker_pin(false);
    let (sender, inbox) = mpsc::channel();
    let core_handle = CoreHandle::new(sender);
    let shared = Arc::new(ProcessState::default());
    shared.config_digest.store(
        Config::digest_with(config.settings_digest, config.board),
        Ordering::Release,
    );
    let context = ListenerContext::new(core_handle.clone(), limits.clone(), shared.clone());
    let seed = config.seed;
    let mut core = Core::new(
        config.settings.clone(),
        seed,
        limits.clone(),
        inbox,
        core_handle.clone(),
        shared.clone(),
    );
    if let Some(fleet) = &config.fleet {
        core = core.with_gate(core::Gate::new(fleet, &config.settings, seed));
        let own = gossip::start(
            fleet,
            seed,
            core_handle.clone(),
            shared.clone(),
            limits.stack,
        )?;
        eprintln!("start: gossip listens on {own}");
    }
    // The module would be half-changed after a panic: a front end without its core must not go on.
    std::thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || {
            if std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| core.run())).is_err() {
                std::process::abort();
            }
        })
        .map_err(|e| format!("core thread: {e}"))?;
    let (watch, known) = discovery::watch::Watch::new(&std::mem::take(&mut config.known)); // it may be long
    for discovery::watch::News { full, members } in known {
        core_handle.endpoint_update(TransportProtocol::Frames, full, members);
    }
    let board = Arc::new(discovery::client::Board::new(config.board));
    let (own, within, core) = (board.clone(), limits.clone(), core_handle.clone());
    net::spawn(limits.stack, move || {
        discovery::client::follow(&own, watch, seed, &within, &core)
    })
    .map_err(|e| format!("board: {e}"))?;
    if config.admin.is_some() {
        // Before any client comes: a process that replaces another keeps its exclusions from the first call.
        let set = front::admin::read_exclusions(&front::admin::exclusions_path());
        let _ = core_handle.send(Message::Exclusions(set));
    }
    let named = config
        .admin
        .map(|_| front::admin::ActiveProcess::claim(&config.name, seed));
    if named
        .as_ref()
        .is_some_and(front::admin::ActiveProcess::is_standby)
    {
        let _ = core_handle.send(Message::Standby(true));
    }
    let main = listen(config.listen, &context, "fastcgi", front::fastcgi::serve)?;
    announce(&config.name, &main.socket);
    let mut listeners = vec![main];
    if let Some(kserve) = config.kserve {
        if let Some(endpoints) = &kserve.endpoints {
            let members =
                discovery::client::endpoints(endpoints).map_err(|e| format!("endpoints: {e}"))?;
            core_handle.endpoint_update(TransportProtocol::Kserve, true, members);
        }
        let front = listen(kserve.listen, &context, "kserve", front::kserve::serve)?;
        announce("KServe v2", &front.socket);
        listeners.push(front);
        if let Some(admin) = kserve.admin {
            let front = listen(admin, &context, "admin", front::kserve::serve_admin)?;
            announce("administration", &front.socket);
            listeners.push(front);
        }
    }
    if let (Some(admin), Some(named)) = (config.admin, named) {
        let listener = TcpListener::bind(admin).map_err(|e| format!("admin {admin}: {e}"))?;
        let (listener, inside) = (Arc::new(listener), context.clone());
        announce("the operators' door", &listener);
        let door = listener.clone();
        net::spawn(limits.stack, move || front::admin::accept(&door, &inside))
            .map_err(|e| format!("admin {admin}: {e}"))?;
        let inside = context.clone();
        net::spawn(limits.stack, move || front::admin::watch(&inside, named))
            .map_err(|e| format!("exclusions: {e}"))?;
    }
    shutdown::wait(
        signals,
        config.settings_digest,
        &listeners,
        &context,
        &board,
    );
    if config.fleet.is_some() {
        gossip::leave(&shared);
    }
    Ok(())
}

fn announce(name: &str, listener: &TcpListener) {
    let address = listener
        .local_addr()
        .map_or("?".to_owned(), |a| a.to_string());
    eprintln!("start: {name} listens on {address}");
}

fn listen(
    address: SocketAddr,
    context: &ListenerContext,
    front: &'static str,
    serve: front::Serve,
) -> Result<front::Listener, String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let (socket, context) = (Arc::new(listener), context.clone());
    let inside = socket.clone();
    context.accept_loops.fetch_add(1, Ordering::AcqRel);
    let accept = move || front::accept(&inside, &context, front, serve);
    net::spawn(64 * 1024, accept).map_err(|e| format!("{address}: {e}"))?;
    Ok(front::Listener {
        socket,
        front,
        serve,
    })
}
