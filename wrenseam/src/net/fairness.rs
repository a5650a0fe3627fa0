//! Fair scheduling of what clients send and of the responses to it. All sockets share the scheduler's only thread, which
//! polls them when no coroutine is ready, and all requests share the core. What bounds a client's part of both is the work
//! that it causes: a connection that causes more than its allowance takes turns with the others that do, and after each
//! turn nobody of them runs for as long as the turn took.
use super::sleep;
use may::sync::{Mutex, MutexGuard};
use std::sync::{OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Bytes that are read for one unit of work. A FastCGI record counts as a unit too.
const BYTES_PER_UNIT: usize = 256;
/// Units of work of an HTTP request: about the records of a FastCGI request.
pub const HTTP_REQUEST_UNITS: u32 = 6;
/// The longest time that one unit may take; work that takes longer counts as more units. All together regain half of the
/// scheduler's time.
const TIME_PER_UNIT: Duration = Duration::from_micros(500_000 / REGAINED_UNITS_PER_S);
/// Units that a connection may use at once before it has to take turns: some eighty requests.
const ALLOWANCE_UNITS: u32 = 512;
/// Those that a new connection may use: some forty requests, more than may be open on it.
const NEW_CONNECTION_UNITS: u32 = 256;
/// Those that a new connection may use where many come one after the other: some two requests.
const LEAST_NEW_CONNECTION_UNITS: u32 = 16;
/// Units for new connections that are regained per second, and the most that are kept.
const POOL_REGAINED_PER_S: u64 = 10_000;
const POOL_UNITS: u32 = 16 * NEW_CONNECTION_UNITS;
/// Units that all connections together regain per second, each an equal part of it.
const REGAINED_UNITS_PER_S: u64 = 10_000;
/// Units of one turn: some ten requests.
const TURN_UNITS: u32 = 64;
/// A turn that is not at a good place to end is ended after this many units.
const MAX_TURN_UNITS: u32 = 8 * TURN_UNITS;
/// A turn is over after this time too, whatever the units cost on this machine.
const TURN_TIME: Duration = Duration::from_millis(2);
/// Bounds of the pause after a turn. After a mere yield the scheduler would run the same coroutine again before it polls
/// any socket.
const MIN_PAUSE: Duration = Duration::from_micros(100);
const MAX_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause of a writer.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(2);
/// After this many responses that were written without waiting for the next one, other connections get their turn.
const MAX_WRITES: u32 = 16;
/// Held by the one reader that has its turn. Waiting readers get it in the order in which they asked for it.
static TURN: OnceLock<Mutex<()>> = OnceLock::new();

/// The units of work that reading this many bytes counts as.
pub fn units_of_bytes(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_UNIT).unwrap_or(u32::MAX)
}

/// What a connection may use without taking turns. No I/O; the time is an argument.
#[derive(Clone, Copy, Debug)]
pub struct WorkAllowance {
    /// Units used and not regained yet.
    used: u32,
    /// Until when units have been regained.
    regained_until: Instant,
}

/// What all new connections together may use: clients may open connections without end. No I/O; the time is an argument.
#[derive(Debug)]
pub struct NewConnectionPool {
    units: u32,
    regained_until: Instant,
}

impl NewConnectionPool {
    /// A pool that is full at `now`.
    pub fn new(now: Instant) -> Self {
        NewConnectionPool {
            units: POOL_UNITS,
            regained_until: now,
        }
    }

    /// Takes the units of a connection that is new at `now`, and returns how many it may use.
    pub fn take(&mut self, now: Instant) -> u32 {
        let micros_per_unit = 1_000_000 / POOL_REGAINED_PER_S;
        let elapsed = now.saturating_duration_since(self.regained_until);
        let regained = elapsed.as_micros() as u64 / micros_per_unit;
        self.regained_until += Duration::from_micros(regained * micros_per_unit);
        let regained = u32::try_from(regained).unwrap_or(u32::MAX);
        self.units = self.units.saturating_add(regained).min(POOL_UNITS);
        let taken = self.units.min(NEW_CONNECTION_UNITS);
        self.units -= taken;
        taken.max(LEAST_NEW_CONNECTION_UNITS)
    }
}

/// The pool of this process.
static NEW_CONNECTIONS: OnceLock<std::sync::Mutex<NewConnectionPool>> = OnceLock::new();

fn units_of_new_connection(now: Instant) -> u32 {
    let pool = NEW_CONNECTIONS.get_or_init(|| NewConnectionPool::new(now).into());
    let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
    pool.take(now)
}

impl WorkAllowance {
    /// The allowance of a connection that is new at `now` and may use this many units.
    pub fn new(now: Instant, units: u32) -> Self {
        WorkAllowance {
            used: ALLOWANCE_UNITS.saturating_sub(units),
            regained_until: now,
        }
    }

    /// Counts work at `now`, while this many connections share what is regained. Returns whether the allowance is used
    /// up.
    pub fn charge(&mut self, units: u32, now: Instant, connections: usize) -> bool {
        self.regain(now, connections);
        // What is above twice the allowance is forgotten, so that a client is soon at its usual speed again.
        self.used = self.used.saturating_add(units).min(2 * ALLOWANCE_UNITS);
        self.used > ALLOWANCE_UNITS
    }

    fn regain(&mut self, now: Instant, connections: usize) {
        let elapsed = now.saturating_duration_since(self.regained_until);
        let micros_per_unit = 1_000_000 * connections.max(1) as u64 / REGAINED_UNITS_PER_S;
        let regained = elapsed.as_micros() as u64 / micros_per_unit;
        self.used = self
            .used
            .saturating_sub(u32::try_from(regained).unwrap_or(u32::MAX));
        self.regained_until += Duration::from_micros(regained * micros_per_unit);
    }
}

