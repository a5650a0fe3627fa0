//! Server-sent events.

/// Puts server-sent events together from bytes as they come.
#[derive(Default)]
pub struct Events {
    line: Vec<u8>,
    id: Option<String>,
    data: String,
}

/// What a byte of the stream completes.
#[derive(Debug, PartialEq)]
pub enum Said {
    /// Nothing yet, or what means nothing here.
    Nothing,
    /// A comment.
    Comment,
    /// An event: its own id, where it has one, and its data.
    Event(Option<String>, String),
}

impl Events {
    /// Takes one byte. An id does not go over to the next event: one that has none would pass for a repeat.
    pub fn byte(&mut self, byte: u8) -> Said {
        if byte != b'\n' {
            self.line.push(byte);
            return Said::Nothing;
        }
        // Not copied once more where it is text: the list of all workers is one line.
        let mut line = String::from_utf8(std::mem::take(&mut self.line))
            .unwrap_or_else(|e| String::from_utf8_lossy(e.as_bytes()).into_owned());
        if line.ends_with('\r') {
            line.pop();
        }
        let value = |rest: &str| rest.strip_prefix(' ').unwrap_or(rest).to_owned();
        if line.is_empty() {
            let (id, data) = (self.id.take(), std::mem::take(&mut self.data));
            return if data.is_empty() {
                Said::Nothing
            } else {
                Said::Event(id, data)
            };
        } else if line.starts_with(':') {
            return Said::Comment;
        } else if let Some(rest) = line.strip_prefix("id:") {
            self.id = Some(value(rest));
        } else if let Some(rest) = line.strip_prefix("data:") {
            if self.data.is_empty() {
                line.drain(..line.len() - rest.strip_prefix(' ').unwrap_or(rest).len());
                self.data = line;
            } else {
                self.data.push('\n');
                self.data.push_str(&value(rest));
            }
        }
        Said::Nothing // other fields mean nothing here
    }

    pub(super) fn size(&self) -> usize {
        self.line.len() + self.data.len()
    }
}
