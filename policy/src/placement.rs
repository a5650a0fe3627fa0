//! Where a worker is listed, as far as idempotency keys go by it.
use crate::endpoint::Endpoint;
use crate::settings::KeyScope;

/// Where a worker was listed when an attempt was sent to it: its key is known there, wherever the list has the worker
/// later.
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

    /// Whether two workers share their memory of keys. Workers whose zone or cell is not known share none.
    pub(crate) fn shares_keys(self, other: Placement, scope: KeyScope) -> bool {
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => self.zone.is_some() && self.zone == other.zone,
            KeyScope::Cell => self.cell.is_some() && self.cell == other.cell,
        }
    }
}
