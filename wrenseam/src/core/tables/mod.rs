//! The records that the core keeps, each table the only owner of its fields. No I/O, no clock and no policy here.
pub mod attempts;
pub mod load_orders;
pub mod requests;
pub mod workers;

pub use attempts::{Attempt, Attempts};
pub use load_orders::{LoadOrder, LoadOrders};
pub use requests::{ClosedRequest, OpenRequest, RequestTable};
pub use workers::WorkerTable;
