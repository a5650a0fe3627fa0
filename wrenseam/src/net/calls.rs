//! The system calls that connect and write. Tests replace them with calls that fail or that write only a part.
use may::net::TcpStream;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// System calls on connections, as a trait so that tests can replace them.
pub trait SystemCalls: Send + Sync {
    /// Establishes a connection within `timeout`.
    ///
    /// # Errors
    /// The connection could not be established, so nothing was written.
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<TcpStream>;

    /// Writes as many bytes as the system accepts now, without waiting. Returns how many.
    ///
    /// # Errors
    /// Nothing was written; `WouldBlock` if the system accepts no bytes now.
    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize>;
}

/// The calls of the operating system.
pub struct DirectCalls;

impl SystemCalls for DirectCalls {
    fn connect(&self, address: &SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        TcpStream::connect_timeout(address, timeout)
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        try_write(stream, bytes)
    }
}

/// Writes as many bytes as the system accepts now, without waiting. Returns how many.
///
/// # Errors
/// Nothing was written; `WouldBlock` if the system accepts no bytes now.
pub fn try_write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let mut inner = stream.inner();
    inner.write(bytes)
}
