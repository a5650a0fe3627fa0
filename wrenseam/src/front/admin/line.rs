//! Reads the one line of a connection.
use crate::net::would_block;
use may::net::TcpStream;
use std::io::{self, Read};
use std::string::FromUtf8Error;
use std::time::{Duration, Instant};

/// Longest line a caller may send, newline included.
pub const MAX_LINE_LENGTH: usize = 256;
/// Whoever has not sent a whole line by then is closed.
pub const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// How often the time is looked at while nothing comes.
const READ_CHECK: Duration = Duration::from_millis(100);
/// Bytes that a usual line fits in.
const USUAL_LINE_LENGTH: usize = 64;

/// Why a connection is closed without a reply.
#[derive(Debug, thiserror::Error)]
pub enum ReadLineError {
    /// Reading failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not UTF-8.
    #[error("line is not UTF-8")]
    NotText(#[from] FromUtf8Error),
    /// The line is longer than [`MAX_LINE_LENGTH`].
    #[error("line too long")]
    TooLong,
    /// The line was not complete within [`READ_TIMEOUT`].
    #[error("line timed out before it was complete")]
    Timeout,
    /// The caller closed its side before it sent anything.
    #[error("closed before a line was sent")]
    Closed,
}

pub(super) fn read_line(stream: &mut TcpStream) -> Result<String, ReadLineError> {
    let started_at = Instant::now();
    let mut line = Vec::with_capacity(USUAL_LINE_LENGTH);
    let mut chunk = [0u8; MAX_LINE_LENGTH];
    stream.set_read_timeout(Some(READ_CHECK))?;
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
            // A caller may close its side behind the line, instead of a newline.
            Ok(0) => return Ok(String::from_utf8(line)?),
            Ok(read) => line.extend_from_slice(&chunk[..read]),
            Err(error) if would_block(&error) => {}
            Err(error) => return Err(error.into()),
        }
    }
}
