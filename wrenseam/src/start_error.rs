//! Why a front end cannot be started.
use std::error::Error;
use std::io;
use std::net::SocketAddr;

/// The part of the front end that could not be started, and why.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Gossip with the fleet.
    #[error(transparent)]
    Gossip(Box<dyn Error + Send + Sync>),
    /// The core's thread.
    #[error("core thread: {0}")]
    CoreThread(#[source] io::Error),
    /// The coroutine that watches the discovery service.
    #[error("discovery: {0}")]
    Discovery(#[source] io::Error),
    /// The endpoint list in the KServe v2 front's file.
    #[error("endpoints: {0}")]
    Endpoints(#[source] Box<dyn Error + Send + Sync>),
    /// A listener for clients or of the administration API.
    #[error("{address}: {source}")]
    Listener {
        /// The configured address.
        address: SocketAddr,
        /// Why the address could not be bound or the accepting coroutine not started.
        source: io::Error,
    },
    /// The admin endpoint.
    #[error("admin {address}: {source}")]
    AdminEndpoint {
        /// The configured address.
        address: SocketAddr,
        /// Why the address could not be bound or the accepting coroutine not started.
        source: io::Error,
    },
    /// The coroutine that polls the files with the exclusions and the active process.
    #[error("exclusions: {0}")]
    Exclusions(#[source] io::Error),
}
