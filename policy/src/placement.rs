//! The zone and cell of a worker, which decide where its idempotency keys are recognized.
use crate::endpoint::Endpoint;
use crate::settings::KeyScope;

/// Where a worker is listed. Each attempt records the placement that its worker had when it was sent: the attempt's key
/// stays known there even if the worker is later listed elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Placement {
    zone: Option<usize>,
    cell: Option<u64>,
}

impl Placement {
    pub(crate) fn of(endpoint: &Endpoint) -> Self {
        Placement {
            zone: endpoint.zone,
            cell: endpoint.cell,
        }
    }

    /// Whether two workers share their memory of idempotency keys. Where the scope is a zone or a cell, a worker whose
    /// zone or cell is not known shares keys with none.
    pub(crate) fn shares_keys(self, other: Placement, scope: KeyScope) -> bool {
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => self.zone.is_some() && self.zone == other.zone,
            KeyScope::Cell => self.cell.is_some() && self.cell == other.cell,
        }
    }
}
