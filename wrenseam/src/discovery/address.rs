//! The address of the discovery service, which may change while the program runs.
use may::sync::Mutex;
use std::net::SocketAddr;

/// The discovery service's address, shared by the coroutine that receives its events and the code that reloads the
/// configuration.
pub struct DiscoveryAddress(Mutex<Option<SocketAddr>>);

impl DiscoveryAddress {
    /// Starts with this address; `None`: the configuration names no service.
    pub fn new(address: Option<SocketAddr>) -> Self {
        DiscoveryAddress(Mutex::new(address))
    }

    /// Sets the address and returns whether it has changed. The client notices a change within
    /// `DiscoveryLimits::address_check_interval`.
    pub fn set(&self, new: SocketAddr) -> bool {
        let Ok(mut address) = self.0.lock() else {
            return false;
        };
        address.replace(new) != Some(new)
    }

    /// The current address; `None`: the configuration names no service.
    pub fn get(&self) -> Option<SocketAddr> {
        self.0.lock().ok().and_then(|address| *address)
    }
}
