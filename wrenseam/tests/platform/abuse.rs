//! Clients that misuse a front end at full speed, in ways that cost it memory or descriptors.
use super::client::call_params;
use super::support::fastcgi::{
    abort_request, fastcgi_record, fastcgi_request, read_fastcgi_answer,
};
use super::FUNCTIONS;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reads and writes of a client end after this, so that it notices that it is stopped.
const IO_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout in ms that most of the requests state.
const TIMEOUT_MS: &str = "1000";
/// The longest timeout in ms that the front end accepts.
const LONGEST_TIMEOUT_MS: &str = "600000";
/// A FastCGI record type that no version of the protocol defines.
const UNKNOWN_RECORD_TYPE: u8 = 77;
/// Size in bytes of the receive buffer of [`Abuse::ReadsNothing`].
const RECEIVE_BUFFER: usize = 4_096;
/// Number of records of one write of [`Abuse::ReadsNothing`].
const UNKNOWN_RECORDS: usize = 500;
/// FastCGI ids of the requests that are cancelled in one write.
const CANCELLED_IDS: std::ops::Range<u16> = 1..31;
/// Most connections that one client of [`Abuse::HoldsConnections`] keeps open.
const HELD_CONNECTIONS: usize = 400;

/// How a client misuses a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Abuse {
    /// Sends the same request, with the same id, again as soon as it is answered.
    RepeatsRequestId,
    /// Cancels each request right behind it, and asks for a new function each time.
    CancelsAtOnce,
    /// Sends records that are answered, and reads no answer.
    ReadsNothing,
    /// Sends requests with new ids one after the other.
    SendsWithoutPause,
    /// Sends requests that state the longest timeout one after the other.
    StatesLongestTimeout,
    /// Opens connections and leaves them idle or with half a request.
    HoldsConnections,
    /// Sends bytes that are no FastCGI record.
    SendsGarbage,
}

/// Abusive clients that run until they are stopped, each in a thread of its own.
pub(crate) struct AbusiveClients {
    is_stopped: Arc<AtomicBool>,
    /// Requests, or connections of [`Abuse::HoldsConnections`], of all clients so far.
    count: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl AbusiveClients {
    /// Starts `clients` clients that misuse the front end at `address`.
    pub(crate) fn start(
        abuse: Abuse,
        clients: usize,
        address: SocketAddr,
        seed: u64,
    ) -> AbusiveClients {
        let is_stopped = Arc::<AtomicBool>::default();
        let count = Arc::<AtomicU64>::default();
        let start_client = |number| {
            let mut client = AbusiveClient {
                abuse,
                address,
                random: Pcg32::seed_from_u64(seed.wrapping_add(number)),
                is_stopped: is_stopped.clone(),
                count: count.clone(),
                held: VecDeque::new(),
            };
            std::thread::spawn(move || client.run())
        };
        let threads = (0..clients as u64).map(start_client).collect();
        AbusiveClients {
            is_stopped,
            count,
            threads,
        }
    }

    /// Requests, or connections of [`Abuse::HoldsConnections`], so far.
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::Acquire)
    }

    /// Stops the clients and closes their connections.
    pub(crate) fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // reports its own panic
        }
    }
}

impl Drop for AbusiveClients {
    fn drop(&mut self) {
        self.end();
    }
}

struct AbusiveClient {
    abuse: Abuse,
    address: SocketAddr,
    random: Pcg32,
    is_stopped: Arc<AtomicBool>,
    count: Arc<AtomicU64>,
    /// Connections that are kept open, oldest first.
    held: VecDeque<TcpStream>,
}

impl AbusiveClient {
    fn run(&mut self) {
        let repeated_id = self.random_id();
        while !self.is_stopped() {
            if let Ok(stream) = self.connect() {
                let _ = self.misuse(stream, &repeated_id); // the front end closes connections
            }
        }
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        Ok(stream)
    }

