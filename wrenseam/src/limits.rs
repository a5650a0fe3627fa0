//! All sizes, counts and times of the program, worked out once at the start and handed down.
use std::time::Duration;
use wrenseam_policy::{Micros, Settings};

/// Descriptors kept back whatever the limit, besides an eighth of it: standard streams, the scheduler's own,
/// listeners, the discovery service, the admin endpoint and its callers, the first worker connections. At 192
/// descriptors an eighth alone (24) left the program one over its limit.
pub const RESERVED_DESCRIPTORS: usize = 40;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// From more front ends than this the workers are shared by so many that keepalive checks cost more than they are worth,
/// and calls of the discovery service are spread.
const LARGE_FLEET_FRONT_ENDS: u32 = 16;

/// The descriptor limits that can be worked with; a limit outside counts as the nearest.
const DESCRIPTORS_MIN: u64 = 64;
const DESCRIPTORS_MAX: u64 = 1 << 20;

/// The memory limits that can be worked with, in MB; a limit outside counts as the nearest.
const MEMORY_MB_MIN: u64 = 32;
const MEMORY_MB_MAX: u64 = 1 << 20;

/// Descriptors of a client connection: one a direction.
const DESCRIPTORS_PER_CLIENT: usize = 2;

/// The part of the descriptors that clients leave to workers, as a divisor.
const WORKER_DESCRIPTOR_DIVISOR: usize = 8;

/// Descriptors for each connection to one v2 worker, and the fewest such connections.
const DESCRIPTORS_PER_V2_CONNECTION: usize = 128;
const V2_CONNECTIONS_MIN: usize = 2;

/// The part of the memory that bodies and unsent answers may take, as a divisor: an attempt's frame is a second
/// copy, and rings and stacks come on top.
const HELD_MEMORY_DIVISOR: usize = 4;

/// Most bytes of a request's body.
const REQUEST_BODY_BYTES: usize = 16 * KIB;

/// Most bytes of the head of a request or a response.
const HEAD_BYTES: usize = 16 * KIB;

/// Size of a ring that reads small messages.
const SMALL_RING_BYTES: usize = 4 * KIB;

/// Most bytes of answers, both of one from a worker and of those waiting on a client connection.
const ANSWER_BYTES: usize = MIB;

/// A slow client may take this long to send a request, from its first byte to its last.
const REQUEST_READ: Duration = Duration::from_millis(2_000);

/// The longest wait that a client may name (10 minutes), and the one where it names none.
const CLIENT_WAIT_MAX: Micros = 600_000_000;
const CLIENT_WAIT_DEFAULT: Micros = 4_000_000;

/// An answer needs this time on its way to the client.
const ANSWER_MARGIN: Micros = 80_000;

/// The largest figures of a replica that a request may state; larger ones are mistakes.
const REPLICA_MEMORY_MB_MAX: f64 = 1e6;
const REPLICA_CONCURRENCY_MAX: f64 = 1024.0;

/// Open requests on one client connection.
const REQUESTS_PER_CONNECTION: usize = 32;

/// How often a client connection looks at its times, the shortest of which are 2 s.
const CLIENT_CHECK: Duration = Duration::from_millis(250);

/// A client has this long to close after our half-close, within the time that a stopping process has.
const LINGER: Duration = Duration::from_millis(320);

/// Bytes of a malformed request that are read and dropped, so that its client can read the answer.
const DISCARD_BYTES: usize = 64 * KIB;

/// Clients that send nothing of use expect a close within 3 s.
const FIRST_REQUEST: Duration = Duration::from_millis(2_000);

/// Usual clients close an idle connection themselves at 4 s.
const CLIENT_IDLE: Duration = Duration::from_millis(5_000);

/// Size of a worker connection's rings, which carry many exchanges.
const WORKER_RING_BYTES: usize = 64 * KIB;

/// A write that moves nothing for this long gives its connection up, and how often it looks for cancels meanwhile.
const WRITE_STALL: Duration = Duration::from_secs(5);
const WRITE_CHECK: Duration = Duration::from_millis(50);

/// The rest of an answer that has begun comes within this, or never.
const FRAME_STALL: Duration = Duration::from_millis(200);

/// Workers may answer for this long after the client's wait is over.
const LATE_ANSWER: Duration = Duration::from_secs(1);

/// Used where the settings name no idle time of worker connections, ms.
const WORKER_IDLE_DEFAULT_MS: u64 = 15_000;

/// Our side closes an idle worker connection earlier than the worker's by this part, as a divisor.
const WORKER_IDLE_MARGIN_DIVISOR: u32 = 5;

/// Used where the settings name no time for a connect, ms.
const CONNECT_DEFAULT_MS: u64 = 250;

