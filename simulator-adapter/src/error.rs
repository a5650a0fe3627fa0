//! What ends the adapter, and where in the input.
use std::io;
use wrenseam_policy::json::NotJson;

/// Why the adapter ended before its input did.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RunError {
    /// A line cannot be read.
    #[error("line {line}: {source}")]
    Input {
        /// Its number, counted from 1.
        line: usize,
        source: io::Error,
    },
    /// A line holds no message that is due there.
    #[error("line {line}: {source}")]
    Message {
        /// Its number, counted from 1.
        line: usize,
        source: MessageError,
    },
    /// A reply cannot be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The input ended before the batch was committed.
    #[error("input ended inside batch {0}")]
    OpenBatch(u64),
}

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    #[error(transparent)]
    NotJson(#[from] NotJson),
    #[error("not an object")]
    NotObject,
    #[error("not an object with a single key")]
    NotSingleKey,
    #[error("the message holds no object")]
    NoBody,
    /// An event came before the first batch, or between two.
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
    #[error("'{0}' is not a whole number")]
    NotWholeNumber(&'static str),
    #[error("'{0}' is not a text")]
    NotText(&'static str),
    #[error("'{0}' is not a number")]
    NotNumber(&'static str),
    #[error("'{0}' is not an object")]
    NotObject(&'static str),
    #[error("'{0}' is not an array")]
    NotArray(&'static str),
    #[error("'image': {0}")]
    Function(#[from] std::num::ParseIntError),
    #[error("unknown status '{0}'")]
    UnknownStatus(String),
    #[error("a list entry is not an object")]
    EntryNotObject,
    #[error("'mode' of a list entry is unknown")]
    UnknownMode,
    #[error("unknown event")]
    UnknownEvent,
}
