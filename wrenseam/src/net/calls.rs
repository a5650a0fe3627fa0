//! System calls on connections; tests replace them by short and failing ones.
use may::net::TcpStream;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The calls that connect and write.
pub trait SystemCalls: Send + Sync {
    /// Connects within a span of time.
    ///
    /// # Errors
    /// No connection stands: nothing was written.
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<TcpStream>;

    /// Writes what goes out at once, and never waits.
    ///
    /// # Errors
    /// Nothing was written.
    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize>;
}

/// The machine's own calls.
pub struct DirectCalls;

impl SystemCalls for DirectCalls {
    fn connect(&self, address: &SocketAddr, within: Duration) -> io::Result<TcpStream> {
        TcpStream::connect_timeout(address, within)
    }

    fn write(&self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        write_now(stream, bytes)
    }
}

/// Writes what goes out at once, and never waits.
///
/// # Errors
/// Nothing was written; `WouldBlock` if the system takes nothing now.
pub fn write_now(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let mut inner = stream.inner();
    inner.write(bytes)
}
