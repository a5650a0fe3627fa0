//! How far a client's system has taken what was written to its connection. A write only hands bytes to the system's send
//! buffer; a client that reads slowly gets them later, and a reset destroys what is still in the buffer.
use crate::limits::Limits;
use may::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// The states of Linux's `tcp_states.h` in which the peer has closed its sending side: `TIME_WAIT`, `CLOSE`, `CLOSE_WAIT`,
/// `LAST_ACK` and `CLOSING`.
const CLOSED_BY_PEER: [u8; 5] = [6, 7, 8, 9, 11];

/// The number of bytes in the system's send buffer that the peer's system has not acknowledged. After a half-close the
/// end of the stream counts as one byte. 0 if the system does not tell.
pub(super) fn unacknowledged_bytes(stream: &TcpStream) -> usize {
    queued_bytes(stream, libc::TIOCOUTQ)
}

/// The number of bytes in the system's receive buffer. 0 if the system does not tell.
pub fn unread_bytes(stream: &TcpStream) -> usize {
    queued_bytes(stream, libc::FIONREAD)
}

/// What the system answers to one of the requests for the length of a socket's queue; 0 if it does not tell.
fn queued_bytes(stream: &TcpStream, request: libc::Ioctl) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while `stream` is borrowed, and these requests write one `c_int`.
    #[allow(unsafe_code)]
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), request, &mut bytes) };
    if result < 0 {
        return 0;
    }
    usize::try_from(bytes).unwrap_or(0)
}

/// What the system tells about a connection on which it has received data; `None` if it tells nothing.
fn connection_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    // SAFETY: all bytes zero are a valid value of this structure of integers.
    #[allow(unsafe_code)]
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` is borrowed, and the system writes at most `length` bytes.
    #[allow(unsafe_code)]
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            std::ptr::from_mut(&mut info).cast(),
            &mut length,
        )
    };
    (result == 0 && info.tcpi_bytes_received > 0).then_some(info)
}

/// How long ago the last data arrived on the connection, to the precision of the system's clock ticks. Zero if the system
/// does not tell. For the log and `telemetry` alone: its clock may not be that of the process.
pub fn last_arrival_age(stream: &TcpStream) -> Duration {
    let info = connection_info(stream);
    let age_ms = info.map_or(0, |info| info.tcpi_last_data_recv);
    Duration::from_millis(age_ms.into())
}

/// Whether the peer has closed its sending side, even if data that it sent before is unread.
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    connection_info(stream).is_some_and(|info| CLOSED_BY_PEER.contains(&info.tcpi_state))
}

/// What was observed of the delivery on one connection. The caller samples it from time to time.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeliveryProgress {
    /// Bytes that were not delivered at the last sample.
    undelivered: usize,
    /// When the number of undelivered bytes last changed.
    changed_at: Instant,
    /// When the client was last found to have fallen behind; `None` if it never was.
    behind_at: Option<Instant>,
}

impl DeliveryProgress {
    /// The progress on a connection on which nothing is undelivered at `now`.
    pub(super) fn new(now: Instant) -> Self {
        DeliveryProgress {
            undelivered: 0,
            changed_at: now,
            behind_at: None,
        }
    }

    /// Records a sample.
    pub(super) fn observe(&mut self, undelivered: usize, now: Instant, limits: &Limits) {
        if undelivered != self.undelivered {
            self.undelivered = undelivered;
            self.changed_at = now;
        }
        if undelivered > limits.max_delivery_backlog && !self.is_stalled(now, limits) {
            self.behind_at = Some(now);
        }
    }

    /// When the client has caught up after it was last found to have fallen behind; `None` if it has not, or never was
    /// behind.
    pub(super) fn caught_up_at(&self, limits: &Limits) -> Option<Instant> {
        let has_caught_up = self.undelivered <= limits.max_delivery_backlog;
        self.behind_at.filter(|_| has_caught_up)
    }

    /// Whether everything was delivered at the last sample.
    pub(super) fn is_complete(&self) -> bool {
        self.undelivered == 0
    }

    /// Whether everything has been delivered for as long as a connection lingers.
    pub(super) fn has_lingered(&self, now: Instant, limits: &Limits) -> bool {
        self.is_complete() && now.duration_since(self.changed_at) > limits.linger_timeout
    }

    /// Whether the client takes nothing more of what is undelivered.
    pub(super) fn is_stalled(&self, now: Instant, limits: &Limits) -> bool {
        !self.is_complete() && now.duration_since(self.changed_at) >= limits.write_stall_timeout
    }

    /// Whether the client reads more slowly than it is answered, or did a moment ago: the end of the stream would reach
    /// it only behind what it still has to read, and it would go on sending requests until then.
    pub(super) fn is_behind(&self, now: Instant, limits: &Limits) -> bool {
        self.behind_at
            .is_some_and(|at| now.duration_since(at) < limits.delivery_settle_time)
    }
}
