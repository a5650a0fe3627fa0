//! KServe v2 calls, and the texts that v2 bodies carry.
use super::super::FUNCTION;
use super::ClientRequest;
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::Object;
use wrenseam_policy::json::{as_text, list, nested_object, object, parse, text};

/// A call as a whole HTTP request.
pub(crate) fn call(id: u64, request: &ClientRequest) -> Vec<u8> {
    let content = &request.content;
    let (class, text, timeout) = (&content.class, &content.body, request.timeout_ms);
    let token = match &content.idempotency_key {
        Some(key) => format!(r#""token":"{key}","#),
        None => String::new(),
    };
    let body = format!(
        r#"{{"id":"{id:016x}","parameters":{{"class":"{class}","tenant":"acme","wait_ms":{timeout},{token}"memory_mb":512,"lanes":4,"load_ms":640}},"inputs":[{{"name":"body","shape":[1],"datatype":"BYTES","data":["{text}"]}}]}}"#
    );
    let length = body.len();
    format!("POST /v2/models/{FUNCTION}/infer HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// The text that a body carries: that of the first tensor of a v2 body, else the bytes as they are.
pub(crate) fn text_of(body: &[u8]) -> String {
    let plain = String::from_utf8_lossy(body).into_owned();
    let Ok(json) = parse(&plain) else {
        return plain;
    };
    match object(&json).and_then(first_tensor) {
        Some(tensor) => tensor_text(tensor),
        None => plain,
    }
}

fn first_tensor(body: &Object) -> Option<&Object> {
    let name = if body.contains_key("inputs") {
        "inputs"
    } else {
        "outputs"
    };
    list(body, name).first().and_then(object)
}

fn tensor_text(tensor: &Object) -> String {
    let data = list(tensor, "data").first().and_then(as_text);
    let data = data.expect("a tensor's data");
    let content_type = nested_object(tensor, "parameters").and_then(|p| text(p, "content_type"));
    if content_type == Some("base64") {
        let decoded = STANDARD.decode(data).expect("base64");
        String::from_utf8(decoded).expect("text")
    } else {
        data.to_owned()
    }
}
