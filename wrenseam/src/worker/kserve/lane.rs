//! One connection to a v2 worker: an exchange at a time, and what is known of each when the connection ends.
use super::super::ticket::{Begin, LOOK_AGAIN};
use super::messages::{attempt_report, named, order_report, Named, Reply};
use super::{Job, State, What};
use crate::http::{Chunked, Coded, Head};
use crate::limits::Limits;
use crate::model::AttemptReport;
use crate::net::{
    receive, resume_on_scheduler, sleep, timed_out, Failure, ReadOutcome, SystemCalls,
};
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::mpmc::Receiver;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::Outcome;

/// A connection that stands idle, and since when.
pub(super) struct Kept {
    stream: TcpStream,
    since: Instant,
}

impl Kept {
    /// Whether a job may go out on it: the worker is not about to close it, and nothing lies in it.
    fn usable(&self, limits: &Limits) -> bool {
        self.since.elapsed() < limits.worker_idle && still_open(&self.stream)
    }
}

/// One connection's coroutine.
pub(super) struct Lane {
    pub(super) address: SocketAddr,
    pub(super) limits: Arc<Limits>,
    pub(super) reports: CoreHandle,
    pub(super) calls: Arc<dyn SystemCalls>,
    pub(super) state: Arc<State>,
    pub(super) stream: Option<Kept>,
}

