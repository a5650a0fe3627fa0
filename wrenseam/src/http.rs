//! The HTTP/1.1 that is spoken beside the main protocol: heads by httparse, bodies by length or in chunks.

/// Headers of a head at the most.
const HEADERS: usize = 64;
/// Bytes of a chunk's first line at the most: a size and a few extensions.
const CHUNK_LINE_LENGTH: usize = 64;

/// Why a head cannot be used. v2 clients read these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It is not HTTP/1.
    #[error(transparent)]
    Syntax(#[from] httparse::Error),
    /// The length is no number.
    #[error("bad Content-Length")]
    InvalidLength,
    /// Two lengths differ.
    #[error("two lengths")]
    ConflictingLengths,
    /// It states a length and announces chunks.
    #[error("a length and chunks")]
    LengthAndChunks,
}

/// The size of a chunk is no hexadecimal number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bad chunk size")]
pub struct InvalidChunkSize;

/// The status of a response.
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
    /// The code and its reason, as they stand in the first line of a response.
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

/// The parts of a head that matter here.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Method of a request.
    pub method: String,
    /// Target of a request.
    pub target: String,
    /// Status of a response.
    pub status: u16,
    /// The body's length, where stated.
    pub length: Option<usize>,
    /// Whether the body comes in chunks.
    pub chunked: bool,
    /// Whether the connection ends with this exchange.
    pub close: bool,
    /// Whether the client waits for a 100 Continue before it sends the body.
    pub expects_continue: bool,
    /// Whether a response has a Retry-After.
    pub retry_after: bool,
}

impl Head {
    /// The head of a request; `head` ends with the empty line.
    ///
    /// # Errors
    /// The head is not HTTP/1, or its lengths contradict each other.
    pub fn request(head: &[u8]) -> Result<Head, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
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

    /// The head of a response.
    ///
    /// # Errors
    /// The head is not HTTP/1, or its lengths contradict each other.
    pub fn response(head: &[u8]) -> Result<Head, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        response.parse(head)?;
        Head {
            status: response.code.unwrap_or(0),
            close: response.version == Some(0),
            ..Head::default()
        }
        .with_headers(response.headers)
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The segments of a request's path.
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

    /// Guards against request smuggling: two lengths that differ, or a length that is none.
    fn set_length(&mut self, value: &str) -> Result<(), HeadError> {
        let length = value.parse().map_err(|_| HeadError::InvalidLength)?;
        if self.length.is_some_and(|known| known != length) {
            return Err(HeadError::ConflictingLengths);
        }
        self.length = Some(length);
        Ok(())
    }
}

/// What a byte of the chunked coding stands for.
#[derive(Debug, PartialEq)]
pub enum DecodedByte {
    /// Content.
    Content(u8),
    /// Part of the coding.
    Framing,
    /// The last chunk has begun.
    LastChunk,
}

/// Decodes the chunked transfer coding, byte by byte.
#[derive(Default)]
pub struct ChunkedDecoder {
    /// Bytes of the chunk's content that are still to come.
    remaining: usize,
    /// The first line of the next chunk, so far.
    line: Vec<u8>,
}

impl ChunkedDecoder {
    /// Takes the next byte.
    ///
    /// # Errors
    /// The first line of a chunk names no size.
    pub fn decode_byte(&mut self, byte: u8) -> Result<DecodedByte, InvalidChunkSize> {
        if self.remaining > 0 {
            self.remaining -= 1;
            return Ok(DecodedByte::Content(byte));
        }
        match byte {
            b'\n' if self.line.is_empty() => {} // the line end behind a chunk
            b'\n' => return self.begin_chunk(),
            b'\r' => {}
            _ if self.line.len() > CHUNK_LINE_LENGTH => return Err(InvalidChunkSize),
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

/// A response with a JSON body as bytes; `headers` are complete lines.
pub fn response(status: &str, headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{headers}{connection}\r\n"
    );
    [head.as_bytes(), body].concat()
}