/// Used where the settings name no number of streams a worker connection.
const STREAMS_DEFAULT: usize = 100;

/// Used where the settings name no time for a load order.
const LOAD_ORDER_DEFAULT: Micros = 10_000_000;

/// A keepalive check is answered in a few ms under load too, in a large fleet somewhat later.
const KEEPALIVE_QUIET: Duration = Duration::from_millis(200);
const KEEPALIVE_QUIET_LARGE_FLEET: Duration = Duration::from_millis(300);

/// A worker has this long to answer a keepalive check.
const KEEPALIVE_ANSWER: Duration = Duration::from_millis(200);

/// How often worker connections are looked at for keepalive checks.
const KEEPALIVE_CHECK: Micros = 50_000;

/// The part of an exchange's age after which a keepalive check is repeated, in hundredths.
const KEEPALIVE_REPEAT_PERCENT: u32 = 50;
const KEEPALIVE_REPEAT_PERCENT_LARGE_FLEET: u32 = 90;

/// Stack of a coroutine.
const STACK_BYTES: usize = 64 * KIB;

/// Whoever sends to this front end goes on for a while after SIGTERM.
const STOP_LISTENING: Duration = Duration::from_millis(700);

/// The process ends this long behind the longest wait of any class, and not before `STOP_MIN`.
const STOP_MARGIN: Duration = Duration::from_secs(1);
const STOP_MIN: Duration = Duration::from_secs(10);

/// Sizes, counts and times. Filled once; tests change single fields.
#[derive(Clone, Debug)]
pub struct Limits {
    // Requests, as the fronts check them.
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Most bytes of the parameters or headers of a request, and of the head of a response.
    pub max_head_bytes: usize,
    /// A request must have come whole within this from its first byte.
    pub request_read_timeout: Duration,
    /// Longest wait that a client may name.
    pub max_request_timeout: Micros,
    /// What a v2 client waits that does not say.
    pub default_request_timeout: Micros,
    /// Part of a client's wait kept for the way of its answer: the policy never hears of it.
    pub max_response_margin: Micros,
    /// Most MB that a replica may be said to take.
    pub max_replica_memory_mb: f64,
    /// Most requests that a replica may be said to run at a time.
    pub max_replica_concurrency: f64,

    // Client connections.
    /// Client connections open at once, over all fronts.
    pub max_client_connections: usize,
    /// Open requests on one client connection.
    pub max_requests_per_connection: usize,
    /// Bytes of answers that may wait on one client connection.
    pub max_unsent_bytes: usize,
    /// Size of a client connection's rings.
    pub client_ring_bytes: usize,
    /// A client connection that has asked for nothing of use closes after this.
    pub first_request_timeout: Duration,
    /// A client connection without a request in flight closes after this.
    pub client_idle_timeout: Duration,
    /// While the front end drains, a client connection without a request in flight closes after this.
    pub drain_idle_timeout: Duration,
    /// How often a client connection looks at these times.
    pub client_check_interval: Duration,
    /// After its half-close a client connection is read for so long, should the client not close.
    pub linger_timeout: Duration,
    /// Bytes read of what has been answered as malformed before its connection closes.
    pub max_discarded_bytes: usize,

    // Connections to workers.
    /// Descriptors of the process, of which clients and workers share what is not reserved.
    pub descriptors: usize,
    /// Connections to one v2 worker: each carries one exchange at a time.
    pub max_v2_connections_per_worker: usize,
    /// Attempts that one worker connection carries together.
    pub max_streams_per_connection: usize,
    /// Size of a worker connection's rings.
    pub worker_ring_bytes: usize,
    /// Most bytes of a worker's answer.
    pub max_response_bytes: usize,
    /// A connection to a worker must stand within this.
    pub connect_timeout: Duration,
    /// Our idle worker connections close after this, before the worker's side does.
    pub worker_idle_timeout: Duration,
    /// A write that moves nothing for this long gives its connection up.
    pub write_stall_timeout: Duration,
    /// How often a stalled write looks for cancels and drains.
    pub write_check_interval: Duration,
    /// An answer of which nothing more comes for this long has stopped short.
    pub response_stall_timeout: Duration,
    /// Answers to a call may still come so long after its client left.
    pub late_response_grace: Duration,
    /// A load order unanswered for this long has timed out.
    pub load_order_timeout: Micros,
    /// A worker connection with something open that is quiet for this long has a keepalive check sent, ...
    pub keepalive_idle: Duration,
    /// ... and again after this part of its oldest exchange's age, in hundredths, ...
    pub keepalive_repeat_percent: u32,
    /// ... and has ended if no answer comes within this.
    pub keepalive_timeout: Duration,
    /// How often worker connections are looked at for that.
    pub keepalive_check_interval: Micros,

