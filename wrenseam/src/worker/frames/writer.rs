//! The writing side of one connection to a worker: what goes out, in which order, and what is taken back before it does.
use super::super::ticket::LOOK_AGAIN;
use super::codec;
use super::connection::{break_up, report, Command, Exchange, Opening, State, What};
use super::reader::{nothing_lies, read_answers};
use super::send_queue::{Cut, QueuedFrame, SendQueue};
use crate::limits::Limits;
use crate::model::{AttemptKey, AttemptReport};
use crate::net::{sleep, spawn, Failure, SystemCalls};
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::Outcome;

/// How far a call had come when it was given up.
enum GivenUp {
    /// A byte of it was written: its worker is told, by this id.
    Written(u64),
    /// None was, and none will be.
    Cut,
}

/// The writing coroutine of one connection.
pub(super) struct Writer {
    address: SocketAddr,
    state: Arc<State>,
    reports: CoreHandle,
    limits: Arc<Limits>,
    calls: Arc<dyn SystemCalls>,
    waiting: VecDeque<Command>,
    /// The frames in the ring.
    line: SendQueue,
    ring: Ring,
}

impl Writer {
    pub(super) fn run(
        address: SocketAddr,
        queue: Receiver<Command>,
        state: Arc<State>,
        limits: Arc<Limits>,
        reports: CoreHandle,
        calls: Arc<dyn SystemCalls>,
    ) {
        let ring = Ring::new(limits.worker_ring);
        let (waiting, line) = (VecDeque::new(), SendQueue::default());
        let mut writer = Writer {
            address,
            state,
            reports,
            limits,
            calls,
            waiting,
            line,
            ring,
        };
        if let Err(why) = writer.connection(&queue) {
            note!("worker {address}: connection ended: {why}");
        }
        break_up(&writer.state, &writer.reports);
        // A connection that has ended gives up whatever was open on it.
        writer
            .line
            .take_confirmations()
            .for_each(|key| writer.given_up(key));
        // What is or comes still in the queue was never written. The core lets go of the queue at its sweep.
        for command in std::mem::take(&mut writer.waiting) {
            writer.refuse(command);
        }
        while let Ok(command) = queue.recv() {
            writer.refuse(command);
        }
    }

    fn refuse(&self, command: Command) {
        if let Command::Open(Opening { what, ticket, .. }) = command {
            if ticket.end() {
                report(&self.reports, &self.state, what, Outcome::ConnectFailed);
            }
        }
    }

    fn connection(&mut self, queue: &Receiver<Command>) -> Result<(), String> {
        let address = self.address;
        let text = |e: std::io::Error| e.to_string();
        let stream = self
            .calls
            .connect(&address, self.limits.connect)
            .map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let reader = stream.try_clone().map_err(text)?;
        let (state, reports, limits) = (
            self.state.clone(),
            self.reports.clone(),
            self.limits.clone(),
        );
        spawn(self.limits.stack, move || {
            if let Err(why) = read_answers(reader, &state, &reports, &limits) {
                note!("worker {address}: connection closed: {why}");
            }
            break_up(&state, &reports);
        })
        .map_err(text)?;
        let mut end = Ok(());
        while end.is_ok() {
            // Nothing is left to write here: wait for more. The core lets go of idle connections.
            let Ok(command) = queue.recv() else { break };
            self.take(command);
            end = self.write_all(&stream, queue);
        }
        let _ = stream.shutdown(Shutdown::Both); // the reader sees the end and leaves
        end
    }

    fn take(&mut self, command: Command) {
        if matches!(
            command,
            Command::Open(Opening {
                what: What::Probe,
                ..
            })
        ) {
            self.state.asking.store(true, Ordering::Release);
        }
        self.waiting.push_back(command);
    }

