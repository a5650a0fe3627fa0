//! Simulated workers that speak the platform's binary frames.
use super::support::frames::{code, encode_answer, read_frame};
use super::{leave_unanswered, Behaviour, FaultyWorker, MAX_ANSWER_DELAY_MS, MAX_REPEAT_DELAY_MS};
use std::io::{self, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Offset of the code in a frame.
const CODE_OFFSET: usize = 1;

/// A connection to which the threads of several delayed answers write.
type SharedStream = Arc<Mutex<TcpStream>>;

/// Answers frames until one side ends the connection.
pub(crate) fn serve(worker: &FaultyWorker, mut stream: TcpStream) -> io::Result<()> {
    let answers = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        if worker.reset_at_random(&mut stream) {
            return Ok(());
        }
        let frame = read_frame(&mut stream)?;
        let next = match frame.code {
            code::CALL => serve_call(worker, frame.id, &stream, &answers),
            code::HEALTH_CHECK => {
                let accepting = encode_answer(code::ACCEPTING, frame.id, "", b"");
                write_after(&answers, accepting, Duration::ZERO);
                ControlFlow::Continue(())
            }
            code::LOAD_ORDER => {
                let loaded = encode_answer(code::OK, frame.id, "slots_up=1", b"");
                write_after(&answers, loaded, Duration::ZERO);
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Continue(()),
        };
        if next.is_break() {
            return Ok(());
        }
    }
}

/// Draws the behaviour for a call and carries it out. Returns whether to go on reading from the connection.
fn serve_call(
    worker: &FaultyWorker,
    id: u64,
    stream: &TcpStream,
    answers: &SharedStream,
) -> ControlFlow<()> {
    let behaviour = worker.receive(id);
    if let Some(next) = leave_unanswered(behaviour, stream) {
        return next;
    }
    let answer = answer(behaviour, id);
    let delay = if behaviour == Behaviour::ServeLate {
        worker.random_delay(MAX_ANSWER_DELAY_MS)
    } else {
        Duration::ZERO
    };
    write_after(answers, answer.clone(), delay);
    if behaviour.repeats_answer() {
        write_after(
            answers,
            answer,
            delay + worker.random_delay(MAX_REPEAT_DELAY_MS),
        );
    }
    ControlFlow::Continue(())
}

/// Encodes the answer of a behaviour that has one.
fn answer(behaviour: Behaviour, id: u64) -> Vec<u8> {
    let without_body = |code| encode_answer(code, id, "", b"");
    let mut served = encode_answer(code::OK, id, "detail=resident", b"DONE");
    match behaviour {
        Behaviour::Fail => return without_body(code::ERROR),
        Behaviour::NotLoaded => return without_body(code::NOT_LOADED),
        Behaviour::Reject | Behaviour::RejectTwice => return without_body(code::REJECTED),
        Behaviour::NotBegun => return without_body(code::NOT_BEGUN),
        Behaviour::Corrupt => *served.last_mut().expect("a checksum") ^= 1,
        Behaviour::CorruptCode => served[CODE_OFFSET] = code::NOT_LOADED,
        _ => {}
    }
    served
}

/// Writes an answer after a delay. Frames are read meanwhile, so that further calls are recorded when they arrive.
fn write_after(answers: &SharedStream, answer: Vec<u8>, delay: Duration) {
    let answers = answers.clone();
    let write = move || {
        let _ = answers.lock().expect("not poisoned").write_all(&answer); // the connection may have ended
    };
    if delay.is_zero() {
        return write();
    }
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        write();
    });
}
