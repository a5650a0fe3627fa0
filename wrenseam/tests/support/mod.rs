//! Encoding and decoding of the bytes that simulated clients, workers and services exchange with the program, written
//! from the specifications. How a simulated party behaves is decided by the modules that use these functions.
pub(crate) mod fastcgi;
pub(crate) mod frames;
pub(crate) mod http;
pub(crate) mod sockets;
