//! The basic types that settings, events and actions share.
//!
//! Times are microseconds on one clock of the front end's choosing that only advances. Classes, tenants, zones and
//! machine kinds are positions in the lists of the settings, so no name reaches the decisions.

/// A point on the front end's clock, or a span of it, in microseconds.
pub type Micros = u64;
/// Identifier of a request, unique for the life of a front end.
pub type RequestId = u64;
/// Identifier of a function.
pub type FunctionId = u64;
/// Name of a worker, as the endpoint list gives it.
pub type WorkerId = String;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
