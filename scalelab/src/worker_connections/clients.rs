//! Clients that send requests as Poisson processes, each on a connection of its own.
use super::{CLIENTS, SERVICE_TIMES};
use crate::harness::{self, InferenceClient};
use crate::ExperimentError;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest interval at which a waiting client checks the stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Cumulative shares of the functions, from which a uniform random number from 0 to 1 selects a function.
fn cumulative(shares: &[f64]) -> Vec<f64> {
    let mut total = 0.0;
    let mut sums = Vec::with_capacity(shares.len());
    for share in shares {
        total += share;
        sums.push(total);
    }
    sums
}

/// State shared by all clients.
pub(super) struct Clients {
    /// The front end's v2 listener.
    address: SocketAddr,
    /// Rate of each client.
    requests_per_s: f64,
    cumulative_shares: Vec<f64>,
    pub(super) stop: AtomicBool,
    /// Requests answered with status 200.
    pub(super) served: AtomicU64,
    /// Requests that failed or were answered with another status.
    pub(super) not_served: AtomicU64,
    /// Response times of the requests served, in milliseconds.
    pub(super) response_times_ms: Mutex<Vec<f64>>,
}

fn uniform(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Clients {
    pub(super) fn start(
        address: SocketAddr,
        requests_per_s: u64,
        shares: &[f64],
        seed: u64,
    ) -> Result<Arc<Clients>, ExperimentError> {
        let clients = Arc::new(Clients {
            address,
            requests_per_s: requests_per_s as f64 / CLIENTS as f64,
            cumulative_shares: cumulative(shares),
            stop: AtomicBool::new(false),
            served: AtomicU64::new(0),
            not_served: AtomicU64::new(0),
            response_times_ms: Mutex::default(),
        });
        for client in 0..CLIENTS {
            let clients = clients.clone();
            harness::spawn_thread(move || clients.run(seed << 16 | client))?;
        }
        Ok(clients)
    }

    /// Runs one client until the stop flag is set. Its request times and functions are drawn from the seed.
    fn run(&self, seed: u64) {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut connection = None;
        let mut due = Instant::now();
        loop {
            let interval = -(1.0 - uniform(&mut random)).ln() / self.requests_per_s;
            due += Duration::from_secs_f64(interval);
            if !self.wait(due) {
                return;
            }
            let drawn = uniform(&mut random);
            let sums = &self.cumulative_shares;
            let function = sums.partition_point(|&sum| sum < drawn) as u64 + 1;
            let sent_at = Instant::now();
            let status = self.send_request(&mut connection, function);
            if matches!(status, Ok(200)) {
                self.served.fetch_add(1, Ordering::Relaxed);
                harness::lock(&self.response_times_ms)
                    .push(sent_at.elapsed().as_secs_f64() * 1000.0);
                continue;
            }
            self.not_served.fetch_add(1, Ordering::Relaxed);
            if status.is_err() {
                connection = None;
            }
        }
    }

    /// Waits until a request is due. Returns false if the stop flag is set.
    fn wait(&self, due: Instant) -> bool {
        while let Some(wait) = due.checked_duration_since(Instant::now()) {
            std::thread::sleep(wait.min(STOP_POLL_INTERVAL));
            if self.stop.load(Ordering::Relaxed) {
                return false;
            }
        }
        !self.stop.load(Ordering::Relaxed)
    }

    /// Sends a request and returns the status. If the connection fails, as when the front end closed it while it was
    /// idle, the request is sent once more on a new one, as real clients of the protocol do.
    fn send_request(
        &self,
        connection: &mut Option<InferenceClient>,
        function: u64,
    ) -> std::io::Result<u16> {
        if let Some(client) = connection {
            if let Ok(status) = client.infer(function, SERVICE_TIMES.load) {
                return Ok(status);
            }
        }
        let mut client = InferenceClient::connect(self.address)?;
        let status = client.infer(function, SERVICE_TIMES.load);
        *connection = Some(client);
        status
    }
}
