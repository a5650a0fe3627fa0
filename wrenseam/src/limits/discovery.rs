//! Sizes and times of the connection to the discovery service.
use super::{connect_timeout, is_large_fleet, HEAD_BYTES, MIB, SMALL_RING_BYTES};
use std::time::Duration;
use wrenseam_policy::Settings;

/// A connection without any bytes for this long has ended: the discovery service sends a comment each second. A change
/// that happens before the connection falls silent counts as reported to the front end 4 s after the last byte.
const DISCOVERY_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Shortest time after which a request to the discovery service is replaced by a new one.
const DISCOVERY_EVENT_TIMEOUT_MIN: Duration = Duration::from_millis(3_000);
/// Longest time after which a request to the discovery service is replaced by a new one. Any change counts as reported
/// to the front end 7 s later; this time leaves room for another request if the new one fails.
const DISCOVERY_EVENT_TIMEOUT_MAX: Duration = Duration::from_millis(4_500);

/// A comment that arrives this long after the service was seen to have taken up a request comes after all events from
/// before it, as the service sends those together.
const DISCOVERY_SETTLE_TIME: Duration = Duration::from_millis(250);

/// Most connections to the discovery service at a time: the one that is up to date or is the oldest, one that is slow to
/// become so, and the newest.
const DISCOVERY_CONNECTIONS_MAX: usize = 3;
/// While several connections are open, the others are read from in this interval.
const DISCOVERY_SHARED_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which a waiting read checks whether the discovery service's address has changed.
const DISCOVERY_ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after the first failed request to the discovery service. Outside of a large fleet also the longest pause.
const DISCOVERY_RETRY_INITIAL: Duration = Duration::from_millis(100);
/// Longest pause after failed requests to the discovery service in a large fleet.
const DISCOVERY_RETRY_MAX_LARGE_FLEET: Duration = Duration::from_millis(1_000);

/// The front ends of a large fleet all lose the discovery service at the same moment; their next requests are spread
/// over this time.
const DISCOVERY_RECONNECT_JITTER_LARGE_FLEET: Duration = Duration::from_millis(300);

/// Divisor of the process's memory that gives the maximum size of one event. Handling an event needs about 20 times its
/// size (`tests/large_list.rs`), which is a third of the memory for the largest event.
const DISCOVERY_EVENT_MEMORY_DIVISOR: usize = 64;
/// Lower bound of the maximum size of one event, for processes with little memory.
const DISCOVERY_EVENT_BYTES_MIN: usize = MIB;

/// Sizes and times of the connection to the discovery service.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// The connection must be established within this time.
    pub connect_timeout: Duration,
    /// A connection on which nothing is received for this long has ended.
    pub silence_timeout: Duration,
    /// Shortest event timeout, which is drawn for each request. After this time another request is made, whatever
    /// arrives.
    pub event_timeout_min: Duration,
    /// Longest event timeout that is drawn for a request.
    pub event_timeout_max: Duration,
    /// A service that sends a comment this long after it took up the request has sent all pending events.
    pub settle_time: Duration,
    /// Maximum number of connections to the service.
    pub max_connections: usize,
    /// Longest wait for input on one connection while others are open.
    pub shared_read_interval: Duration,
    /// Interval at which a waiting read checks whether the service's address has changed.
    pub address_check_interval: Duration,
    /// Pause after the first failed request.
    pub retry_initial: Duration,
    /// Longest pause after failed requests.
    pub retry_max: Duration,
    /// The pause after a request that brought events is drawn between 0 and this.
    pub reconnect_jitter: Duration,
    /// Maximum size of the ring buffer that the response is read into.
    pub read_buffer_bytes: usize,
    /// Maximum size of the response's head.
    pub max_head_bytes: usize,
    /// Maximum size of one event. The list of all workers is one event, with 150 bytes for each worker. No buffer is
    /// larger than twice what has been received.
    pub max_event_bytes: usize,
}

impl DiscoveryLimits {
    pub(super) fn new(memory_bytes: usize, settings: &Settings) -> Self {
        let large_fleet = is_large_fleet(settings);
        DiscoveryLimits {
            connect_timeout: connect_timeout(settings),
            silence_timeout: DISCOVERY_SILENCE_TIMEOUT,
            event_timeout_min: DISCOVERY_EVENT_TIMEOUT_MIN,
            event_timeout_max: DISCOVERY_EVENT_TIMEOUT_MAX,
            settle_time: DISCOVERY_SETTLE_TIME,
            max_connections: DISCOVERY_CONNECTIONS_MAX,
            shared_read_interval: DISCOVERY_SHARED_READ_INTERVAL,
            address_check_interval: DISCOVERY_ADDRESS_CHECK_INTERVAL,
            retry_initial: DISCOVERY_RETRY_INITIAL,
            retry_max: if large_fleet {
                DISCOVERY_RETRY_MAX_LARGE_FLEET
            } else {
                DISCOVERY_RETRY_INITIAL
            },
            reconnect_jitter: if large_fleet {
                DISCOVERY_RECONNECT_JITTER_LARGE_FLEET
            } else {
                Duration::ZERO
            },
            read_buffer_bytes: SMALL_RING_BYTES,
            max_head_bytes: HEAD_BYTES,
            max_event_bytes: (memory_bytes / DISCOVERY_EVENT_MEMORY_DIVISOR)
                .max(DISCOVERY_EVENT_BYTES_MIN),
        }
    }
}
