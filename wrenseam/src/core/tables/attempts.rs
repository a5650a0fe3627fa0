//! The attempts of one request, numbered from 0 in the order in which the policy decided on them.
use wrenseam_policy::Micros;

/// One attempt at a worker.
#[derive(Debug)]
pub struct Attempt {
    worker: String,
    started_at: Micros,
    open: bool,
    handed_over: bool,
}

impl Attempt {
    /// The id of the worker that it goes to.
    pub fn worker(&self) -> &str {
        &self.worker
    }

    /// When the core started it, as Unix time in microseconds.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether it was handed to a transport. It then counts as written, unless its outcome proves that it was not.
    pub fn handed_over(&self) -> bool {
        self.handed_over
    }
}

/// All attempts of one request. The record of a closed attempt stays, as an attempt's number is its position.
#[derive(Debug, Default)]
pub struct Attempts(Vec<Attempt>);

impl Attempts {
    /// Records a new open attempt and returns its number.
    pub fn start(&mut self, worker: String, started_at: Micros) -> usize {
        self.0.push(Attempt {
            worker,
            started_at,
            open: true,
            handed_over: false,
        });
        self.0.len() - 1
    }

    /// The attempt of this number, while it is open.
    pub fn open(&self, number: usize) -> Option<&Attempt> {
        self.0.get(number).filter(|attempt| attempt.open)
    }

    /// Records that the attempt was handed to a transport.
    pub fn mark_handed_over(&mut self, number: usize) {
        if let Some(attempt) = self.0.get_mut(number) {
            attempt.handed_over = true;
        }
    }

    /// Closes an open attempt; `None` if it is not open, so that each attempt ends only once.
    pub fn close(&mut self, number: usize) -> Option<&Attempt> {
        let attempt = self.0.get_mut(number).filter(|attempt| attempt.open)?;
        attempt.open = false;
        Some(attempt)
    }

    /// The number of attempts started so far.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no attempt has been started yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether any attempt is open.
    pub fn any_open(&self) -> bool {
        self.0.iter().any(|attempt| attempt.open)
    }
}