    fn misuse(&mut self, stream: TcpStream, repeated_id: &str) -> io::Result<()> {
        match self.abuse {
            Abuse::RepeatsRequestId => self.call_in_turn(stream, Some(repeated_id), TIMEOUT_MS),
            Abuse::SendsWithoutPause => self.call_in_turn(stream, None, TIMEOUT_MS),
            Abuse::StatesLongestTimeout => self.call_in_turn(stream, None, LONGEST_TIMEOUT_MS),
            Abuse::CancelsAtOnce => self.cancel_at_once(stream),
            Abuse::ReadsNothing => self.read_nothing(stream),
            Abuse::HoldsConnections => self.hold(stream),
            Abuse::SendsGarbage => self.send_garbage(stream),
        }
    }

    /// Sends requests one after the other, with new ids or always with `id`.
    fn call_in_turn(
        &mut self,
        mut stream: TcpStream,
        id: Option<&str>,
        timeout_ms: &str,
    ) -> io::Result<()> {
        while !self.is_stopped() {
            let id = id.map_or_else(|| self.random_id(), str::to_owned);
            stream.write_all(&call(1, &id, timeout_ms, FUNCTIONS[0]))?;
            read_fastcgi_answer(&mut stream)?;
            self.add_to_count(1);
        }
        Ok(())
    }

    fn cancel_at_once(&mut self, stream: TcpStream) -> io::Result<()> {
        let mut answers = stream.try_clone()?;
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while answers.read(&mut bytes).is_ok_and(|read| read > 0) {}
        });
        let mut stream = stream;
        while !self.is_stopped() {
            let mut bytes = Vec::new();
            for request_id in CANCELLED_IDS {
                let function = self.random_id();
                bytes.extend(call(request_id, &self.random_id(), TIMEOUT_MS, &function));
                bytes.extend(abort_request(request_id));
            }
            stream.write_all(&bytes)?;
            self.add_to_count(CANCELLED_IDS.len() as u64);
        }
        Ok(())
    }

    fn read_nothing(&mut self, mut stream: TcpStream) -> io::Result<()> {
        // With a small buffer here, answers soon wait in the front end.
        SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER)?;
        let records = fastcgi_record(UNKNOWN_RECORD_TYPE, 0, &[]).repeat(UNKNOWN_RECORDS);
        while !self.is_stopped() {
            stream.write_all(&records)?;
            self.add_to_count(UNKNOWN_RECORDS as u64);
        }
        Ok(())
    }

    fn hold(&mut self, mut stream: TcpStream) -> io::Result<()> {
        let request = call(1, &self.random_id(), TIMEOUT_MS, FUNCTIONS[0]);
        let sent = self.random.next_u32() as usize % request.len();
        if self.random.next_u32().is_multiple_of(2) {
            stream.write_all(&request[..sent])?;
        }
        self.held.push_back(stream);
        if self.held.len() > HELD_CONNECTIONS {
            self.held.pop_front();
        }
        self.add_to_count(1);
        Ok(())
    }

    fn send_garbage(&mut self, mut stream: TcpStream) -> io::Result<()> {
        let mut bytes = [0; 512];
        self.random.fill_bytes(&mut bytes);
        stream.write_all(&bytes)?;
        self.add_to_count(1);
        while stream.read(&mut bytes)? > 0 {}
        Ok(())
    }

    fn random_id(&mut self) -> String {
        format!(
            "{:08x}{:08x}",
            self.random.next_u32(),
            self.random.next_u32()
        )
    }

    fn add_to_count(&self, more: u64) {
        self.count.fetch_add(more, Ordering::AcqRel);
    }
}

/// Encodes a call of the class `tile-render`.
fn call(request_id: u16, id: &str, timeout_ms: &str, function: &str) -> Vec<u8> {
    let params = call_params("/v1/tile-render", id, timeout_ms, function);
    fastcgi_request(request_id, &params, b"tile")
}
