//! The fronts: each parses its protocol, hands neutral requests to the core and writes the one final answer.
pub mod fastcgi;
pub mod kserve;

use crate::core::{Message, Shared};
use crate::limits::{Budget, Limits};
use crate::net::{spawn, Outbox, Seat, Seats};
use may::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

/// What every front needs.
#[derive(Clone)]
pub struct Doors {
    /// The core's queue.
    pub core: Sender<Message>,
    /// All limits.
    pub limits: Arc<Limits>,
    /// Bytes held over all requests.
    pub budget: Budget,
    /// Client connections over all fronts.
    pub seats: Seats,
    /// Bytes of answers not yet written.
    pub unsent: Arc<AtomicUsize>,
    /// What the core shows.
    pub shared: Arc<Shared>,
    /// Set once the listeners are to close.
    pub closing: Arc<AtomicBool>,
}

impl Doors {
    /// Starts the writer of a client connection.
    pub fn outbox(&self, stream: TcpStream) -> std::io::Result<Outbox> {
        Outbox::start(stream, &self.limits, &self.budget, &self.unsent)
    }
}

/// Accepts connections until the listeners close, each served by a coroutine of its own.
pub fn accept(
    listener: &TcpListener, doors: &Doors, front: &'static str, serve: fn(TcpStream, &Doors, Seat),
) {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                // Guards the descriptors that workers and the board need.
                let Some(seat) = doors.seats.take() else {
                    eprintln!("{front}: connection of {peer} closed, all client connections are taken");
                    continue;
                };
                let inside = doors.clone();
                let _ = stream.set_nodelay(true); // a connection without it is only slower
                if let Err(e) = spawn(doors.limits.stack, move || serve(stream, &inside, seat)) {
                    eprintln!("{front}: connection of {peer} closed: {e}");
                }
            }
            Err(_) if doors.closing.load(std::sync::atomic::Ordering::Acquire) => return,
            Err(e) => {
                eprintln!("{front}: accept: {e}");
                may::coroutine::sleep(Duration::from_millis(10));
            }
        }
    }
}

/// Whether an idempotency key can travel on every wire: no separator, no blank.
pub fn token_fits(token: &str) -> bool {
    !token.is_empty()
        && token.len() <= 128
        && token.bytes().all(|b| b.is_ascii_graphic() && !b",=;\"\\".contains(&b))
}

/// The function that 16 hex digits name.
pub fn function(name: &str) -> Option<u64> {
    (name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(name, 16).ok())
        .flatten()
}

/// Milliseconds as a client writes them, in microseconds.
pub fn millis(text: &str) -> Option<u64> {
    let ms: f64 = text.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some((ms * 1000.0) as u64)
}
