//! The records that the core keeps. Each table is the only code that changes its records. No I/O, clock or policy here.
pub mod attempts;
pub mod load_orders;
pub mod requests;
pub mod workers;

pub use attempts::{Attempt, Attempts};
pub use load_orders::{LoadOrder, LoadOrders};
pub use requests::{ClosedRequest, OpenRequest, RequestTable};
pub use workers::WorkerTable;
