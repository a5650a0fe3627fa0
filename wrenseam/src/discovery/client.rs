//! The list of workers: the connection to the notice board.
use crate::discovery::address::Board;
use crate::discovery::backoff::Redial;
use crate::discovery::event_stream::{Events, Said};
use crate::discovery::watch::{News, Watch};
use crate::http::{Chunked, Coded, Head};
use crate::limits::DiscoveryLimits;
use crate::model::TransportProtocol;
use crate::net::timed_out;
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Follows the board for ever: whenever the connection ends, the board moves or has told nothing for long, it is
/// called again, telling the last event seen.
pub fn follow(
    board: &Board,
    mut watch: Watch,
    seed: u64,
    limits: &DiscoveryLimits,
    core: &CoreHandle,
) {
    let mut redial = Redial::new(seed, limits);
    loop {
        let (at, before) = (board.address(), watch.last());
        let mut ended = End::Broke("no board is named".to_owned());
        if let Some(address) = at {
            ended = poll(
                board,
                address,
                &mut watch,
                redial.told_within(),
                limits,
                core,
            );
            if let End::Broke(why) = &ended {
                note!(
                    "board: connection to {address} ended after event {}: {why}",
                    watch.last()
                );
            }
        }
        // Called again at once, unless the call brought nothing: a board that is down is not hammered.
        let wait = match ended {
            End::Quiet => Duration::ZERO,
            End::Broke(_) if watch.last() == before && board.address() == at => {
                redial.after_failure()
            }
            End::Broke(_) => redial.after_news(),
        };
        if !wait.is_zero() {
            crate::net::pause(wait);
        }
    }
}

/// Why a call of the board ended.
enum End {
    /// It told nothing for long, though it stood: it may tell nothing more at all.
    Quiet,
    /// The connection ended, or what came on it cannot be used.
    Broke(String),
}

impl From<String> for End {
    fn from(why: String) -> End {
        End::Broke(why)
    }
}

fn poll(
    board: &Board,
    address: SocketAddr,
    watch: &mut Watch,
    within: Duration,
    limits: &DiscoveryLimits,
    core: &CoreHandle,
) -> End {
    let Err(end) = call(board, address, watch, within, limits, core);
    end
}

fn call(
    board: &Board,
    address: SocketAddr,
    watch: &mut Watch,
    within: Duration,
    limits: &DiscoveryLimits,
    core: &CoreHandle,
) -> Result<std::convert::Infallible, End> {
    let told = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, limits.connect_timeout).map_err(told)?;
    stream
        .set_read_timeout(Some(limits.address_check_interval))
        .map_err(told)?;
    let last = watch.ask();
    let call = format!(
        "GET /board/poll HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).map_err(told)?;
    let mut news = Instant::now();
    let mut heard = Instant::now();
    let (mut ring, mut head) = (Ring::new(limits.read_buffer), Vec::new());
    let mut chunked: Option<Option<Chunked>> = None; // known once the head has been read
    let (mut events, mut line) = (Events::default(), Vec::new());
    loop {
        match ring.fill(&mut stream) {
            Ok(0) => return Err("closed".to_owned().into()),
            Ok(_) => heard = Instant::now(),
            Err(e) if timed_out(&e) && heard.elapsed() < limits.silence_timeout => {}
            Err(e) if timed_out(&e) => return Err("silent".to_owned().into()),
            Err(e) => return Err(e.to_string().into()),
        }
        // Guards against waiting at an address where nothing is told any more.
        if board.address() != Some(address) {
            return Err("the board has moved".to_owned().into());
        }
        line.clear();
        ring.take(usize::MAX, &mut line);
        for &byte in &line {
            match &mut chunked {
                None => {
                    head.push(byte);
                    if head.ends_with(b"\r\n\r\n") {
                        let answer = Head::answer(&head)?;
                        if answer.status != 200 {
                            return Err(format!("status {}", answer.status).into());
                        }
                        chunked = Some(answer.chunked.then(Chunked::default));
                    } else if head.len() > limits.response_head {
                        return Err("the answer's head is too long".to_owned().into());
                    }
                }
                Some(coding) => {
                    let content = match coding
                        .as_mut()
                        .map_or(Ok(Coded::Byte(byte)), |c| c.byte(byte))?
                    {
                        Coded::Byte(byte) => Some(byte),
                        Coded::Nothing => None,
                        Coded::End => return Err("the stream ended".to_owned().into()),
                    };
                    let told = match content.map_or(Said::Nothing, |b| events.byte(b)) {
                        Said::Nothing => None,
                        Said::Comment => watch.comment()?,
                        Said::Event(id, data) => {
                            news = Instant::now();
                            watch.event(id.as_deref(), &data)?
                        }
                    };
                    if let Some(News { full, members }) = told {
                        core.endpoint_update(TransportProtocol::Frames, full, members);
                    }
                    if events.size() > limits.event_bytes {
                        return Err("an event is too long".to_owned().into());
                    }
                }
            }
        }
        // Guards against a watch that stands and comments and has nothing told any more: what the board has to
        // tell counts as told though it never came. Asked last, so that what has come is not asked for again.
        if news.elapsed() >= within {
            return Err(End::Quiet);
        }
    }
}
