//! All sizes, counts and times of the program, computed once at startup and passed to every part.
mod discovery;

pub use discovery::DiscoveryLimits;

use std::time::Duration;
use wrenseam_policy::{Micros, Settings};

/// File descriptors reserved at any limit, besides the eighth of it that is left to workers: standard streams, the
/// coroutine scheduler, listeners, the first discovery connection, the admin endpoint and its clients, and the first worker
/// connections. At a limit of 192 descriptors the eighth alone (24) left the process one over its limit.
pub const RESERVED_DESCRIPTORS: usize = 40;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// A fleet with more front ends than this is large: each worker is shared by so many that frequent keepalive probes
/// cost more than they gain, and requests to the discovery service are spread over time.
const LARGE_FLEET_FRONT_ENDS: u32 = 16;

/// Smallest supported limit of file descriptors; a lower one counts as this.
const DESCRIPTORS_MIN: u64 = 64;
/// Largest supported limit of file descriptors; a higher one counts as this.
const DESCRIPTORS_MAX: u64 = 1 << 20;

/// Smallest supported memory limit, in MB; a lower one counts as this.
const MEMORY_MB_MIN: u64 = 32;
/// Largest supported memory limit, in MB; a higher one counts as this.
const MEMORY_MB_MAX: u64 = 1 << 20;

/// File descriptors of a client connection: one for each direction.
const DESCRIPTORS_PER_CLIENT: usize = 2;

/// Divisor of the descriptor limit that gives the share that clients leave to worker connections.
const WORKER_DESCRIPTOR_DIVISOR: usize = 8;

/// Divisor of the descriptor limit that gives the number of connections to each worker that speaks KServe v2.
const DESCRIPTORS_PER_V2_CONNECTION: usize = 128;
/// Each worker that speaks KServe v2 may have this many connections at any descriptor limit.
const V2_CONNECTIONS_MIN: usize = 2;

/// Divisor of the process's memory that gives the budget for requests and unsent responses. Each attempt's frame is a
/// second copy of the body, and rings and stacks come on top.
const MEMORY_BUDGET_DIVISOR: usize = 4;

/// Divisor of the budget that gives the part for requests that are not completely received: their clients may never
/// complete them, and must not take the memory of others.
const PARTIAL_REQUESTS_DIVISOR: usize = 4;

/// Divisor of the budget that gives the part that requests leave to unsent responses: what was accepted must be answered.
const RESPONSES_DIVISOR: usize = 4;

/// Divisor of the budget that gives the part that is left to responses which the front makes itself, such as rejections.
const DIRECT_RESPONSES_DIVISOR: usize = 16;

/// Memory that a request keeps for a response without a body: its head, and what queueing it takes.
const SHORT_RESPONSE_BYTES: usize = 512;

/// Maximum size of a request's body.
const REQUEST_BODY_BYTES: usize = 16 * KIB;

/// Memory that the records of a request take in the front, the core's queue and the policy, besides its bytes.
const REQUEST_RECORD_BYTES: usize = 2 * KIB;

/// Maximum size of the head of a request or a response.
const HEAD_BYTES: usize = 16 * KIB;

/// Maximum size of a ring buffer on connections that carry small messages.
const SMALL_RING_BYTES: usize = 4 * KIB;

/// Maximum size of one worker's response.
const RESPONSE_BYTES: usize = MIB;

/// A client connection on which more responses are unsent is given no further requests to answer.
const UNSENT_BYTES_MAX: usize = MIB;

/// Time that a slow client has to send a request, from its first byte to its last.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest timeout that a client may request: 10 minutes.
const REQUEST_TIMEOUT_MAX: Micros = 600_000_000;
/// Timeout of a request whose client states none: 4 s.
const REQUEST_TIMEOUT_DEFAULT: Micros = 4_000_000;

/// Time that a response needs to reach its client.
const RESPONSE_MARGIN_MAX: Micros = 80_000;

/// Largest memory of a replica that a request may state, in MB; a larger one is a mistake.
const REPLICA_MEMORY_MB_MAX: f64 = 1e6;
/// Largest concurrency of a replica that a request may state; a larger one is a mistake.
const REPLICA_CONCURRENCY_MAX: f64 = 1024.0;

/// Maximum number of open requests on one client connection.
const REQUESTS_PER_CONNECTION: usize = 32;

