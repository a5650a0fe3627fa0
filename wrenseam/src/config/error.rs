//! Errors in the configuration. Operators read their texts at startup, at a reload and from `check`.
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use thiserror::Error;

/// An error in the configuration: the file or variable, the key in it, and what is wrong.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable that must hold a file's path is empty or not set.
    #[error("{variable} names no file")]
    NoFileNamed {
        /// The variable.
        variable: &'static str,
    },
    /// A variable is not set or not valid Unicode.
    #[error("{variable}: {source}")]
    UnreadableVariable {
        /// The variable.
        variable: &'static str,
        /// Why it cannot be read.
        source: std::env::VarError,
    },
    /// A variable does not hold an address.
    #[error("{variable} is not HOST:PORT: {value}")]
    InvalidVariableAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// A file cannot be read.
    #[error("{file}: {source}")]
    UnreadableFile {
        /// The file.
        file: String,
        /// The I/O error.
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
    /// A required key is missing.
    #[error("{file}: no '{key}'")]
    MissingKey {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// A key does not hold an address.
    #[error("'{key}' is not HOST:PORT: {value}")]
    InvalidAddress {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// A peer in the list of seeds is not an address.
    #[error("{file}: seed is not HOST:PORT: {value}")]
    InvalidPeer {
        /// The file.
        file: String,
        /// The peer as written in the file.
        value: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// An element of a list is not a string.
    #[error("{file}: '{key}' must be a list of {expected}")]
    WrongElement {
        /// The file.
        file: String,
        /// The list's key.
        key: &'static str,
        /// What the list must hold.
        expected: &'static str,
    },
    /// A key does not hold a boolean.
    #[error("{file}: '{key}' is neither true nor false")]
    NotABoolean {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// A number is out of its range.
    #[error("{file}: '{key}' is {value}, not within {min} to {max}")]
    OutOfRange {
        /// The file.
        file: String,
        /// The number's key.
        key: &'static str,
        /// The number.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A string is too long.
    #[error("{file}: '{key}' has {bytes} bytes, {max_bytes} allowed")]
    TooLong {
        /// The file.
        file: String,
        /// The string's key.
        key: &'static str,
        /// Its length in bytes.
        bytes: usize,
        /// The largest allowed length in bytes.
        max_bytes: usize,
    },
    /// A key does not hold a hexadecimal number.
    #[error("'{key}' is not hex: {value}")]
    NotHexadecimal {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// The settings have no classes.
    #[error("the settings name no classes: every request would fail")]
    NoClasses,
    /// Neither the file nor the environment has an address for clients.
    #[error("no address to listen on")]
    NoListenAddress,
    /// The admin endpoint has the clients' address. Both sockets would bind to it, as they use `SO_REUSEPORT`, and the
    /// kernel would distribute connections between them.
    #[error("{setting} is the clients' address {address}: the admin endpoint needs an address of its own")]
    AdminOnClientAddress {
        /// The key, in quotes, or the variable that holds the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
    },
}
