//! The KServe v2 infer requests that the load generator sends and the simulated workers answer.

/// The only function that the load calls.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";
/// Number of low bits of an attempt's id that hold the index of the attempt; the others hold the request's number.
const ATTEMPT_BITS: u32 = 8;

/// Returns the HTTP request of an attempt. Each attempt has its own id; the input data holds the number of the request.
pub fn request_bytes(request: u64, attempt: usize, wait_ms: u64) -> String {
    let id = request << ATTEMPT_BITS | attempt as u64;
    let body = format!(
        r#"{{"id":"{id:016x}","parameters":{{"class":"tile-render","tenant":"acme","wait_ms":{wait_ms},"memory_mb":512,"lanes":4,"load_ms":640}},"inputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["r{request}"]}}]}}"#
    );
    format!(
        "POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: lab\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the id in the body of an attempt, which the response must repeat; `None` if there is none.
pub fn attempt_id(body: &[u8]) -> Option<&str> {
    let (_, rest) = std::str::from_utf8(body).ok()?.split_once(r#""id":""#)?;
    rest.split('"').next()
}

/// Returns the request's number in the body of an attempt; `None` if there is none.
pub fn request_number(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, rest) = text.split_once(r#""data":["r"#)?;
    rest.split('"').next()?.parse().ok()
}
