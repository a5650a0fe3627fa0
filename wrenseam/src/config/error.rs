//! Why a configuration cannot be used. The texts are what operators read at the start, at a reload and from `check`.
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use thiserror::Error;

/// Why a configuration cannot be used: the file or variable, the key in it, and what is wrong.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable that must name a file is empty or not set.
    #[error("{variable} names no file")]
    NoFileNamed {
        /// The variable.
        variable: &'static str,
    },
    /// A variable is not set, or is no text.
    #[error("{variable}: {source}")]
    UnreadableVariable {
        /// The variable.
        variable: &'static str,
        /// What is wrong with it.
        source: std::env::VarError,
    },
    /// A variable holds no address.
    #[error("{variable} is not HOST:PORT: {value}")]
    InvalidVariableAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// A file cannot be read.
    #[error("{file}: {source}")]
    UnreadableFile {
        /// The file.
        file: String,
        /// Why not.
        source: std::io::Error,
    },
    /// A file is not JSON.
    #[error("{file}: not JSON")]
    NotJson {
        /// The file.
        file: String,
    },
    /// A file is JSON, but not an object.
    #[error("{file}: not a JSON object")]
    NotAnObject {
        /// The file.
        file: String,
    },
    /// A key that must be there is missing.
    #[error("{file}: no '{key}'")]
    MissingKey {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// A key holds no address.
    #[error("'{key}' is not HOST:PORT: {value}")]
    InvalidAddress {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// One of the peers asked to join is no address.
    #[error("{file}: seed is not HOST:PORT: {value}")]
    InvalidPeer {
        /// The file.
        file: String,
        /// The peer as it was given.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// A list holds an element of another type.
    #[error("{file}: '{key}' holds {expected}")]
    WrongElement {
        /// The file.
        file: String,
        /// The list's key.
        key: &'static str,
        /// What it must hold.
        expected: &'static str,
    },
    /// A key holds neither true nor false.
    #[error("{file}: '{key}' is neither true nor false")]
    NotABoolean {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// A number is too small or too large.
    #[error("{file}: '{key}' is {value}, not within {min} to {max}")]
    OutOfRange {
        /// The file.
        file: String,
        /// The number's key.
        key: &'static str,
        /// The number.
        value: f64,
        /// The smallest allowed.
        min: f64,
        /// The largest allowed.
        max: f64,
    },
    /// A text is too long.
    #[error("{file}: '{key}' has {bytes} bytes, {max_bytes} allowed")]
    TooLong {
        /// The file.
        file: String,
        /// The text's key.
        key: &'static str,
        /// Its length.
        bytes: usize,
        /// The largest length allowed.
        max_bytes: usize,
    },
    /// A key holds no hexadecimal number.
    #[error("'{key}' is not hex: {value}")]
    NotHexadecimal {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// The settings name no classes.
    #[error("the settings name no classes: every request would fail")]
    NoClasses,
    /// Neither file nor environment name an address for clients.
    #[error("no address to listen on")]
    NoListenAddress,
    /// The admin endpoint has the clients' address. Both would listen by `SO_REUSEPORT`, and connections would be
    /// shared between them.
    #[error("{setting} is the clients' address {address}: the door needs one of its own")]
    AdminOnClientAddress {
        /// The key or variable that names it, as it is written for operators.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
    },
}