    // The process.
    /// Bytes of bodies and unsent answers that all requests may reserve.
    pub memory_budget_bytes: usize,
    /// Stack of a coroutine, in bytes.
    pub coroutine_stack_bytes: usize,
    /// After SIGTERM the listeners stay open this long.
    pub listener_close_delay: Duration,
    /// After SIGTERM the program ends at the latest after this: behind the longest wait of any class, so that nothing
    /// that was admitted is left by it. Whatever kills it sooner counts none of that as lost.
    pub shutdown_timeout: Duration,

    /// The connection to the discovery service.
    pub discovery: DiscoveryLimits,
}

impl Limits {
    /// From the platform's memory and descriptor limits and the settings.
    pub fn new(memory_mb: u64, sockets: u64, settings: &Settings) -> Self {
        let process = ProcessSize::new(memory_mb, sockets);
        Limits {
            max_body_bytes: REQUEST_BODY_BYTES,
            max_head_bytes: HEAD_BYTES,
            request_read_timeout: REQUEST_READ,
            max_request_timeout: CLIENT_WAIT_MAX,
            default_request_timeout: CLIENT_WAIT_DEFAULT,
            max_response_margin: ANSWER_MARGIN,
            max_replica_memory_mb: REPLICA_MEMORY_MB_MAX,
            max_replica_concurrency: REPLICA_CONCURRENCY_MAX,
            max_client_connections: client_connections(process.descriptors),
            max_requests_per_connection: REQUESTS_PER_CONNECTION,
            max_unsent_bytes: ANSWER_BYTES,
            client_ring_bytes: SMALL_RING_BYTES,
            first_request_timeout: FIRST_REQUEST,
            client_idle_timeout: CLIENT_IDLE,
            drain_idle_timeout: Duration::ZERO,
            client_check_interval: CLIENT_CHECK,
            linger_timeout: LINGER,
            max_discarded_bytes: DISCARD_BYTES,
            descriptors: process.descriptors,
            max_v2_connections_per_worker: v2_connections(process.descriptors),
            max_streams_per_connection: streams(settings),
            worker_ring_bytes: WORKER_RING_BYTES,
            max_response_bytes: ANSWER_BYTES,
            connect_timeout: connect_timeout(settings),
            worker_idle_timeout: worker_idle(settings),
            write_stall_timeout: WRITE_STALL,
            write_check_interval: WRITE_CHECK,
            response_stall_timeout: FRAME_STALL,
            late_response_grace: LATE_ANSWER,
            load_order_timeout: load_order(settings),
            keepalive_idle: keepalive_quiet(settings),
            keepalive_repeat_percent: keepalive_repeat_percent(settings),
            keepalive_timeout: KEEPALIVE_ANSWER,
            keepalive_check_interval: KEEPALIVE_CHECK,
            memory_budget_bytes: process.memory_bytes / HELD_MEMORY_DIVISOR,
            coroutine_stack_bytes: STACK_BYTES,
            listener_close_delay: STOP_LISTENING,
            shutdown_timeout: stop_at_last(settings),
            discovery: DiscoveryLimits::new(process.memory_bytes, settings),
        }
    }

    /// The part of a client's wait that is kept for the way of its answer: of a short wait no more than a quarter.
    pub fn response_margin(&self, wait: Micros) -> Micros {
        self.max_response_margin.min(wait / 4)
    }
}

/// The discovery service comments each second; one that is silent longer has ended. What a silent one has to report
/// counts as reported 4 s on.
const DISCOVERY_SILENCE: Duration = Duration::from_millis(2_500);

/// Bounds of the time after which a new request is made. What the service has to report counts as
/// reported 7 s on, and a request that fails leaves time for another.
const DISCOVERY_EVENT_TIMEOUT_MIN: Duration = Duration::from_millis(3_000);
const DISCOVERY_EVENT_TIMEOUT_MAX: Duration = Duration::from_millis(4_500);

/// The service sends the events that it has well before it comments after this time.
const DISCOVERY_SETTLE: Duration = Duration::from_millis(250);

/// How often a waiting read looks whether the address has changed.
const DISCOVERY_ADDRESS_CHECK: Duration = Duration::from_millis(50);

/// First pause after a failed connection, and the longest one.
const DISCOVERY_RETRY: Duration = Duration::from_millis(100);
const DISCOVERY_RETRY_MAX_LARGE_FLEET: Duration = Duration::from_millis(1_000);

/// The front ends of a large fleet lose the service at one moment; their next requests are spread over this.
const DISCOVERY_SPREAD_LARGE_FLEET: Duration = Duration::from_millis(300);

