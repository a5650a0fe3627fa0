//! Calls of functions as FastCGI requests.
use super::super::support::fastcgi::fastcgi_request;
use super::super::FUNCTION;
use super::ClientRequest;

/// Encodes a call as a complete request. Its FastCGI id is the lower 16 bits of the call's id.
pub(crate) fn call(id: u64, request: &ClientRequest) -> Vec<u8> {
    let content = &request.content;
    let script_name = format!("/v1/{}", content.class);
    let call_id = format!("{id:016x}");
    let timeout = request.timeout_ms.to_string();
    let mut params = vec![
        ("SCRIPT_NAME", &script_name[..]),
        ("HTTP_REQ_ID", &call_id),
        ("HTTP_REQ_WAIT_MS", &timeout),
        ("HTTP_REQ_OWNER", "acme"),
        ("HTTP_REQ_KEY", FUNCTION),
        ("HTTP_X_MORE", "memory_mb:512;lanes:4;load_ms:640"),
    ];
    if let Some(key) = &content.idempotency_key {
        params.push(("HTTP_REQ_TOKEN", key));
    }
    fastcgi_request(id as u16, &params, content.body.as_bytes())
}
