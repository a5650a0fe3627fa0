//! Stand-in clients of FastCGI and of KServe v2.
use super::{Speech, FUNCTION, PATIENCE, QUIET};
use base64::{engine::general_purpose::STANDARD, Engine};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use wrenseam_policy::json::{list, object, parse, part, text};

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
}

/// An HTTP answer to a GET, whole.
pub fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n"
    )
    .expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

pub(super) fn exactly(stream: &mut impl Read, n: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Head and body of an HTTP message.
pub(super) fn message(stream: &mut impl Read) -> std::io::Result<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.extend(exactly(stream, 1)?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |l| l.parse().expect("length"));
    Ok((head, exactly(stream, length)?))
}

/// The text that a body carries: of a v2 JSON body its first tensor's, else the bytes.
pub(super) fn content(body: &[u8]) -> String {
    let plain = String::from_utf8_lossy(body).into_owned();
    let Ok(json) = parse(&plain) else {
        return plain;
    };
    let Some(fields) = object(&json) else {
        return plain;
    };
    let tensors = if fields.contains_key("inputs") {
        list(fields, "inputs")
    } else {
        list(fields, "outputs")
    };
    let Some(tensor) = tensors.first().and_then(object) else {
        return plain;
    };
    let data = list(tensor, "data")
        .first()
        .and_then(wrenseam_policy::json::as_text)
        .expect("data")
        .to_owned();
    let coded = part(tensor, "parameters").and_then(|p| text(p, "content_type")) == Some("base64");
    if coded {
        String::from_utf8(STANDARD.decode(data).expect("base64")).expect("text")
    } else {
        data
    }
}

pub struct Client {
    pub(super) speech: Speech,
    pub(super) stream: TcpStream,
    /// The FastCGI id of its last request.
    pub(super) last: u16,
}

/// Sends what is passed over, at full speed for as long as it is taken, at most 10 s.
pub(super) fn flood(front: Speech, address: SocketAddr) {
    let mut to = connect(address);
    let bytes = match front {
        Speech::Platform => record(2, 9, &[]).repeat(8_000), // gives up what was never asked
        Speech::Kserve => b"\r\n".repeat(32_000),
    };
    let until = Instant::now() + PATIENCE;
    std::thread::spawn(move || while Instant::now() < until && to.write_all(&bytes).is_ok() {});
}

/// A FastCGI record.
pub fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let [i0, i1] = id.to_be_bytes();
    let [c0, c1] = (content.len() as u16).to_be_bytes();
    [&[1, kind, i0, i1, c0, c1, 0, 0], content].concat()
}

/// A whole FastCGI request with these parameters.
pub fn fastcgi(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let pair = |(name, value): &(&str, &str)| {
        [
            &[name.len() as u8, value.len() as u8],
            name.as_bytes(),
            value.as_bytes(),
        ]
        .concat()
    };
    let params: Vec<u8> = params.iter().flat_map(pair).collect();
    let mut out = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(record(4, id, &params));
    out.extend(record(4, id, &[]));
    for piece in body.chunks(8_000) {
        out.extend(record(5, id, piece));
    }
    out.extend(record(5, id, &[]));
    out
}

/// Reads one FastCGI answer: its head and body, and the protocol status.
pub fn fastcgi_answer(stream: &mut TcpStream) -> std::io::Result<(String, Vec<u8>, u8)> {
    let mut out = Vec::new();
    loop {
        let header = exactly(stream, 8)?;
        let content = exactly(
            stream,
            usize::from(u16::from_be_bytes([header[4], header[5]])),
        )?;
        exactly(stream, header[6].into())?;
        match header[1] {
            6 => out.extend(content),
            3 => {
                let text = String::from_utf8_lossy(&out).into_owned();
                let (head, _) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
                let body = out[(head.len() + 4).min(out.len())..].to_vec();
                return Ok((head.to_owned(), body, content[4]));
            }
            kind => panic!("record {kind}"),
        }
    }
}

