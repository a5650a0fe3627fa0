//! The parts of HTTP/1.1 that the KServe v2 front and transport and the discovery client share: message heads, parsed
//! by httparse, the chunked transfer coding, and responses.

/// The most headers that a message head may have.
const MAX_HEADERS: usize = 64;
/// The longest first line of a chunk, in bytes: room for the size and a few extensions.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// Why the head of a message is invalid. v2 clients get these texts in error responses, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1.
    #[error(transparent)]
    Syntax(#[from] httparse::Error),
    /// The value of Content-Length is not a number.
    #[error("bad Content-Length")]
    InvalidLength,
    /// Two Content-Length headers differ.
    #[error("two lengths")]
    ConflictingLengths,
    /// There are both a Content-Length and a chunked transfer coding.
    #[error("a length and chunks")]
    LengthAndChunks,
}

/// The size of a chunk is not a hexadecimal number, or its first line is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bad chunk size")]
pub struct InvalidChunkSize;

/// The status of a response that the front end sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// 200
    Ok,
    /// 400
    BadRequest,
    /// 404
    NotFound,
    /// 405
    MethodNotAllowed,
    /// 408
    RequestTimeout,
    /// 411
    LengthRequired,
    /// 413
    ContentTooLarge,
    /// 431
    RequestHeaderFieldsTooLarge,
    /// 500
    InternalServerError,
    /// 503
    ServiceUnavailable,
}

impl Status {
    /// The status code and reason phrase, as in the status line.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::MethodNotAllowed => "405 Method Not Allowed",
            Status::RequestTimeout => "408 Request Timeout",
            Status::LengthRequired => "411 Length Required",
            Status::ContentTooLarge => "413 Content Too Large",
            Status::RequestHeaderFieldsTooLarge => "431 Request Header Fields Too Large",
            Status::InternalServerError => "500 Internal Server Error",
            Status::ServiceUnavailable => "503 Service Unavailable",
        }
    }
}

/// The parts of a message head that the program uses. Fields that a message does not have keep their default.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request, with its query; empty for a response.
    pub target: String,
    /// The status code of a response; 0 for a request.
    pub status: u16,
    /// The Content-Length; `None` if there is none.
    pub length: Option<usize>,
    /// Whether the body has the chunked transfer coding.
    pub chunked: bool,
    /// Whether the connection closes after this exchange.
    pub close: bool,
    /// Whether the client waits for a 100 Continue before it sends the body.
    pub expects_continue: bool,
    /// Whether there is a Retry-After header that is not empty.
    pub retry_after: bool,
}

impl Head {
    /// Parses the head of a request. `head` ends with the empty line.
    ///
    /// # Errors
    /// The head is not valid HTTP/1, a Content-Length is not a number, or the stated lengths contradict each other.
    pub fn request(head: &[u8]) -> Result<Head, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        request.parse(head)?;
        Head {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            close: request.version == Some(0),
            ..Head::default()
        }
        .with_headers(request.headers)
    }

    /// Parses the head of a response. `head` ends with the empty line.
    ///
    /// # Errors
    /// The head is not valid HTTP/1, a Content-Length is not a number, or the stated lengths contradict each other.
    pub fn response(head: &[u8]) -> Result<Head, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        response.parse(head)?;
        Head {
            status: response.code.unwrap_or(0),
            close: response.version == Some(0),
            ..Head::default()
        }
        .with_headers(response.headers)
    }

    /// The path of a request's target, without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The segments of a request's path. Slashes at its start and end do not count.
    pub fn path_segments(&self) -> Vec<&str> {
        self.path().trim_matches('/').split('/').collect()
    }

    fn with_headers(mut self, headers: &[httparse::Header]) -> Result<Head, HeadError> {
        for header in headers {
            let value = String::from_utf8_lossy(header.value)
                .trim()
                .to_ascii_lowercase();
            match header.name.to_ascii_lowercase().as_str() {
                "content-length" => self.set_length(&value)?,
                "transfer-encoding" => self.chunked = value == "chunked",
                "connection" => {
                    self.close = value == "close" || self.close && value != "keep-alive";
                }
                "retry-after" => self.retry_after = !value.is_empty(),
                "expect" => self.expects_continue = value == "100-continue",
                _ => {}
            }
        }
        if self.chunked && self.length.is_some() {
            return Err(HeadError::LengthAndChunks);
        }
        Ok(self)
    }

    /// Sets the length. Conflicting or invalid lengths are errors, as they would allow request smuggling.
    fn set_length(&mut self, value: &str) -> Result<(), HeadError> {
        let length = value.parse().map_err(|_| HeadError::InvalidLength)?;
        if self.length.is_some_and(|known| known != length) {
            return Err(HeadError::ConflictingLengths);
        }
        self.length = Some(length);
        Ok(())
    }
}

/// The meaning of one byte of a body in the chunked transfer coding.
#[derive(Debug, PartialEq)]
pub enum DecodedByte {
    /// A byte of the content.
    Content(u8),
    /// A byte of the coding itself: of a chunk's first line, or the line end after its content.
    Framing,
    /// The end of the first line of the last chunk, which has no content.
    LastChunk,
}

/// Decodes a body in the chunked transfer coding, byte by byte.
#[derive(Default)]
pub struct ChunkedDecoder {
    /// Bytes of the current chunk's content that are still to come.
    remaining: usize,
    /// The first line of the next chunk, as far as it has arrived.
    line: Vec<u8>,
}

impl ChunkedDecoder {
    /// Decodes the next byte.
    ///
    /// # Errors
    /// The first line of a chunk does not state a size, or is too long.
    pub fn decode_byte(&mut self, byte: u8) -> Result<DecodedByte, InvalidChunkSize> {
        if self.remaining > 0 {
            self.remaining -= 1;
            return Ok(DecodedByte::Content(byte));
        }
        match byte {
            b'\n' if self.line.is_empty() => {} // the line end after a chunk's content
            b'\n' => return self.begin_chunk(),
            b'\r' => {}
            _ if self.line.len() > MAX_CHUNK_LINE_BYTES => return Err(InvalidChunkSize),
            _ => self.line.push(byte),
        }
        Ok(DecodedByte::Framing)
    }

    fn begin_chunk(&mut self) -> Result<DecodedByte, InvalidChunkSize> {
        let line = String::from_utf8_lossy(&self.line);
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| InvalidChunkSize)?;
        self.remaining = size;
        self.line.clear();
        if size == 0 {
            return Ok(DecodedByte::LastChunk);
        }
        Ok(DecodedByte::Framing)
    }
}

/// The bytes of a response with a JSON body. `headers` are complete lines, each with its line end, or empty.
pub fn response(status: &str, headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}{connection}\r\n"
    );
    [head.as_bytes(), body].concat()
}