/// Most memory that the requests of one client connection may reserve, those that it has cancelled and that the core has
/// not handled yet included. As many requests as may be open fit, each of the largest size, and the record that is being
/// received.
const CONNECTION_REQUEST_BYTES: usize = REQUESTS_PER_CONNECTION
    * (REQUEST_RECORD_BYTES + SHORT_RESPONSE_BYTES + HEAD_BYTES + REQUEST_BODY_BYTES)
    + RECORD_CONTENT_BYTES;

/// Maximum size of the content of a FastCGI record.
const RECORD_CONTENT_BYTES: usize = 64 * KIB;

/// Interval at which a client connection checks its timeouts, the shortest of which is 2 s.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a client has to close its side once everything up to the front end's half-close has reached it. It fits into
/// the time that a stopping process has.
const LINGER_TIMEOUT: Duration = Duration::from_millis(320);

/// More undelivered bytes than this mean that a client reads more slowly than it is answered: one that reads as fast
/// takes them within a few ms.
const DELIVERY_BACKLOG_BYTES: usize = 16 * KIB;
/// Time in which a client that had fallen behind reads what its own system still holds.
const DELIVERY_SETTLE_TIME: Duration = Duration::from_millis(400);
/// Time that a client has to take its responses: enough for the fullest queue and send buffer at 0.5 MB a second.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a draining front end serves requests that arrive on open connections. It leaves time to deliver the
/// responses: 4 s after its drain began, a front end holds no connection that is idle or in use.
const DRAIN_SERVE_TIME: Duration = Duration::from_millis(1_000);

/// Bytes of a malformed request that are read and discarded, so that its client can read the response.
const DISCARDED_BYTES_MAX: usize = 64 * KIB;

/// Time that a client has to send its first valid request. Clients expect a connection without one to be closed within
/// 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time that a client connection may be idle. Most clients close an idle connection themselves after 4 s.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Maximum size of a worker connection's ring buffers, which are shared by many exchanges.
const WORKER_RING_BYTES: usize = 64 * KIB;

/// A connection is closed if a write on it makes no progress for this long.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a stalled write checks for cancellations.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A response that has begun counts as incomplete if none of it arrives for this long.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Workers may respond for this long after the request's timeout.
const LATE_RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// Idle timeout of worker connections, in ms, if the settings state none.
const WORKER_IDLE_DEFAULT_MS: u64 = 15_000;

/// Divisor of the workers' idle timeout that gives the margin by which the front end closes an idle connection earlier.
const WORKER_IDLE_MARGIN_DIVISOR: u32 = 5;

/// Connect timeout, in ms, if the settings state none.
const CONNECT_DEFAULT_MS: u64 = 250;

/// Streams on each worker connection if the settings state no number.
const STREAMS_DEFAULT: usize = 100;

/// Timeout of a load order if the settings state none: 10 s.
const LOAD_ORDER_TIMEOUT_DEFAULT: Micros = 10_000_000;

/// A connection with open exchanges is probed once it has been quiet for this long. Workers answer a keepalive probe
/// within a few ms, also under load.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(200);
/// In a large fleet a connection with open exchanges is probed once it has been quiet for this long, as workers answer
/// a keepalive probe somewhat later there.
const KEEPALIVE_IDLE_LARGE_FLEET: Duration = Duration::from_millis(300);

/// Time that a worker has to answer a keepalive probe.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which worker connections are checked for due keepalive probes.
const KEEPALIVE_CHECK_INTERVAL: Micros = 50_000;

/// A connection on which no exchange was opened since the last response is probed again once it has been quiet for this
/// percentage of its oldest exchange's age.
const KEEPALIVE_REPEAT_PERCENT: u32 = 50;
/// In a large fleet a connection on which no exchange was opened since the last response is probed again once it has
/// been quiet for this percentage of its oldest exchange's age.
const KEEPALIVE_REPEAT_PERCENT_LARGE_FLEET: u32 = 90;

/// Stack size of a coroutine.
const STACK_BYTES: usize = 64 * KIB;

/// Time that the listeners stay open after SIGTERM, as clients still send requests to this front end for a while.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(700);

/// Time by which the shutdown timeout exceeds the longest client wait of any class.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);
/// Shortest shutdown timeout.
const SHUTDOWN_TIMEOUT_MIN: Duration = Duration::from_secs(10);

