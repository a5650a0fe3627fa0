//! Connecting, listening and reading in tests. A socket that cannot be set up fails the test.
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a test waits for something that must happen.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Connects to `address`. Reads on the connection fail after `TEST_TIMEOUT`.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream
}

/// Listens on a free port and calls `on_accept` with each connection, in the order of their arrival. Returns the
/// listener's address.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) fn listen(mut on_accept: impl FnMut(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            on_accept(stream);
        }
    });
    address
}

/// Reads the next `length` bytes.
pub(crate) fn read_bytes(stream: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}