impl Lane {
    pub(super) fn run(mut self, queue: &Receiver<Job>) {
        loop {
            let next = queue.recv_timeout(self.limits.worker_idle);
            resume_on_scheduler();
            match next {
                Ok(job) => {
                    self.job(&job);
                    self.state.load.fetch_sub(1, Ordering::AcqRel);
                }
                // Guards against a call that crosses the worker's own close of an idle connection.
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => self.stream = None,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn job(&mut self, job: &Job) {
        let ended = match self.exchange(job) {
            // The connection has ended, by which the worker is told.
            Err(Outcome::Reset) if job.cancelled.load(Ordering::Acquire) => Err(Outcome::Cancelled),
            ended => ended,
        };
        match &job.what {
            What::Attempt(key, call) => {
                let report = match ended {
                    Ok(reply) => attempt_report(reply, call.wrapped),
                    Err(outcome) => AttemptReport::without_payload(outcome),
                };
                self.reports.attempt_ended(*key, report);
            }
            What::Order(order, function, copies) => {
                let (outcome, stand) = match ended {
                    Ok(reply) => order_report(&reply, *function, *copies),
                    Err(outcome) => (outcome, 0),
                };
                self.reports.load_order_ended(*order, outcome, stand);
            }
            What::Unload => {}
        }
    }

    /// Whether the job may no longer be begun.
    fn withheld(&self, job: &Job) -> bool {
        let past = job.epoch != self.state.epoch.load(Ordering::Acquire);
        job.cancelled.load(Ordering::Acquire) || past && job.bound
    }

    /// Whether its first byte may be written now.
    fn begin(&self, job: &Job) -> bool {
        loop {
            match job.ticket.begin(Instant::now()) {
                _ if self.withheld(job) => return false,
                Begin::Unread => sleep(LOOK_AGAIN),
                begin => return begin == Begin::Go,
            }
        }
    }

    /// Sends the request and reads the whole answer, or tells how far it came.
    fn exchange(&mut self, job: &Job) -> Result<Reply, Outcome> {
        if self.withheld(job) {
            return Err(Outcome::NotSent);
        }
        let mut stream = match &job.what {
            What::Attempt(..) => self.begun_stream(job)?,
            // Their answers name no call: one that came twice would put every later answer on its connection off by one.
            What::Order(..) | What::Unload => self.fresh_stream(job)?,
        };
        self.write(&stream, job)?;
        let (reply, reusable) = self.read(&mut stream, job).map_err(|why| {
            if !job.cancelled.load(Ordering::Acquire) {
                note!("worker {}: answer lost: {why}", self.address);
            }
            // Wholly written and no whole answer: it may have run.
            Outcome::Reset
        })?;
        let named = match &job.what {
            What::Attempt(_, call) => named(&reply, call.wire_id),
            What::Order(..) | What::Unload => Named::None,
        };
        if named == Named::Another {
            note!(
                "worker {}: answer lost: one to another call came",
                self.address
            );
            return Err(Outcome::Reset); // nothing is known of this one
        }
        // Only an answer that names its call leaves the connection to another. Were a second one to come late, the next
        // call would else take it for its own, and its own would reach the call after it: a refusal among them proves
        // of the wrong call that it never ran.
        if reusable && reply.status == 200 && named == Named::This {
            self.stream = Some(Kept {
                stream,
                since: Instant::now(),
            });
        }
        Ok(reply)
    }

    /// A connection on which the job has been begun: its first byte is to be written now.
    fn begun_stream(&mut self, job: &Job) -> Result<TcpStream, Outcome> {
        if let Some(kept) = self.stream.take().filter(|kept| kept.usable(&self.limits)) {
            if !self.begin(job) {
                self.stream = Some(kept);
                return Err(Outcome::NotSent);
            }
            // What came while the job waited to be begun is no answer to it.
            if kept.usable(&self.limits) {
                return Ok(kept.stream);
            }
            job.ticket.release();
        }
        self.fresh_stream(job)
    }

    /// A new connection on which the job has been begun.
    fn fresh_stream(&self, job: &Job) -> Result<TcpStream, Outcome> {
        let stream = self.connect().map_err(|why| {
            note!("worker {}: no connection: {why}", self.address);
            Outcome::ConnectFailed
        })?;
        if self.begin(job) {
            Ok(stream)
        } else {
            Err(Outcome::NotSent)
        }
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = self.calls.connect(&self.address, self.limits.connect)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.limits.write_check))?;
        Ok(stream)
    }

    fn write(&self, stream: &TcpStream, job: &Job) -> Result<(), Outcome> {
        let (mut ring, mut rest, mut stalled) =
            (Ring::new(job.bytes.len()), &job.bytes[..], Duration::ZERO);
        let nap = self.limits.write_check / 10;
        rest = &rest[ring.push(rest)..];
        debug_assert!(rest.is_empty());
        while !ring.is_empty() {
            match self.calls.write(stream, ring.front()) {
                Ok(n) if n > 0 => {
                    stalled = Duration::ZERO;
                    ring.consume(n);
                }
                Err(e) if Failure::of(&e) != Failure::Over && stalled < self.limits.write_stall => {
                    // As with frames: nothing is claimed while it waits.
                    let whole = ring.len() == job.bytes.len();
                    if whole {
                        job.ticket.release();
                    }
                    sleep(nap);
                    stalled += nap;
                    if whole && !self.begin(job) {
                        return Err(Outcome::NotSent);
                    }
                    if job.ticket.is_overdue(Instant::now()) {
                        return Err(Outcome::ConnectFailed); // it never comes whole: the connection ends here
                    }
                }
                // Not wholly written: nothing can have run.
                _ => return Err(Outcome::ConnectFailed),
            }
        }
        Ok(())
    }

    /// Reads one answer; whether the connection can carry another exchange.
    fn read(&self, stream: &mut TcpStream, job: &Job) -> Result<(Reply, bool), String> {
        let mut ring = Ring::new(self.limits.client_ring);
        let (mut head, mut body) = (Vec::new(), Vec::new());
        let mut told: Option<Head> = None;
        let mut chunks = Chunked::default();
        let mut heard = Instant::now();
        loop {
            if let Some(known) = told.as_ref() {
                let whole = match known.length {
                    Some(length) => {
                        ring.take(length - body.len(), &mut body);
                        body.len() == length
                    }
                    None if known.chunked => chunked(&mut chunks, &mut ring, &mut body)?,
                    None => return Err("an answer of no stated length".to_owned()),
                };
                if whole {
                    let reusable = !known.close && !known.chunked && ring.is_empty();
                    let (status, retry_after) = (known.status, known.retry_after);
                    return Ok((
                        Reply {
                            status,
                            body,
                            retry_after,
                        },
                        reusable,
                    ));
                }
                if body.len() > self.limits.answer {
                    return Err("the answer is too long".to_owned());
                }
            }
            while told.is_none() && ring.take(1, &mut head) > 0 {
                if head.ends_with(b"\r\n\r\n") {
                    let known = Head::answer(&head).map_err(|e| e.to_string())?;
                    if known.length.is_some_and(|l| l > self.limits.answer) {
                        return Err("the answer is too long".to_owned());
                    }
                    head.clear();
                    told = (known.status >= 200).then_some(known); // 100 Continue is passed over
                } else if head.len() > self.limits.head {
                    return Err("the head is too long".to_owned());
                }
            }
            if told.is_some()
                && (!ring.is_empty() || told.as_ref().is_some_and(|t| t.length == Some(0)))
            {
                continue;
            }
            match receive(&mut ring, stream).map_err(|e| e.to_string())? {
                ReadOutcome::Closed => return Err("cut".to_owned()),
                ReadOutcome::Data => heard = Instant::now(),
                ReadOutcome::NotReady => {
                    // Guards against an answer that stops short, as with frames.
                    let begun = told.is_some() || !head.is_empty();
                    if begun && heard.elapsed() > self.limits.frame_stall {
                        return Err("an answer stopped midway".to_owned());
                    }
                    // Closing the connection is how an exchange is given up.
                    if job.cancelled.load(Ordering::Acquire) || Instant::now() > job.until {
                        return Err("given up".to_owned());
                    }
                }
            }
        }
    }
}

/// Whether a connection that lay idle still stands: nothing may wait in it, least of all its end.
fn still_open(stream: &TcpStream) -> bool {
    matches!(stream.inner().peek(&mut [0]), Err(e) if timed_out(&e))
}

fn chunked(chunks: &mut Chunked, ring: &mut Ring, body: &mut Vec<u8>) -> Result<bool, String> {
    let mut bytes = Vec::new();
    ring.take(usize::MAX, &mut bytes);
    for byte in bytes {
        match chunks.byte(byte).map_err(|e| e.to_string())? {
            Coded::Byte(byte) => body.push(byte),
            Coded::Nothing => {}
            Coded::End => return Ok(true),
        }
    }
    Ok(false)
}