/// Longest client wait that counts for the time from SIGTERM until the platform may kill a stopping process.
const COUNTED_WAIT_MAX: Duration = Duration::from_secs(3);
/// Time by which a stopping process exits before the platform may kill it.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Sizes, counts and times. Computed once; tests change single fields.
#[derive(Clone, Debug)]
pub struct Limits {
    // Requests, as the fronts check them.
    /// Memory that the records of a request take, besides its bytes.
    pub request_record_bytes: usize,
    /// Memory that a request keeps for its response in case there is no room for a longer one, in bytes.
    pub short_response_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request's parameters or headers and of a response's head, in bytes.
    pub max_head_bytes: usize,
    /// A request must be received completely within this time from its first byte.
    pub request_read_timeout: Duration,
    /// Longest timeout that a client may request.
    pub max_request_timeout: Micros,
    /// Timeout of a KServe v2 request that states none.
    pub default_request_timeout: Micros,
    /// Most of a request's timeout that is reserved for delivering its response; the policy gets the timeout without
    /// it.
    pub max_response_margin: Micros,
    /// Largest memory of a replica that a request may state, in MB.
    pub max_replica_memory_mb: f64,
    /// Largest number of concurrent requests of a replica that a request may state.
    pub max_replica_concurrency: f64,

    // Client connections.
    /// Maximum number of open client connections, over all fronts.
    pub max_client_connections: usize,
    /// Maximum number of open requests on one client connection.
    pub max_requests_per_connection: usize,
    /// Requests are rejected on a client connection on which more response bytes than this are unsent. Of responses that
    /// the front made itself no more than this is queued: the connection closes once its open requests are answered.
    pub max_unsent_bytes: usize,
    /// Maximum size of the ring buffers of client connections and of connections to KServe v2 workers, in bytes.
    pub client_ring_bytes: usize,
    /// A client connection without a valid request is closed after this time.
    pub first_request_timeout: Duration,
    /// A client connection without open requests is closed after this time.
    pub client_idle_timeout: Duration,
    /// While the front end drains, a client connection without open requests is closed after this time.
    pub drain_idle_timeout: Duration,
    /// Interval at which a client connection checks these timeouts.
    pub client_check_interval: Duration,
    /// While the front end drains, requests on open connections are served for this long, and then rejected at once.
    pub drain_serve_time: Duration,
    /// A client connection is read for this long after everything up to its half-close was delivered, unless the client
    /// closes sooner.
    pub linger_timeout: Duration,
    /// A client with more undelivered response bytes than this has fallen behind; its connection is not closed as idle.
    pub max_delivery_backlog: usize,
    /// A client counts as behind for this long after its backlog has gone.
    pub delivery_settle_time: Duration,
    /// A client that has not taken its responses for this long after the last of them is no longer waited for.
    pub delivery_timeout: Duration,
    /// A client connection is closed after this many discarded bytes of malformed requests.
    pub max_discarded_bytes: usize,

    // Connections to workers.
    /// Limit of the process's file descriptors; clients and workers share those that are not reserved.
    pub descriptors: usize,
    /// Maximum number of connections to one KServe v2 worker; each carries one exchange at a time.
    pub max_v2_connections_per_worker: usize,
    /// Maximum number of attempts that one worker connection carries at a time.
    pub max_streams_per_connection: usize,
    /// Maximum size of a worker connection's ring buffers, in bytes.
    pub worker_ring_bytes: usize,
    /// Maximum size of a worker's response, in bytes.
    pub max_response_bytes: usize,
    /// A connection to a worker must be established within this time.
    pub connect_timeout: Duration,
    /// The front end closes an idle worker connection after this time, earlier than the worker would.
    pub worker_idle_timeout: Duration,
    /// A connection is closed if a write on it makes no progress for this long.
    pub write_stall_timeout: Duration,
    /// Interval at which a stalled write checks for cancellations and drains.
    pub write_check_interval: Duration,
    /// A response that has begun counts as incomplete if none of it arrives for this long.
    pub response_stall_timeout: Duration,
    /// Responses to a call may arrive for this long after its client's timeout.
    pub late_response_grace: Duration,
    /// A load order times out if it is not answered within this time.
    pub load_order_timeout: Micros,
    /// A worker connection with open exchanges is sent a keepalive probe once it has been quiet for this long.
    pub keepalive_idle: Duration,
    /// A worker connection on which no exchange was opened since the last response is probed again once it has been
    /// quiet for this percentage of its oldest exchange's age.
    pub keepalive_repeat_percent: u32,
    /// A worker connection is closed if a keepalive probe is not answered within this time.
    pub keepalive_timeout: Duration,
    /// Interval at which worker connections are checked for due and unanswered keepalive probes.
    pub keepalive_check_interval: Micros,

