//! The state of a client connection, as its socket tells.
use super::delivery::has_peer_closed;
use super::{would_block, InputProgress};
use crate::model::{ClientProbe, ClientState};
use may::net::TcpStream;
use std::fmt;
use std::sync::{Arc, Weak};
use std::time::Instant;

/// The stream of a client connection as its writer uses it.
pub(super) struct ClientSocket(pub(super) TcpStream);

impl fmt::Debug for ClientSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.inner().fmt(f)
    }
}

/// Checks the state of a client connection. Once the writer has dropped the stream the client counts as disconnected.
#[derive(Debug)]
pub(super) struct SocketProbe {
    socket: Weak<ClientSocket>,
    input: Arc<InputProgress>,
}

impl SocketProbe {
    pub(super) fn new(socket: &Arc<ClientSocket>, input: &Arc<InputProgress>) -> Self {
        SocketProbe {
            socket: Arc::downgrade(socket),
            input: input.clone(),
        }
    }
}

impl ClientProbe for SocketProbe {
    fn state(&self) -> ClientState {
        let Some(socket) = self.socket.upgrade() else {
            return ClientState::Disconnected;
        };
        if !self.input.is_handling() {
            match socket.0.inner().peek(&mut [0]) {
                Ok(1..) => {}
                Err(error) if would_block(&error) => return ClientState::Connected,
                _ => return ClientState::Disconnected,
            }
        }
        if has_peer_closed(&socket.0) {
            ClientState::Disconnected
        } else if self.input.is_overdue(Instant::now()) {
            ClientState::OverdueInput
        } else {
            ClientState::UnreadInput
        }
    }
}
