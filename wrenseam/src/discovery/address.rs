//! The address of the discovery service, which may change while the program runs.
use may::sync::Mutex;
use std::net::SocketAddr;

/// Where the discovery service is, shared by the coroutine that follows it and whoever reads a new configuration.
pub struct DiscoveryAddress(Mutex<Option<SocketAddr>>);

impl DiscoveryAddress {
    /// A service at this address, or at none yet.
    pub fn new(address: Option<SocketAddr>) -> Self {
        DiscoveryAddress(Mutex::new(address))
    }

    /// Changes the address; the client notices within `DiscoveryLimits::address_check_interval`.
    /// Returns whether it is another one.
    pub fn set(&self, new: SocketAddr) -> bool {
        let Ok(mut address) = self.0.lock() else {
            return false;
        };
        address.replace(new) != Some(new)
    }

    /// The address now, if there is one.
    pub fn get(&self) -> Option<SocketAddr> {
        self.0.lock().ok().and_then(|address| *address)
    }
}