    // The process.
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Bytes that the requests of one client connection may reserve together.
    pub max_connection_request_bytes: usize,
    /// Bytes that all requests and unsent responses may reserve together.
    pub memory_budget_bytes: usize,
    /// Bytes of them that all requests may reserve which are not completely received.
    pub max_partial_request_bytes: usize,
    /// Bytes of them that all completely received requests may reserve.
    pub max_request_bytes: usize,
    /// Stack size of a coroutine, in bytes.
    pub coroutine_stack_bytes: usize,
    /// The listeners stay open for this long after SIGTERM.
    pub listener_close_delay: Duration,
    /// Longest time that a stopping process waits for client connections once its listeners are closed. It exceeds the
    /// longest client wait of any class, so that every admitted request is answered. Requests that are open when
    /// something kills the process sooner are not counted as lost.
    pub shutdown_timeout: Duration,
    /// Longest time that a stopping process without open requests waits, once its listeners are closed, for clients to
    /// take their responses.
    pub shutdown_delivery_timeout: Duration,

    /// Sizes and times of the connection to the discovery service.
    pub discovery: DiscoveryLimits,
}

impl Limits {
    /// Computes the limits from the platform's memory limit (in MB) and descriptor limit and from the settings.
    pub fn new(memory_mb: u64, descriptors: u64, settings: &Settings) -> Self {
        let process = ProcessSize::new(memory_mb, descriptors);
        let memory_budget_bytes = process.memory_bytes / MEMORY_BUDGET_DIVISOR;
        Limits {
            request_record_bytes: REQUEST_RECORD_BYTES,
            short_response_bytes: SHORT_RESPONSE_BYTES,
            max_body_bytes: REQUEST_BODY_BYTES,
            max_head_bytes: HEAD_BYTES,
            request_read_timeout: REQUEST_READ_TIMEOUT,
            max_request_timeout: REQUEST_TIMEOUT_MAX,
            default_request_timeout: REQUEST_TIMEOUT_DEFAULT,
            max_response_margin: RESPONSE_MARGIN_MAX,
            max_replica_memory_mb: REPLICA_MEMORY_MB_MAX,
            max_replica_concurrency: REPLICA_CONCURRENCY_MAX,
            max_client_connections: max_client_connections(process.descriptors),
            max_requests_per_connection: REQUESTS_PER_CONNECTION,
            max_unsent_bytes: UNSENT_BYTES_MAX,
            client_ring_bytes: SMALL_RING_BYTES,
            first_request_timeout: FIRST_REQUEST_TIMEOUT,
            client_idle_timeout: CLIENT_IDLE_TIMEOUT,
            drain_idle_timeout: Duration::ZERO,
            client_check_interval: CLIENT_CHECK_INTERVAL,
            drain_serve_time: DRAIN_SERVE_TIME,
            linger_timeout: LINGER_TIMEOUT,
            max_delivery_backlog: DELIVERY_BACKLOG_BYTES,
            delivery_settle_time: DELIVERY_SETTLE_TIME,
            delivery_timeout: DELIVERY_TIMEOUT,
            max_discarded_bytes: DISCARDED_BYTES_MAX,
            descriptors: process.descriptors,
            max_v2_connections_per_worker: max_v2_connections(process.descriptors),
            max_streams_per_connection: max_streams(settings),
            worker_ring_bytes: WORKER_RING_BYTES,
            max_response_bytes: RESPONSE_BYTES,
            connect_timeout: connect_timeout(settings),
            worker_idle_timeout: worker_idle_timeout(settings),
            write_stall_timeout: WRITE_STALL_TIMEOUT,
            write_check_interval: WRITE_CHECK_INTERVAL,
            response_stall_timeout: RESPONSE_STALL_TIMEOUT,
            late_response_grace: LATE_RESPONSE_GRACE,
            load_order_timeout: load_order_timeout(settings),
            keepalive_idle: keepalive_idle(settings),
            keepalive_repeat_percent: keepalive_repeat_percent(settings),
            keepalive_timeout: KEEPALIVE_TIMEOUT,
            keepalive_check_interval: KEEPALIVE_CHECK_INTERVAL,
            memory_bytes: process.memory_bytes,
            max_connection_request_bytes: CONNECTION_REQUEST_BYTES,
            memory_budget_bytes,
            max_partial_request_bytes: memory_budget_bytes / PARTIAL_REQUESTS_DIVISOR,
            max_request_bytes: memory_budget_bytes - memory_budget_bytes / RESPONSES_DIVISOR,
            coroutine_stack_bytes: STACK_BYTES,
            listener_close_delay: LISTENER_CLOSE_DELAY,
            shutdown_timeout: shutdown_timeout(settings),
            shutdown_delivery_timeout: shutdown_delivery_timeout(settings),
            discovery: DiscoveryLimits::new(process.memory_bytes, settings),
        }
    }

