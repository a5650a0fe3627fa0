//! Clients that call functions at Poisson times, each on a connection of its own.
use super::{CLIENTS, SERVICE_TIMES};
use crate::harness::{self, InferenceClient};
use crate::ExperimentError;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a client that waits looks whether it is to end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sums of the shares, so that a uniform number from 0 to 1 draws a function.
fn cumulative(shares: &[f64]) -> Vec<f64> {
    let mut total = 0.0;
    let mut sums = Vec::with_capacity(shares.len());
    for share in shares {
        total += share;
        sums.push(total);
    }
    sums
}

/// What all clients share.
pub(super) struct Clients {
    address: SocketAddr,
    requests_per_s: f64,
    cumulative_shares: Vec<f64>,
    pub(super) stop: AtomicBool,
    pub(super) served: AtomicU64,
    pub(super) not_served: AtomicU64,
    /// Times of those served, ms.
    pub(super) times: Mutex<Vec<f64>>,
}

fn uniform(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Clients {
    pub(super) fn start(
        address: SocketAddr,
        rate: u64,
        shares: &[f64],
        seed: u64,
    ) -> Result<Arc<Clients>, ExperimentError> {
        let clients = Arc::new(Clients {
            address,
            requests_per_s: rate as f64 / CLIENTS as f64,
            cumulative_shares: cumulative(shares),
            stop: AtomicBool::new(false),
            served: AtomicU64::new(0),
            not_served: AtomicU64::new(0),
            times: Mutex::default(),
        });
        for client in 0..CLIENTS {
            let clients = clients.clone();
            harness::spawn_thread(move || clients.run(seed << 16 | client))?;
        }
        Ok(clients)
    }

    /// One client: requests at seeded Poisson times until all are to stop.
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
            let status = self.call(&mut connection, function);
            if matches!(status, Ok(200)) {
                self.served.fetch_add(1, Ordering::Relaxed);
                harness::lock(&self.times).push(sent_at.elapsed().as_secs_f64() * 1000.0);
                continue;
            }
            self.not_served.fetch_add(1, Ordering::Relaxed);
            if status.is_err() {
                connection = None;
            }
        }
    }

    /// Waits until a request is due; false: the clients are to stop.
    fn wait(&self, due: Instant) -> bool {
        while let Some(wait) = due.checked_duration_since(Instant::now()) {
            std::thread::sleep(wait.min(STOP_POLL_INTERVAL));
            if self.stop.load(Ordering::Relaxed) {
                return false;
            }
        }
        !self.stop.load(Ordering::Relaxed)
    }

    /// Sends a request. A connection that was closed while idle is made again, as the protocol's clients do.
    fn call(
        &self,
        connection: &mut Option<InferenceClient>,
        function: u64,
    ) -> std::io::Result<u16> {
        if let Some(client) = connection {
            if let Ok(status) = client.call(function, SERVICE_TIMES.load) {
                return Ok(status);
            }
        }
        let mut client = InferenceClient::connect(self.address)?;
        let status = client.call(function, SERVICE_TIMES.load);
        *connection = Some(client);
        status
    }
}
