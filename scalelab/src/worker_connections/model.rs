//! An analytic model of worker connections, with which the measurements are compared.

/// The model's result.
#[derive(Clone, Copy, Debug)]
pub struct ModelledConnections {
    /// Expected number of worker connections open at a time.
    pub open: f64,
    /// Share of the requests that open a connection, from 0 to 1.
    pub opening_share: f64,
}

/// Computes the expected worker connections of one front end. The model's assumptions: all requests of a function go to
/// one worker, chosen uniformly at random; a connection stays open for `idle_s` seconds after a request; of more than
/// `max_connections` connections, the most recently used stay open. `requests_per_s` is the total rate of requests, and
/// `shares` are the functions' shares of it.
pub fn model_connections(
    workers: f64,
    requests_per_s: f64,
    idle_s: f64,
    shares: &[f64],
    max_connections: f64,
) -> ModelledConnections {
    // Probability that a function has no request within the idle time.
    let not_called = |share: &f64| (-requests_per_s * idle_s * share).exp();
    // Expected number of functions that have one.
    let called: f64 = shares.iter().map(|share| 1.0 - not_called(share)).sum();
    // Probability that a worker has none of these functions.
    let unused = (-called / workers).exp();
    let open = workers * (1.0 - unused);
    // Share of the requests whose function had no request within the idle time.
    let late: f64 = shares.iter().map(|share| share * not_called(share)).sum();
    let opening_share = late * unused;
    if open > max_connections {
        return ModelledConnections {
            open: max_connections,
            opening_share: opening_share.max(1.0 - max_connections / workers),
        };
    }
    ModelledConnections {
        open,
        opening_share,
    }
}
