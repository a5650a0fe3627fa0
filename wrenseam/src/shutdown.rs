//! Signals. SIGHUP has the configuration read again; SIGTERM lets the program go on for a while, then it ends
//! once nothing is open.
use crate::config::Config;
use crate::discovery::address::DiscoveryAddress;
use crate::front::{Doors, Listener};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(10);

/// Serves SIGHUP until SIGTERM or SIGINT comes, then waits for the end of what is open. Returns when the
/// program may exit.
pub fn wait(
    mut signals: Signals,
    settings_digest: u64,
    listeners: &[Listener],
    doors: &Doors,
    service: &DiscoveryAddress,
) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        // Guards against a file that is missing or half written: what held before goes on to hold.
        match Config::discovery_service_now() {
            Ok(address) => {
                eprintln!("reload: the board is at {address}");
                let digest = Config::digest_with(settings_digest, Some(address));
                doors.shared.config_digest.store(digest, Ordering::Release);
                service.set(address);
            }
            Err(why) => eprintln!("reload: nothing changed: {why}"),
        }
    }
    let limits = &doors.limits;
    // Readiness says no at once: a process that replaces this one takes the new clients.
    let _ = crate::front::admin::ask(doors, crate::model::AdminCommand::Evacuate);
    eprintln!(
        "stop: signal; listening for {} ms more",
        limits.stop_listening.as_millis()
    );
    // The front goes on sending for a while: what comes in that time is owed an answer like any other.
    std::thread::sleep(limits.stop_listening);
    doors.shared.stopping.store(true, Ordering::Release);
    doors.closing.store(true, Ordering::Release);
    listeners
        .iter()
        .for_each(|listener| crate::front::close(listener, doors));
    // From here on each connection decides for itself, in order: what lies unread is read, what is half read comes
    // whole or is ended, what is owed is answered, what is queued is written, and then it closes and gives its seat
    // back. With no seat taken and nobody accepting nothing is left; no count passes from one to another meanwhile.
    doors.ending.store(true, Ordering::Release);
    let since = Instant::now();
    let left = || {
        // A loop that was not woken by its listener's close holds no connection: it waits for one.
        let accepting = doors.accepting.load(Ordering::Acquire);
        let taking = if since.elapsed() < limits.linger {
            accepting
        } else {
            0
        };
        taking + doors.shared.clients.load(Ordering::Acquire)
    };
    while left() > 0 && since.elapsed() < limits.stop_at_last {
        std::thread::sleep(LOOK);
    }
    eprintln!(
        "stop: done, {} requests open",
        doors.shared.open.load(Ordering::Acquire)
    );
}

/// Registers the signals; called before anything else runs, so that none is missed or ends the program.
pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))
}
