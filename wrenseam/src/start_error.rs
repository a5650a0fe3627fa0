//! Why a front end cannot be started.
use std::error::Error;
use std::io;
use std::net::SocketAddr;

/// The part that could not be started, and why.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The gossip socket of the fleet.
    #[error(transparent)]
    Gossip(Box<dyn Error + Send + Sync>),
    /// The thread of the core.
    #[error("core thread: {0}")]
    CoreThread(#[source] io::Error),
    /// The watch of the endpoint list.
    #[error("board: {0}")]
    Discovery(#[source] io::Error),
    /// The endpoints in the file of the KServe v2 front.
    #[error("endpoints: {0}")]
    Endpoints(#[source] Box<dyn Error + Send + Sync>),
    /// A listener for clients or of the administration API.
    #[error("{address}: {source}")]
    Listener {
        /// Where it was to listen.
        address: SocketAddr,
        /// Why it does not.
        source: io::Error,
    },
    /// The admin endpoint.
    #[error("admin {address}: {source}")]
    AdminEndpoint {
        /// Where it was to listen.
        address: SocketAddr,
        /// Why it does not.
        source: io::Error,
    },
    /// The watch of the file with the exclusions.
    #[error("exclusions: {0}")]
    Exclusions(#[source] io::Error),
}