    /// Bytes of the memory budget that only responses may reserve which the front makes itself.
    pub fn direct_response_bytes(&self) -> usize {
        self.memory_budget_bytes / DIRECT_RESPONSES_DIVISOR
    }

    /// The part of a request's timeout that is reserved for delivering its response: at most a quarter of the timeout.
    pub fn response_margin(&self, timeout: Micros) -> Micros {
        self.max_response_margin.min(timeout / 4)
    }
}

/// The platform's limits of the process, clamped to the supported range.
struct ProcessSize {
    memory_bytes: usize,
    descriptors: usize,
}

impl ProcessSize {
    fn new(memory_mb: u64, descriptors: u64) -> Self {
        ProcessSize {
            memory_bytes: memory_mb.clamp(MEMORY_MB_MIN, MEMORY_MB_MAX) as usize * MIB,
            descriptors: descriptors.clamp(DESCRIPTORS_MIN, DESCRIPTORS_MAX) as usize,
        }
    }
}

fn keepalive_idle(settings: &Settings) -> Duration {
    if is_large_fleet(settings) {
        KEEPALIVE_IDLE_LARGE_FLEET
    } else {
        KEEPALIVE_IDLE
    }
}

fn keepalive_repeat_percent(settings: &Settings) -> u32 {
    if is_large_fleet(settings) {
        KEEPALIVE_REPEAT_PERCENT_LARGE_FLEET
    } else {
        KEEPALIVE_REPEAT_PERCENT
    }
}

fn is_large_fleet(settings: &Settings) -> bool {
    settings.front_ends > LARGE_FLEET_FRONT_ENDS
}

/// Half of the descriptors that are neither reserved nor left to workers, as each client connection takes two.
fn max_client_connections(descriptors: usize) -> usize {
    let workers = descriptors / WORKER_DESCRIPTOR_DIVISOR;
    (descriptors - workers - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CLIENT
}

fn max_v2_connections(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_V2_CONNECTION).max(V2_CONNECTIONS_MIN)
}

fn connect_timeout(settings: &Settings) -> Duration {
    duration_or(settings.connect_timeout, CONNECT_DEFAULT_MS)
}

fn max_streams(settings: &Settings) -> usize {
    if settings.streams_per_connection > 0 {
        settings.streams_per_connection as usize
    } else {
        STREAMS_DEFAULT
    }
}

fn worker_idle_timeout(settings: &Settings) -> Duration {
    let idle = duration_or(settings.connection_idle_timeout, WORKER_IDLE_DEFAULT_MS);
    idle.saturating_sub(idle / WORKER_IDLE_MARGIN_DIVISOR)
}

fn load_order_timeout(settings: &Settings) -> Micros {
    if settings.order_timeout > 0 {
        settings.order_timeout
    } else {
        LOAD_ORDER_TIMEOUT_DEFAULT
    }
}

fn shutdown_timeout(settings: &Settings) -> Duration {
    let longest_wait = Duration::from_micros(settings.longest_wait);
    SHUTDOWN_TIMEOUT_MIN.max(longest_wait + SHUTDOWN_MARGIN)
}

fn shutdown_delivery_timeout(settings: &Settings) -> Duration {
    let longest_wait = match settings.longest_wait {
        0 => COUNTED_WAIT_MAX, // not stated
        stated => Duration::from_micros(stated),
    };
    longest_wait
        .min(COUNTED_WAIT_MAX)
        .saturating_sub(KILL_MARGIN)
}

/// The time that the settings state, or the default if it is 0, which stands for "not stated".
fn duration_or(stated: Micros, default_ms: u64) -> Duration {
    if stated > 0 {
        Duration::from_micros(stated)
    } else {
        Duration::from_millis(default_ms)
    }
}
