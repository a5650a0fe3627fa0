//! KServe v2: encodes calls, and extracts the text from bodies.
use super::super::FUNCTION;
use super::ClientRequest;
use base64::{engine::general_purpose::STANDARD, Engine};
use miniserde::json::Object;
use wrenseam_policy::json::{as_text, list, nested_object, object, parse, text};

/// Encodes a call as a complete HTTP request.
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

/// Text of a body: the data of the first tensor, or the body itself if it is not a v2 body with a tensor.
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

/// First input of a request body, or first output of an answer body.
fn first_tensor(body: &Object) -> Option<&Object> {
    let name = if body.contains_key("inputs") {
        "inputs"
    } else {
        "outputs"
    };
    list(body, name).first().and_then(object)
}

/// First data element of a tensor, decoded if its content type is base64.
fn tensor_text(tensor: &Object) -> String {
    let data = list(tensor, "data").first().and_then(as_text);
    let data = data.expect("the tensor has data");
    let content_type = nested_object(tensor, "parameters").and_then(|p| text(p, "content_type"));
    if content_type == Some("base64") {
        let decoded = STANDARD.decode(data).expect("valid base64");
        String::from_utf8(decoded).expect("UTF-8 text")
    } else {
        data.to_owned()
    }
}
