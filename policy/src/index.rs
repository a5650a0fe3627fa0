//! Typed positions in the tables of workers and functions.

/// Position of a worker in the `WorkerTable`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerIndex(pub(crate) usize);

/// Position of a function in the `FunctionTable`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FunctionIndex(pub(crate) usize);