impl Client {
    pub(super) fn send(&mut self, class: &str, key: &str, body: &str, wait: &str) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let (wire, path) = (format!("{id:016x}"), format!("/v1/{class}"));
        let bytes = match self.speech {
            Speech::Platform => {
                let mut params = vec![
                    ("SCRIPT_NAME", &path[..]),
                    ("HTTP_REQ_ID", &wire),
                    ("HTTP_REQ_WAIT_MS", wait),
                    ("HTTP_REQ_OWNER", "acme"),
                    ("HTTP_REQ_KEY", FUNCTION),
                    ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
                ];
                if key != "-" {
                    params.push(("HTTP_REQ_TOKEN", key));
                }
                self.last = id as u16;
                fastcgi(self.last, &params, body.as_bytes())
            }
            Speech::Kserve => {
                let token = if key == "-" {
                    String::new()
                } else {
                    format!(r#""token":"{key}","#)
                };
                let body = format!(
                    r#"{{"id":"{wire}","parameters":{{"class":"{class}","tenant":"acme","wait_ms":{wait},{token}"memory_mb":512,"lanes":4,"load_ms":640}},"inputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{body}"]}}]}}"#
                );
                let length = body.len();
                format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
                    .into_bytes()
            }
        };
        self.stream.write_all(&bytes).expect("written");
    }

    /// The first half of a request.
    pub(super) fn part(&mut self) {
        let bytes = match self.speech {
            Speech::Platform => fastcgi(1, &[("SCRIPT_NAME", "/v1/tile-render")], b"half"),
            Speech::Kserve => {
                b"POST /v2/models/7f3a9c21e0b4d655/infer HTTP/1.1\r\nHost: t\r\n".to_vec()
            }
        };
        self.stream
            .write_all(&bytes[..bytes.len() - 8])
            .expect("written");
    }

    /// Sends a body until the connection takes no more of it, at most 60 MB.
    pub(super) fn endless(&mut self) {
        let mut to = self.stream.try_clone().expect("cloned");
        let bytes = match self.speech {
            Speech::Platform => record(5, 1, &[7; 8_000]),
            Speech::Kserve => b"X-Endless: 1\r\n".repeat(500),
        };
        self.part();
        std::thread::spawn(move || (0..7_500).all(|_| to.write_all(&bytes).is_ok()));
    }

    pub(super) fn closed(&mut self, context: &str) {
        let mut rest = Vec::new();
        match self.stream.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(e) => assert_eq!(
                e.kind(),
                std::io::ErrorKind::ConnectionReset,
                "{context}: still open"
            ),
        }
    }

    /// The next final answer, in the scenario's words.
    pub(super) fn answer(&mut self, context: &str) -> String {
        let (head, body, refused) = match self.speech {
            Speech::Platform => {
                let (head, body, status) = fastcgi_answer(&mut self.stream).expect(context);
                let refused = head.contains("Status: 503") || status == 2;
                assert!(
                    !refused || status == 2 || head.contains("Srv-Wait-Ms: "),
                    "{context}: no advice"
                );
                (head, body, refused)
            }
            Speech::Kserve => {
                let (head, body) = message(&mut self.stream).expect(context);
                let refused = head.starts_with("HTTP/1.1 503");
                assert!(
                    !refused || head.contains("Retry-After: "),
                    "{context}: no advice"
                );
                (head, body, refused)
            }
        };
        if head.contains(" 200 ") {
            return format!("served {}", content(&body));
        }
        if self.speech == Speech::Kserve {
            assert!(
                String::from_utf8_lossy(&body).starts_with(r#"{"error":""#),
                "{context}: {body:?}"
            );
        }
        if refused { "refused" } else { "failed" }.to_owned()
    }

    pub(super) fn nothing(&mut self, context: &str) {
        self.stream.set_read_timeout(Some(QUIET)).expect("set");
        let got = self.stream.read(&mut [0; 64]);
        assert!(got.is_err(), "{context}: {got:?}");
        self.stream.set_read_timeout(Some(PATIENCE)).expect("set");
    }
}
