//! The basic types that settings, events and actions share.
//!
//! Times are microseconds on one monotonic clock that the front end chooses. Classes, tenants, zones and machine kinds
//! are identified by their positions in the settings' lists; decisions do not use their names.

/// A time on the front end's clock, or a duration, in microseconds.
pub type Micros = u64;
/// Identifier of a request, unique within one front end process.
pub type RequestId = u64;
/// Identifier of a function.
pub type FunctionId = u64;
/// Name of a worker in the endpoint list.
pub type WorkerId = String;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
