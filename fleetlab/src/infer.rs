//! The KServe v2 infer requests that the load generator sends and the stand-in workers answer.

/// The one function that the lab's gateways call.
pub const FUNCTION: &str = "7f3a9c21e0b4d655";

/// The bytes of a try of request `n`: each try has an id of its own, and its body names the request.
pub fn request_bytes(n: u64, k: usize, wait_ms: u64) -> String {
    let id = n << 8 | k as u64;
    let body = format!(
        r#"{{"id":"{id:016x}","parameters":{{"class":"tile-render","tenant":"acme","wait_ms":{},"memory_mb":512,"lanes":4,"load_ms":640}},"inputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["r{n}"]}}]}}"#,
        wait_ms
    );
    format!(
        "POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: lab\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The id of a try, which its answer names.
pub fn call_id(body: &[u8]) -> Option<&str> {
    let (_, rest) = std::str::from_utf8(body).ok()?.split_once(r#""id":""#)?;
    rest.split('"').next()
}

/// The number of the request that a call's body names.
pub fn request_number(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let (_, named) = text.split_once(r#""data":["r"#)?;
    named.split('"').next()?.parse().ok()
}
