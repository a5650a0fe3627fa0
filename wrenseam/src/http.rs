//! The HTTP/1.1 that is spoken beside the main protocol: heads by httparse, bodies by length or in chunks.

/// What of a head matters here.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Method of a request.
    pub method: String,
    /// Target of a request.
    pub target: String,
    /// Status of an answer.
    pub status: u16,
    /// The body's length, where told.
    pub length: Option<usize>,
    /// Whether the body comes in chunks.
    pub chunked: bool,
    /// Whether the connection ends with this exchange.
    pub close: bool,
    /// Whether the client waits to be told to go on.
    pub expects: bool,
    /// Whether an answer says when to come back.
    pub retry_after: bool,
}

impl Head {
    /// The head of a request; `head` ends with the empty line.
    pub fn request(head: &[u8]) -> Result<Head, String> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut headers);
        request.parse(head).map_err(|e| e.to_string())?;
        let word = |w: Option<&str>| w.unwrap_or_default().to_owned();
        let (method, target) = (word(request.method), word(request.path));
        let close = request.version == Some(0);
        Head {
            method,
            target,
            close,
            ..Head::default()
        }
        .fields(request.headers)
    }

    /// The head of an answer.
    pub fn answer(head: &[u8]) -> Result<Head, String> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut answer = httparse::Response::new(&mut headers);
        answer.parse(head).map_err(|e| e.to_string())?;
        let close = answer.version == Some(0);
        Head {
            status: answer.code.unwrap_or(0),
            close,
            ..Head::default()
        }
        .fields(answer.headers)
    }

    fn fields(mut self, headers: &[httparse::Header]) -> Result<Head, String> {
        for header in headers {
            let value = String::from_utf8_lossy(header.value)
                .trim()
                .to_ascii_lowercase();
            match header.name.to_ascii_lowercase().as_str() {
                "content-length" => {
                    // Guards against request smuggling: two lengths that differ, or a length that is none.
                    let length = value.parse().map_err(|_| "bad Content-Length")?;
                    if self.length.is_some_and(|known| known != length) {
                        return Err("two lengths".to_owned());
                    }
                    self.length = Some(length);
                }
                "transfer-encoding" => self.chunked = value == "chunked",
                "connection" => {
                    self.close = value == "close" || self.close && value != "keep-alive"
                }
                "retry-after" => self.retry_after = !value.is_empty(),
                "expect" => self.expects = value == "100-continue",
                _ => {}
            }
        }
        if self.chunked && self.length.is_some() {
            return Err("a length and chunks".to_owned());
        }
        Ok(self)
    }
}

/// What a byte of the chunked coding stands for.
#[derive(Debug, PartialEq)]
pub enum Coded {
    /// Content.
    Byte(u8),
    /// Part of the coding.
    Nothing,
    /// The last chunk has begun.
    End,
}

/// Undoes the chunked transfer coding, byte by byte.
#[derive(Default)]
pub struct Chunked {
    left: usize,
    line: Vec<u8>,
}

impl Chunked {
    /// Takes the next byte.
    pub fn byte(&mut self, byte: u8) -> Result<Coded, String> {
        if self.left > 0 {
            self.left -= 1;
            return Ok(Coded::Byte(byte));
        }
        match byte {
            b'\n' if self.line.is_empty() => {} // the line end behind a chunk
            b'\n' => {
                let line = String::from_utf8_lossy(&self.line).into_owned();
                let size = line.split(';').next().unwrap_or_default().trim();
                self.left = usize::from_str_radix(size, 16).map_err(|_| "bad chunk size")?;
                self.line.clear();
                if self.left == 0 {
                    return Ok(Coded::End);
                }
            }
            b'\r' => {}
            _ if self.line.len() > 64 => return Err("bad chunk size".to_owned()),
            _ => self.line.push(byte),
        }
        Ok(Coded::Nothing)
    }
}

/// An answer as bytes.
pub fn response(status: &str, headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}{connection}\r\n"
    );
    [head.as_bytes(), body].concat()
}
