//! The attempts of one request, numbered from 0 in the order in which the policy asked for them.
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
    /// The worker that it goes to.
    pub fn worker(&self) -> &str {
        &self.worker
    }

    /// When the core started it.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Whether a transport accepted it. It then counts as written, unless its outcome proves that it was not.
    pub fn handed_over(&self) -> bool {
        self.handed_over
    }
}

/// All attempts of one request. An attempt is closed once; its record stays, as later ones are numbered after it.
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

    /// Notes that a transport accepted the attempt.
    pub fn mark_handed_over(&mut self, number: usize) {
        if let Some(attempt) = self.0.get_mut(number) {
            attempt.handed_over = true;
        }
    }

    /// Closes an open attempt. `None` if it is not open: a second end of an attempt changes nothing.
    pub fn close(&mut self, number: usize) -> Option<&Attempt> {
        let attempt = self.0.get_mut(number).filter(|attempt| attempt.open)?;
        attempt.open = false;
        Some(attempt)
    }

    /// How many attempts were started.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no attempt was started yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an attempt is open.
    pub fn any_open(&self) -> bool {
        self.0.iter().any(|attempt| attempt.open)
    }
}
