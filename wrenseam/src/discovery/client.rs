//! The list of workers: the notice board's events, and for KServe v2 workers endpoints in Envoy's xDS JSON form.
use crate::discovery::backoff::Redial;
use crate::discovery::watch::{News, Watch};
use crate::http::{Chunked, Coded, Head};
use crate::limits::Limits;
use crate::model::{Endpoint, TransportProtocol};
use crate::net::timed_out;
use crate::queue::CoreHandle;
use crate::ring::Ring;
use may::net::TcpStream;
use may::sync::Mutex;
use miniserde::json::{Object, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wrenseam_policy::json::{flag, list, object, part, span, text, whole};
use wrenseam_policy::WorkerState;

/// What an event of the board tells.
#[derive(Debug, Default)]
pub struct Told {
    /// Whether it is the whole list.
    pub full: bool,
    /// The members it names that can be read.
    pub members: Vec<Endpoint>,
    /// What is wrong with the others.
    pub faults: Vec<String>,
}

/// One event of the board. An instance that cannot be read spoils none of the others.
///
/// # Errors
/// It holds no list of instances at all.
pub fn instances(event: &Object) -> Result<Told, String> {
    let pool = part(event, "pool").ok_or("no 'pool'")?;
    let mut told = Told {
        full: flag(pool, "reset"),
        ..Told::default()
    };
    match pool.get("instances") {
        Some(Value::Array(items)) => {
            for item in items {
                match object(item)
                    .ok_or_else(|| "an instance is no object".to_owned())
                    .and_then(instance)
                {
                    Ok(member) => told.members.push(member),
                    Err(why) => told.faults.push(why),
                }
            }
        }
        _ => told.faults.push("no list of 'instances'".to_owned()),
    }
    Ok(told)
}

/// One instance of the board's form, as a member.
pub fn instance(fields: &Object) -> Result<Endpoint, String> {
    let word = |key: &str| text(fields, key).ok_or_else(|| format!("an instance without '{key}'"));
    let (id, address) = (word("instanceId")?.to_owned(), word("hostPort")?);
    Ok(Endpoint {
        address: address
            .parse()
            .map_err(|_| format!("{id}: address {address}"))?,
        state: match word("lifecycle")? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            "gone" => WorkerState::Gone,
            other => return Err(format!("{id}: state {other}")),
        },
        started_at: span(fields, "startedAtMs"),
        zone: text(fields, "zone").unwrap_or_default().to_owned(),
        kind: text(fields, "machineType").unwrap_or_default().to_owned(),
        cell: whole(fields, "cell"),
        protocol: TransportProtocol::Frames,
        id,
    })
}

/// Members of an xDS discovery response (or a single resource) of `ClusterLoadAssignment`s. What this
/// project needs beyond xDS stands in each endpoint's `metadata.filter_metadata["wrenseam"]`.
pub fn endpoints(response: &Object) -> Result<Vec<Endpoint>, String> {
    let single = [Value::Object(response.clone())];
    let resources = if response.contains_key("resources") {
        list(response, "resources")
    } else {
        &single
    };
    let mut members = Vec::new();
    let empty = Object::new();
    for assignment in resources.iter().filter_map(object) {
        for locality in list(assignment, "endpoints").iter().filter_map(object) {
            let zone = part(locality, "locality")
                .and_then(|l| text(l, "zone"))
                .unwrap_or_default();
            for lb in list(locality, "lb_endpoints").iter().filter_map(object) {
                let socket = part(lb, "endpoint")
                    .and_then(|e| part(e, "address"))
                    .and_then(|a| part(a, "socket_address"))
                    .ok_or("an endpoint without endpoint.address.socket_address")?;
                let host = text(socket, "address").ok_or("a socket_address without address")?;
                let port =
                    whole(socket, "port_value").ok_or("a socket_address without port_value")?;
                let address = format!("{host}:{port}");
                let own = part(lb, "metadata").and_then(|m| part(m, "filter_metadata"));
                let own = own.and_then(|m| part(m, "wrenseam")).unwrap_or(&empty);
                members.push(Endpoint {
                    id: text(own, "id").unwrap_or(&address).to_owned(),
                    address: address
                        .parse()
                        .map_err(|_| format!("not an address: {address}"))?,
                    // As Envoy reads it: what is not told counts as healthy.
                    state: match text(lb, "health_status") {
                        None | Some("UNKNOWN" | "HEALTHY" | "DEGRADED") => WorkerState::Ready,
                        Some("DRAINING") => WorkerState::Draining,
                        _ => WorkerState::Gone,
                    },
                    started_at: span(own, "started_at_ms"),
                    zone: zone.to_owned(),
                    kind: text(own, "kind").unwrap_or_default().to_owned(),
                    cell: whole(own, "cell"),
                    protocol: TransportProtocol::Kserve,
                });
            }
        }
    }
    Ok(members)
}

