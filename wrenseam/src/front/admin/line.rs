//! Reads the command line of a connection to the admin endpoint.
use crate::net::would_block;
use may::net::TcpStream;
use std::io::{self, Read};
use std::string::FromUtf8Error;
use std::time::{Duration, Instant};

/// Longest command line in bytes, including the newline.
pub const MAX_LINE_LENGTH: usize = 256;
/// A connection that has not sent a complete line within this time is closed.
pub const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a waiting read checks whether the read timeout has passed.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Initial capacity of the buffer for a line, in bytes: enough for a usual command.
const INITIAL_LINE_CAPACITY: usize = 64;

/// Why a connection to the admin endpoint is closed without a reply.
#[derive(Debug, thiserror::Error)]
pub enum ReadLineError {
    /// Reading failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not UTF-8.
    #[error("line is not UTF-8")]
    InvalidUtf8(#[from] FromUtf8Error),
    /// The line is longer than [`MAX_LINE_LENGTH`].
    #[error("line longer than {} bytes", MAX_LINE_LENGTH)]
    TooLong,
    /// The line was not complete within [`READ_TIMEOUT`].
    #[error("line not complete within {} ms", READ_TIMEOUT.as_millis())]
    Timeout,
    /// The client closed its side of the connection before it sent anything.
    #[error("client disconnected before it sent a line")]
    Closed,
}

/// Reads bytes up to the first newline, or up to the end of the client's input, and returns them without the newline.
pub(super) fn read_line(stream: &mut TcpStream) -> Result<String, ReadLineError> {
    let started_at = Instant::now();
    let mut line = Vec::with_capacity(INITIAL_LINE_CAPACITY);
    let mut chunk = [0u8; MAX_LINE_LENGTH];
    stream.set_read_timeout(Some(READ_CHECK_INTERVAL))?;
    loop {
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            line.truncate(end);
            return Ok(String::from_utf8(line)?);
        }
        if line.len() >= MAX_LINE_LENGTH {
            return Err(ReadLineError::TooLong);
        }
        if started_at.elapsed() > READ_TIMEOUT {
            return Err(ReadLineError::Timeout);
        }
        match stream.read(&mut chunk[..MAX_LINE_LENGTH - line.len()]) {
            Ok(0) if line.is_empty() => return Err(ReadLineError::Closed),
            // A client may close its side of the connection after the line instead of sending a newline.
            Ok(0) => return Ok(String::from_utf8(line)?),
            Ok(read) => line.extend_from_slice(&chunk[..read]),
            Err(error) if would_block(&error) => {}
            Err(error) => return Err(error.into()),
        }
    }
}