    /// Whether nothing has come since a question was asked, read or unread: what came while we stood still lies there.
    fn mute(&self, asked: Instant, stream: &TcpStream) -> bool {
        let heard = self.state.table.lock().ok().and_then(|t| t.heard);
        heard.is_none_or(|h| h < asked) && nothing_lies(stream)
    }

    /// Writes until nothing waits.
    fn write_all(&mut self, stream: &TcpStream, queue: &Receiver<Command>) -> Result<(), String> {
        let mut stalled = Duration::ZERO;
        // Nothing waits inside a write: what is claimed goes out now or is not claimed, so that it is never older than
        // the look at its client.
        let nap = self.limits.write_check / 10;
        loop {
            while let Ok(command) = queue.try_recv() {
                self.take(command);
            }
            let close = |c: &Command| match c {
                Command::Close(asked) => Some(*asked),
                _ => None,
            };
            if self
                .waiting
                .iter()
                .filter_map(close)
                .any(|asked| self.mute(asked, stream))
            {
                note!(
                    "worker {}: connection closed: no word from it",
                    self.address
                );
                return Err("given up".to_owned());
            }
            self.waiting.retain(|c| close(c).is_none());
            if self.state.retired.load(Ordering::Acquire) {
                self.withhold();
            }
            self.fill()?;
            // While writes stall only the next frame is begun: what is behind it can be taken back.
            let written = self.state.progress.bytes();
            let (most, cuts) = self.line.claim(written, Instant::now(), !stalled.is_zero());
            self.cut(cuts, Outcome::NotSent);
            if self.ring.is_empty() {
                if self.waiting.is_empty() {
                    return Ok(());
                }
                continue; // all that was in it has been cut: what did not fit comes next
            }
            if most == 0 {
                sleep(LOOK_AGAIN);
                continue;
            }
            let front = self.ring.front();
            let next = &front[..most.min(front.len())];
            match self.state.progress.write(|| self.calls.write(stream, next)) {
                Ok(0) => return Err("closed".to_owned()),
                Ok(n) => {
                    stalled = Duration::ZERO;
                    self.ring.consume(n);
                    let confirmed = self.line.written(written + n as u64);
                    confirmed.into_iter().for_each(|key| self.given_up(key));
                }
                Err(e) if Failure::of(&e) != Failure::Over => {
                    self.line.written(written); // nothing was: what was claimed waits again
                    sleep(nap);
                    stalled += nap;
                    if self.line.is_overdue(written, Instant::now()) {
                        return Err(
                            "a repeat was not written while its worker would drop it".to_owned()
                        );
                    }
                    if stalled >= self.limits.write_stall {
                        return Err("nothing could be written for long".to_owned());
                    }
                }
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// Takes frames out of the ring of which no byte was written; those that had not ended yet end so.
    fn cut(&mut self, cuts: Vec<Cut>, outcome: Outcome) {
        if cuts.is_empty() {
            return;
        }
        let Ok(mut table) = self.state.table.lock() else {
            return;
        };
        let mut ended = Vec::new();
        for Cut { at, len, id, ends } in cuts {
            self.ring.cut(at, len);
            let exchange = id.and_then(|id| table.open.remove(&id));
            ended.extend(exchange.filter(|_| ends).map(|e| e.what));
        }
        for (&id, exchange) in &mut table.open {
            exchange.end = self.line.end(id).unwrap_or(exchange.end); // those behind have moved up
        }
        drop(table);
        ended
            .into_iter()
            .for_each(|what| report(&self.reports, &self.state, what, outcome));
    }

    /// After a drain: takes back what waits and what lies unbegun in the ring.
    fn withhold(&mut self) {
        let mut kept = VecDeque::new();
        for command in std::mem::take(&mut self.waiting) {
            match command {
                Command::Open(Opening {
                    what,
                    bound: true,
                    ticket,
                    ..
                }) => {
                    if ticket.end() {
                        report(&self.reports, &self.state, what, Outcome::NotSent);
                    }
                }
                other => kept.push_back(other),
            }
        }
        self.waiting = kept;
        let written = self.state.progress.bytes();
        let cuts = self.line.cut_where(written, |p| p.bound);
        self.cut(cuts, Outcome::NotSent);
    }

    /// Moves what waits into the ring, as far as whole frames fit.
    fn fill(&mut self) -> Result<(), String> {
        while let Some(command) = self.waiting.front() {
            let len = match command {
                Command::Open(opening) => opening.frame.len(),
                Command::Plain(frame) => frame.len(),
                Command::Close(_) => 0,
                Command::Cancel(_) => codec::BARE,
            };
            if len > self.ring.free() {
                if self.ring.is_empty() {
                    return Err(format!("a frame of {len} bytes is larger than the ring"));
                }
                return Ok(());
            }
            let Some(command) = self.waiting.pop_front() else {
                return Ok(());
            };
            match command {
                Command::Open(opening) => self.join(opening)?,
                Command::Plain(frame) => self.plain(&frame, None),
                Command::Close(_) => {} // decided where it came in
                Command::Cancel(what) => {
                    // An order stands, whether its answer is awaited or not.
                    match (self.give_up(what), what) {
                        (Some(GivenUp::Written(id)), What::Attempt(key)) => {
                            self.plain(&codec::give_up(id), Some(key));
                        }
                        (Some(GivenUp::Cut), What::Attempt(key)) => {
                            self.reports.attempt_ended(
                                key,
                                AttemptReport::without_payload(Outcome::NotSent),
                            );
                        }
                        _ => {}
                    }
                }
            }
        }
        Ok(())
    }

    /// Queues a frame that is owed no answer. Once it is written, `confirms` has been given up.
    fn plain(&mut self, frame: &[u8], confirms: Option<AttemptKey>) {
        self.line.join(QueuedFrame {
            len: frame.len(),
            confirms,
            ..QueuedFrame::default()
        });
        self.ring.push(frame);
    }

    fn given_up(&self, key: AttemptKey) {
        self.reports
            .attempt_ended(key, AttemptReport::without_payload(Outcome::Cancelled));
    }

    fn join(&mut self, opening: Opening) -> Result<(), String> {
        let Opening {
            what,
            id,
            function,
            frame,
            bound,
            ticket,
        } = opening;
        let Ok(mut table) = self.state.table.lock() else {
            return Err("poisoned".to_owned());
        };
        if table.broken || table.open.contains_key(&id) {
            // Two exchanges under one id could not be told apart: the later one is not sent.
            drop(table);
            if ticket.end() {
                report(&self.reports, &self.state, what, Outcome::ConnectFailed);
            }
            return Ok(());
        }
        let ticket_too = Some(ticket.clone());
        let end = self.line.join(QueuedFrame {
            len: frame.len(),
            id: Some(id),
            bound,
            ticket: ticket_too,
            confirms: None,
        });
        table.open.insert(
            id,
            Exchange {
                what,
                end,
                since: Instant::now(),
                function,
                ticket,
            },
        );
        self.ring.push(&frame);
        Ok(())
    }

    /// Closes what is out here; `None` if it has ended already.
    fn give_up(&mut self, what: What) -> Option<GivenUp> {
        let id = {
            let table = self.state.table.lock().ok()?;
            table
                .open
                .iter()
                .find(|(_, e)| e.what == what)
                .map(|(&id, _)| id)?
        };
        let written = self.state.progress.bytes();
        let cuts = self.line.cut_where(written, |p| p.id == Some(id));
        self.state.load.fetch_sub(1, Ordering::AcqRel);
        if cuts.is_empty() {
            self.state.table.lock().ok()?.open.remove(&id);
            return Some(GivenUp::Written(id));
        }
        // Whoever gave it up has ended it.
        self.cut(
            cuts.into_iter().map(|c| Cut { ends: false, ..c }).collect(),
            Outcome::NotSent,
        );
        Some(GivenUp::Cut)
    }
}
