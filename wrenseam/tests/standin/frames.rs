//! The workers that speak the platform's binary frames.
use super::support::frames::{code, encode_answer, read_frame};
use super::{leave_unanswered, Behaviour, Worker, LATEST_MS, LATEST_REPEAT_MS};
use std::io::{self, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Where the code of a frame stands.
const CODE_OFFSET: usize = 1;

/// A connection as several answers that are under way write to it.
type SharedStream = Arc<Mutex<TcpStream>>;

/// Serves a connection until one side ends it.
pub(crate) fn serve(worker: &Worker, mut stream: TcpStream) -> io::Result<()> {
    let answers = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        if worker.cuts(&mut stream) {
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

fn serve_call(
    worker: &Worker,
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
        worker.delay(LATEST_MS)
    } else {
        Duration::ZERO
    };
    write_after(answers, answer.clone(), delay);
    if behaviour.repeats() {
        write_after(answers, answer, delay + worker.delay(LATEST_REPEAT_MS));
    }
    ControlFlow::Continue(())
}

fn answer(behaviour: Behaviour, id: u64) -> Vec<u8> {
    let bare = |code| encode_answer(code, id, "", b"");
    let mut served = encode_answer(code::OK, id, "detail=resident", b"DONE");
    match behaviour {
        Behaviour::Fail => return bare(code::ERROR),
        Behaviour::NotLoaded => return bare(code::NOT_LOADED),
        Behaviour::Reject | Behaviour::RejectTwice => return bare(code::REJECTED),
        Behaviour::NotBegun => return bare(code::NOT_BEGUN),
        Behaviour::Corrupt => *served.last_mut().expect("a checksum") ^= 1,
        Behaviour::CorruptCode => served[CODE_OFFSET] = code::NOT_LOADED,
        _ => {}
    }
    served
}

/// Writes an answer after a delay, while what comes next is read: it is entered in the ledger when it comes.
fn write_after(answers: &SharedStream, answer: Vec<u8>, delay: Duration) {
    let answers = answers.clone();
    let write = move || {
        let _ = answers.lock().expect("not poisoned").write_all(&answer); // it may have ended
    };
    if delay.is_zero() {
        return write();
    }
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        write();
    });
}
