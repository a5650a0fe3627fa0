//! What the discovery client reports of its contact with the discovery service.
use std::time::Instant;
use wrenseam_policy::readiness_lease::Interruption;

/// A change of the contact with the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryContact {
    /// The service has answered a request and has nothing more to report: all that had happened when the request was
    /// made has been received.
    Confirmed {
        /// When the request was made.
        requested_at: Instant,
    },
    /// Nothing is received any more.
    Interrupted {
        /// Since when.
        at: Instant,
        /// Why.
        cause: Interruption,
    },
}