/// The part of the memory that one event may take, as a divisor, and the least bytes. What comes of an event takes
/// some 20 times its size (`tests/large_list.rs`), which makes a third of the memory.
const DISCOVERY_EVENT_MEMORY_DIVISOR: usize = 64;
const DISCOVERY_EVENT_BYTES_MIN: usize = MIB;

/// Sizes and times of the connection to the discovery service.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// The connection must stand within this.
    pub connect_timeout: Duration,
    /// A connection on which nothing comes for so long has ended.
    pub silence_timeout: Duration,
    /// A request that is so old, or brings no event for so long, drawn from here to `event_timeout_max`, is replaced by a
    /// new one though comments come.
    pub event_timeout_min: Duration,
    /// The longest such time.
    pub event_timeout_max: Duration,
    /// A service that comments so long after the request has sent all events that it had.
    pub settle_time: Duration,
    /// How often a waiting read looks whether the service's address has changed.
    pub address_check_interval: Duration,
    /// Pause after the first failed request.
    pub retry_initial: Duration,
    /// Longest pause after failed requests.
    pub retry_max: Duration,
    /// After a request that brought something the next one is made within this, at random.
    pub reconnect_jitter: Duration,
    /// Size of the ring that the response is read into.
    pub read_buffer_bytes: usize,
    /// Most bytes of the response's head.
    pub max_head_bytes: usize,
    /// Most bytes of one event. The list of all workers is one: 150 bytes each. No buffer is larger than twice what
    /// has come.
    pub max_event_bytes: usize,
}

impl DiscoveryLimits {
    fn new(memory_bytes: usize, settings: &Settings) -> Self {
        let large_fleet = is_large_fleet(settings);
        DiscoveryLimits {
            connect_timeout: connect_timeout(settings),
            silence_timeout: DISCOVERY_SILENCE,
            event_timeout_min: DISCOVERY_EVENT_TIMEOUT_MIN,
            event_timeout_max: DISCOVERY_EVENT_TIMEOUT_MAX,
            settle_time: DISCOVERY_SETTLE,
            address_check_interval: DISCOVERY_ADDRESS_CHECK,
            retry_initial: DISCOVERY_RETRY,
            retry_max: if large_fleet {
                DISCOVERY_RETRY_MAX_LARGE_FLEET
            } else {
                DISCOVERY_RETRY
            },
            reconnect_jitter: if large_fleet {
                DISCOVERY_SPREAD_LARGE_FLEET
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

/// What the platform gives the process, within what can be worked with.
struct ProcessSize {
    memory_bytes: usize,
    descriptors: usize,
}

impl ProcessSize {
    fn new(memory_mb: u64, sockets: u64) -> Self {
        ProcessSize {
            memory_bytes: memory_mb.clamp(MEMORY_MB_MIN, MEMORY_MB_MAX) as usize * MIB,
            descriptors: sockets.clamp(DESCRIPTORS_MIN, DESCRIPTORS_MAX) as usize,
        }
    }
}

fn keepalive_quiet(settings: &Settings) -> Duration {
    if is_large_fleet(settings) {
        KEEPALIVE_QUIET_LARGE_FLEET
    } else {
        KEEPALIVE_QUIET
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

/// What clients may take once the reserved descriptors and the workers' part are kept back.
fn client_connections(descriptors: usize) -> usize {
    let workers = descriptors / WORKER_DESCRIPTOR_DIVISOR;
    (descriptors - workers - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CLIENT
}

fn v2_connections(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_V2_CONNECTION).max(V2_CONNECTIONS_MIN)
}

fn connect_timeout(settings: &Settings) -> Duration {
    duration_or(settings.connect_timeout, CONNECT_DEFAULT_MS)
}

fn streams(settings: &Settings) -> usize {
    if settings.streams_per_connection > 0 {
        settings.streams_per_connection as usize
    } else {
        STREAMS_DEFAULT
    }
}

fn worker_idle(settings: &Settings) -> Duration {
    let idle = duration_or(settings.connection_idle_timeout, WORKER_IDLE_DEFAULT_MS);
    idle.saturating_sub(idle / WORKER_IDLE_MARGIN_DIVISOR)
}

fn load_order(settings: &Settings) -> Micros {
    if settings.order_timeout > 0 {
        settings.order_timeout
    } else {
        LOAD_ORDER_DEFAULT
    }
}

fn stop_at_last(settings: &Settings) -> Duration {
    let longest_wait = Duration::from_micros(settings.longest_wait);
    STOP_MIN.max(longest_wait + STOP_MARGIN)
}

/// A setting's time, or the default where it is 0, which stands for "not stated".
fn duration_or(stated: Micros, default_ms: u64) -> Duration {
    if stated > 0 {
        Duration::from_micros(stated)
    } else {
        Duration::from_millis(default_ms)
    }
}
