//! Errors that end the adapter, with the line of the input at which they occurred.
use std::io;
use wrenseam_policy::json::NotJson;

/// Why the adapter stopped before the end of its input, or failed at the end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RunError {
    /// A line cannot be read.
    #[error("line {line}: {source}")]
    Input {
        /// Its number, counted from 1.
        line: usize,
        source: io::Error,
    },
    /// A line is no valid message, or a message that is not allowed at this point.
    #[error("line {line}: {source}")]
    Message {
        /// Its number, counted from 1.
        line: usize,
        source: MessageError,
    },
    /// A reply cannot be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The input ended before the batch was committed; the batch's number.
    #[error("input ended before batch {0} was committed")]
    OpenBatch(u64),
}

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    #[error(transparent)]
    NotJson(#[from] NotJson),
    #[error("message is not a JSON object")]
    NotObject,
    #[error("message is not an object with exactly one key")]
    NotSingleKey,
    #[error("the value under the message's name is not an object")]
    NoBody,
    /// A message other than FRAME came before the first batch or between two; its name.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// A field of the message cannot be used.
    #[error("{message}: {source}")]
    Field {
        /// The message's name.
        message: String,
        source: FieldError,
    },
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
    #[error("'{0}' is missing or not an unsigned integer")]
    NotUnsignedInteger(&'static str),
    #[error("'{0}' is missing or not a string")]
    NotText(&'static str),
    #[error("'{0}' is missing or not a number")]
    NotNumber(&'static str),
    #[error("'{0}' is missing or not an object")]
    NotObject(&'static str),
    #[error("'{0}' is neither an array nor null")]
    NotArray(&'static str),
    #[error("'image' is not a 64-bit hexadecimal number: {0}")]
    Function(#[from] std::num::ParseIntError),
    #[error("unknown status '{0}'")]
    UnknownStatus(String),
    #[error("an element of the endpoint list is not an object")]
    EntryNotObject,
    #[error("'mode' of an element of the endpoint list is missing or unknown")]
    UnknownMode,
    #[error("unknown event")]
    UnknownEvent,
}
