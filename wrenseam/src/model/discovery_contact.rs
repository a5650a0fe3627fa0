//! The discovery client's reports about its contact with the discovery service.
use std::time::Instant;
use wrenseam_policy::readiness_lease::Interruption;

/// A change of the contact with the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryContact {
    /// The service was seen to have taken up a request and to have sent what it had to report, so every change up to the
    /// time of that request has been received.
    Confirmed {
        /// When the request was made.
        requested_at: Instant,
    },
    /// Contact was lost: changes of the endpoint list may no longer be received.
    Interrupted {
        /// When contact was lost.
        at: Instant,
        /// How contact was lost.
        cause: Interruption,
    },
}
