//! Stand-in workers of both speeches: what they see, what they answer.
use super::clients::{content, exactly, message};
use super::{Speech, FUNCTION, PATIENCE};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenseam_policy::json::{object, parse, part, text};

/// A call as a stand-in worker saw it.
pub struct Call {
    pub(super) speech: Speech,
    pub(super) hall: usize,
    pub(super) id: u64,
    pub(super) class: String,
    pub(super) key: String,
    pub(super) body: String,
    pub(super) stream: TcpStream,
    pub(super) hush: Arc<AtomicBool>,
}

/// Starts a stand-in worker: it answers orders by itself, as one on which a copy of everything stands.
pub(super) fn worker(
    speech: Speech,
    hall: usize,
    seen: Sender<Call>,
    orders: Arc<AtomicU8>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (seen, orders) = (seen.clone(), orders.clone());
            std::thread::spawn(move || match speech {
                Speech::Platform => frames(stream, hall, &seen, &orders),
                Speech::Kserve => infer(stream, hall, &seen, &orders),
            });
        }
    });
    address
}

fn frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let content = [fields.as_bytes(), body].concat();
    let mut out = vec![127, code];
    out.extend((fields.len() as u16).to_be_bytes());
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(id.to_be_bytes());
    out.extend(&content);
    out.extend(crc32fast::hash(&content).to_be_bytes());
    out
}

/// Waits while orders of this kind are held back; how many copies stand then.
fn stands(orders: &AtomicU8, load: bool) -> u32 {
    loop {
        match (orders.load(Ordering::Acquire), load) {
            (0, _) => return 1,
            (2, false) => return 0,
            _ => std::thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn frames(mut stream: TcpStream, hall: usize, seen: &Sender<Call>, orders: &Arc<AtomicU8>) {
    let hush = Arc::new(AtomicBool::new(false));
    while let Ok(header) = exactly(&mut stream, 16) {
        let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let body = u32::from_be_bytes(header[4..8].try_into().expect("four")) as usize;
        let id = u64::from_be_bytes(header[8..].try_into().expect("eight"));
        let Ok(content) = exactly(&mut stream, length + body + 4) else {
            return;
        };
        let (content_part, check) = content.split_at(length + body);
        assert_eq!(
            (header[0], check),
            (126, &crc32fast::hash(content_part).to_be_bytes()[..])
        );
        let fields = String::from_utf8_lossy(&content_part[..length]).into_owned();
        let field = |name: &str| {
            let found = fields
                .split(',')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or("-").to_owned()
        };
        match header[1] {
            _ if hush.load(Ordering::Acquire) => {}
            6 => {
                let load = field("slots_up") != "0";
                let (mut to, orders) = (stream.try_clone().expect("cloned"), orders.clone());
                let held = orders.load(Ordering::Acquire) != 0;
                let mut say = move || {
                    let fields = format!("slots_up={}", stands(&orders, load));
                    let _ = to.write_all(&frame(200, id, &fields, &[])); // it may have closed meanwhile
                };
                // Calls behind one that is held back come through.
                if held {
                    std::thread::spawn(say);
                } else {
                    say();
                }
            }
            2 => {
                assert_eq!(field("path"), FUNCTION);
                let (class, key, body) = (
                    field("queue"),
                    field("uniq"),
                    super::clients::content(&content_part[length..]),
                );
                let stream = stream.try_clone().expect("cloned");
                let _ = seen.send(Call {
                    speech: Speech::Platform,
                    hall,
                    id,
                    class,
                    key,
                    body,
                    stream,
                    hush: hush.clone(),
                });
            }
            _ => {}
        }
    }
}

fn infer(mut stream: TcpStream, hall: usize, seen: &Sender<Call>, orders: &AtomicU8) {
    while let Ok((head, body)) = message(&mut stream) {
        let target = head.split(' ').nth(1).expect("a target").to_owned();
        let mut say = |body: &str| {
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
            )
            .expect("written");
        };
        if target.starts_with("/v2/repository/") {
            stands(orders, target != "/v2/repository/index");
        }
        if target == "/v2/repository/index" {
            say(&format!(r#"[{{"name":"{FUNCTION}","state":"READY"}}]"#));
        } else if target.starts_with("/v2/repository/models/") {
            say(r#"{"parameters":{"slots_up":1}}"#);
        } else {
            assert_eq!(target, format!("/v2/models/{FUNCTION}/infer"));
            let json = parse(&String::from_utf8_lossy(&body)).expect("JSON");
            let told = part(object(&json).expect("an object"), "parameters").expect("parameters");
            let word = |name: &str| text(told, name).unwrap_or("-").to_owned();
            let (class, key, body) = (word("class"), word("token"), content(&body));
            let stream = stream.try_clone().expect("cloned");
            let _ = seen.send(Call {
                speech: Speech::Kserve,
                hall,
                id: 0,
                class,
                key,
                body,
                stream,
                hush: Arc::default(),
            });
        }
    }
}

impl Call {
    /// Waits for the end of the connection; what else comes there is for the worker to read.
    pub(super) fn closed(&self, context: &str) {
        let since = Instant::now();
        while !matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(
            since.elapsed() < PATIENCE,
            "{context}: it was open for long"
        );
    }

    pub(super) fn answer(&self, answer: &[&str]) {
        let (code, status, body) = match *answer {
            ["ok", body] => (200, "200 OK", body),
            ["half" | "stall" | "spoilt"] => (200, "200 OK", "cut-short"),
            ["miss"] => (202, "404 Not Found", ""),
            ["full"] => (203, "503 Service Unavailable", ""),
            ["error"] => (204, "500 Internal Server Error", ""),
            _ => panic!("no such answer: {answer:?}"),
        };
        let bytes = match self.speech {
            Speech::Platform => frame(code, self.id, "detail=resident", body.as_bytes()),
            Speech::Kserve => {
                let data = format!(
                    r#"{{"parameters":{{"detail":"resident"}},"outputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
                );
                let body = if code == 200 {
                    &data
                } else {
                    r#"{"error":"no"}"#
                };
                let told = if code == 203 {
                    "Retry-After: 1\r\n"
                } else {
                    ""
                };
                format!(
                    "HTTP/1.1 {status}\r\n{told}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .into_bytes()
            }
        };
        let (half, last) = (*answer == ["half"], bytes.len() - 1);
        let mut part = if half || *answer == ["stall"] {
            bytes[..last - 7].to_vec()
        } else {
            bytes
        };
        if *answer == ["spoilt"] {
            part[last] ^= 1;
        }
        (&self.stream).write_all(&part).expect("written");
        if half {
            self.stream.shutdown(Shutdown::Both).expect("open");
        }
    }
}