/// Puts server-sent events together from bytes as they come.
#[derive(Default)]
pub struct Events {
    line: Vec<u8>,
    id: Option<String>,
    data: String,
}

/// What a byte of the stream completes.
#[derive(Debug, PartialEq)]
pub enum Said {
    /// Nothing yet, or what means nothing here.
    Nothing,
    /// A comment.
    Comment,
    /// An event: its own id, where it has one, and its data.
    Event(Option<String>, String),
}

impl Events {
    /// Takes one byte. An id does not go over to the next event: one that has none would pass for a repeat.
    pub fn byte(&mut self, byte: u8) -> Said {
        if byte != b'\n' {
            self.line.push(byte);
            return Said::Nothing;
        }
        // Not copied once more where it is text: the list of all workers is one line.
        let mut line = String::from_utf8(std::mem::take(&mut self.line))
            .unwrap_or_else(|e| String::from_utf8_lossy(e.as_bytes()).into_owned());
        if line.ends_with('\r') {
            line.pop();
        }
        let value = |rest: &str| rest.strip_prefix(' ').unwrap_or(rest).to_owned();
        if line.is_empty() {
            let (id, data) = (self.id.take(), std::mem::take(&mut self.data));
            return if data.is_empty() {
                Said::Nothing
            } else {
                Said::Event(id, data)
            };
        } else if line.starts_with(':') {
            return Said::Comment;
        } else if let Some(rest) = line.strip_prefix("id:") {
            self.id = Some(value(rest));
        } else if let Some(rest) = line.strip_prefix("data:") {
            if self.data.is_empty() {
                line.drain(..line.len() - rest.strip_prefix(' ').unwrap_or(rest).len());
                self.data = line;
            } else {
                self.data.push('\n');
                self.data.push_str(&value(rest));
            }
        }
        Said::Nothing // other fields mean nothing here
    }

    fn size(&self) -> usize {
        self.line.len() + self.data.len()
    }
}

/// Where the board is. It may move while the program runs.
pub struct Board(Mutex<Option<SocketAddr>>);

impl Board {
    /// A board at this address, or none yet.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Board(Mutex::new(address))
    }

    /// The board is elsewhere from now on; whoever follows it notices within `Limits::board_check`.
    pub fn moved(&self, to: SocketAddr) {
        if let Ok(mut address) = self.0.lock() {
            *address = Some(to);
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        self.0.lock().ok().and_then(|a| *a)
    }
}

/// Follows the board for ever: whenever the connection ends, the board moves or has told nothing for long, it is
/// called again, telling the last event seen.
pub fn follow(board: &Board, mut watch: Watch, seed: u64, limits: &Limits, core: &CoreHandle) {
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
            crate::net::sleep(wait);
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
    limits: &Limits,
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
    limits: &Limits,
    core: &CoreHandle,
) -> Result<std::convert::Infallible, End> {
    let told = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, limits.connect).map_err(told)?;
    stream
        .set_read_timeout(Some(limits.board_check))
        .map_err(told)?;
    let last = watch.ask();
    let call = format!(
        "GET /board/poll HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).map_err(told)?;
    let mut news = Instant::now();
    let mut heard = Instant::now();
    let (mut ring, mut head) = (Ring::new(limits.client_ring), Vec::new());
    let mut chunked: Option<Option<Chunked>> = None; // known once the head has been read
    let (mut events, mut line) = (Events::default(), Vec::new());
    loop {
        match ring.fill(&mut stream) {
            Ok(0) => return Err("closed".to_owned().into()),
            Ok(_) => heard = Instant::now(),
            Err(e) if timed_out(&e) && heard.elapsed() < limits.board_silence => {}
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
                        let answer = Head::answer(&head).map_err(|e| e.to_string())?;
                        if answer.status != 200 {
                            return Err(format!("status {}", answer.status).into());
                        }
                        chunked = Some(answer.chunked.then(Chunked::default));
                    } else if head.len() > limits.head {
                        return Err("the answer's head is too long".to_owned().into());
                    }
                }
                Some(coding) => {
                    let content = match coding
                        .as_mut()
                        .map_or(Ok(Coded::Byte(byte)), |c| c.byte(byte))
                        .map_err(|e| e.to_string())?
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
                    if events.size() > limits.board_event {
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