/// Measures how long a reader runs, as input may cost more than its bytes and records tell. No I/O; the time is an
/// argument.
#[derive(Clone, Copy, Debug)]
pub struct WorkClock {
    running_since: Instant,
    /// Time that is not charged yet, less than that of a unit.
    uncharged: Duration,
}

impl WorkClock {
    /// The clock of a reader that runs from `now` on.
    pub fn new(now: Instant) -> Self {
        WorkClock {
            running_since: now,
            uncharged: Duration::ZERO,
        }
    }

    /// The reader has waited, and runs again from `now` on.
    pub fn resume(&mut self, now: Instant) {
        self.running_since = now;
    }

    /// The units to charge for work that counts as `counted` units and was done until `now`.
    pub fn units(&mut self, counted: u32, now: Instant) -> u32 {
        let worked = self.uncharged + now.saturating_duration_since(self.running_since);
        self.running_since = now;
        let units = worked.as_micros() / TIME_PER_UNIT.as_micros();
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        self.uncharged = if units >= counted {
            worked.saturating_sub(TIME_PER_UNIT.saturating_mul(units))
        } else {
            Duration::ZERO
        };
        units.max(counted)
    }
}

/// The turn of a reader that has used up its allowance.
struct Turn {
    began_at: Instant,
    _guard: MutexGuard<'static, ()>,
}

/// Counts the work of one connection's reader, and has it take turns.
pub struct ReadTurns {
    allowance: WorkAllowance,
    clock: WorkClock,
    is_exhausted: bool,
    turn: Option<Turn>,
    /// Units since the last pause, and the time of the turns in which they were used. A connection whose input comes bit by
    /// bit uses them in several turns.
    units: u32,
    worked: Duration,
}

impl Default for ReadTurns {
    fn default() -> Self {
        let now = Instant::now();
        ReadTurns {
            allowance: WorkAllowance::new(now, units_of_new_connection(now)),
            clock: WorkClock::new(now),
            is_exhausted: false,
            turn: None,
            units: 0,
            worked: Duration::ZERO,
        }
    }
}

impl ReadTurns {
    /// Records that the reader has waited for something until now.
    pub fn resume(&mut self) {
        self.clock.resume(Instant::now());
    }

    /// Counts work of these units, or of as many as its time amounts to, while there are this many client connections.
    pub fn charge(&mut self, units: u32, connections: usize) {
        let now = Instant::now();
        let units = self.clock.units(units, now);
        self.is_exhausted = self.allowance.charge(units, now, connections);
        self.units = self.units.saturating_add(units);
    }

    /// Whether the connection has its turn.
    pub fn has_turn(&self) -> bool {
        self.turn.is_some()
    }

    /// Whether the turn is over, if the next input may wait.
    pub fn is_turn_over(&self) -> bool {
        self.turn.is_some() && self.is_turn_used_up()
    }

    fn is_turn_used_up(&self) -> bool {
        let in_turn = self
            .turn
            .as_ref()
            .map_or(Duration::ZERO, |turn| turn.began_at.elapsed());
        self.units >= TURN_UNITS || self.worked + in_turn >= TURN_TIME
    }

    /// Whether the units of a turn are used, in a turn or outside.
    pub fn has_used_turn(&self) -> bool {
        self.units >= TURN_UNITS
    }

    /// Whether another turn is needed, whatever the next input is.
    pub fn must_end_turn(&self) -> bool {
        self.units >= MAX_TURN_UNITS
    }

    /// Waits for the connection's turn, if it has to take turns. Called before input is handled.
    pub fn begin(&mut self) {
        if self.turn.is_some() {
            return;
        }
        if !self.is_exhausted {
            return self.reset();
        }
        let Ok(guard) = TURN.get_or_init(Mutex::default).lock() else {
            return;
        };
        self.turn = Some(Turn {
            began_at: Instant::now(),
            _guard: guard,
        });
        self.resume();
    }

    /// Ends the turn. Once the units of a turn are used, no reader that takes turns runs for as long as that took, so that
    /// all others do.
    pub fn end(&mut self) {
        let Some(turn) = self.turn.take() else {
            return;
        };
        self.worked += turn.began_at.elapsed();
        if self.is_turn_used_up() {
            sleep(self.worked.clamp(MIN_PAUSE, MAX_PAUSE));
            self.reset();
        }
        drop(turn);
    }

    fn reset(&mut self) {
        self.units = 0;
        self.worked = Duration::ZERO;
    }
}

/// Counts the responses that a connection's writer writes without waiting, and pauses it when others must get their turn: for
/// as long as it has run since the last pause, so that all coroutines that are ready run and the sockets are polled.
pub(super) struct WritePacer {
    written: u32,
    paused_at: Instant,
}

impl Default for WritePacer {
    fn default() -> Self {
        WritePacer {
            written: 0,
            paused_at: Instant::now(),
        }
    }
}

impl WritePacer {
    /// Records that the writer had to wait for a response.
    pub(super) fn record_wait(&mut self) {
        self.written = 0;
        self.paused_at = Instant::now();
    }

    /// Records a written response. May pause the calling coroutine.
    pub(super) fn record_write(&mut self) {
        self.written += 1;
        if self.written >= MAX_WRITES {
            self.written = 0;
            sleep(self.paused_at.elapsed().clamp(MIN_PAUSE, MAX_WRITE_PAUSE));
            self.paused_at = Instant::now();
        }
    }
}
