//! The stand-in notice board.
use super::clients::message;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

/// A stand-in notice board: where it listens, and its calls with the last event that each told.
pub(super) type Board = (SocketAddr, Receiver<(String, TcpStream)>);

pub(super) fn board() -> Board {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (seen, calls) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let Ok((head, _)) = message(&mut stream) else {
                continue;
            };
            let last = head
                .lines()
                .find_map(|l| l.strip_prefix("Last-Event-ID: "))
                .expect("told")
                .to_owned();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            let _ = seen.send((last, stream));
        }
    });
    (address, calls)
}
