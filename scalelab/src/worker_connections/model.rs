//! The model of connections that measurements are compared with.

/// Worker connections, as the model has them.
#[derive(Clone, Copy, Debug)]
pub struct ModelledConnections {
    /// Connections open at a time.
    pub open: f64,
    /// Part of the requests that open a connection, 0 to 1.
    pub opening_share: f64,
}

/// The model: each function has its requests at one worker, which any is with equal chance; a connection stays open for
/// `idle_s` seconds after a request; at most `most` are open, those used last. `shares` are the functions' parts of all
/// `rate` requests a second.
pub fn model(
    workers: f64,
    rate: f64,
    idle_s: f64,
    shares: &[f64],
    most: f64,
) -> ModelledConnections {
    let not_called = |share: &f64| (-rate * idle_s * share).exp();
    let called: f64 = shares.iter().map(|share| 1.0 - not_called(share)).sum();
    // The chance that none of those functions is at a worker.
    let unused = (-called / workers).exp();
    let open = workers * (1.0 - unused);
    let late: f64 = shares.iter().map(|share| share * not_called(share)).sum();
    let opening_share = late * unused;
    if open > most {
        return ModelledConnections {
            open: most,
            opening_share: opening_share.max(1.0 - most / workers),
        };
    }
    ModelledConnections {
        open,
        opening_share,
    }
}
