//! Where the notice board is.
use may::sync::Mutex;
use std::net::SocketAddr;

/// Where the board is. It may move while the program runs.
pub struct Board(Mutex<Option<SocketAddr>>);

impl Board {
    /// A board at this address, or none yet.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Board(Mutex::new(address))
    }

    /// The board is elsewhere from now on; whoever follows it notices within `DiscoveryLimits::address_check_interval`.
    pub fn moved(&self, to: SocketAddr) {
        if let Ok(mut address) = self.0.lock() {
            *address = Some(to);
        }
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.0.lock().ok().and_then(|a| *a)
    }
}
