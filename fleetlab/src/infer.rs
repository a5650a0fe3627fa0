//! The KServe v2 infer requests that the load generator sends and the stand-in workers answer.

/// The one function that the lab's load calls.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";
/// Bits of an attempt's id that number the attempts of a request.
const ATTEMPT_BITS: u32 = 8;

/// The bytes of an attempt of a request: each attempt has an id of its own, and its body names the request.
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

/// The id of an attempt, which its response repeats.
pub fn attempt_id(body: &[u8]) -> Option<&str> {
    let (_, rest) = std::str::from_utf8(body).ok()?.split_once(r#""id":""#)?;
    rest.split('"').next()
}

/// The number of the request that an attempt's body names.
pub fn request_number(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, named) = text.split_once(r#""data":["r"#)?;
    named.split('"').next()?.parse().ok()
}
