//! The bytes that stand-in clients, workers and services exchange with the program, coded from the specifications.
//! Nothing here decides what a stand-in does.
pub(crate) mod frames;
pub(crate) mod http;
pub(crate) mod sockets;
