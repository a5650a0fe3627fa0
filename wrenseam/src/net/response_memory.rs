//! The memory that the responses of one client connection may hold until they are written.
use super::messages;
use super::writer::{queued_size, Response};
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The parts of the memory budget for one connection's responses.
pub(super) struct ResponseMemory {
    /// For responses to requests that the core answers.
    answers: MemoryBudget,
    /// For responses that the front makes itself.
    direct: MemoryBudget,
    /// Whether there was no room for a response that the front made itself: no further input is to be handled.
    is_input_refused: AtomicBool,
    /// Responses that the front made itself and that were queued without a reservation.
    unreserved: AtomicUsize,
    limits: Arc<Limits>,
}

impl ResponseMemory {
    /// The parts of `budget`, which is that of the process, for a connection without responses.
    pub(super) fn new(budget: &MemoryBudget, limits: &Arc<Limits>) -> Self {
        let left_free = limits.direct_response_bytes();
        ResponseMemory {
            answers: budget.part_leaving(limits.memory_budget_bytes, left_free),
            direct: budget.part(limits.max_unsent_bytes),
            is_input_refused: AtomicBool::default(),
            unreserved: AtomicUsize::default(),
            limits: limits.clone(),
        }
    }

    /// Makes room for a response that the front made itself. If there is none, refuses further input; a few short
    /// responses are sent all the same, as what was read before is answered. `None`: it is not sent.
    pub(super) fn fit_direct(&self, bytes: Vec<u8>) -> Option<Response> {
        let reserved = self.reserve_direct(queued_size(&bytes));
        if reserved.is_none() {
            self.is_input_refused.store(true, Ordering::Release);
            if !self.may_exceed_budget(bytes.len()) {
                return None;
            }
        }
        Some(Response {
            bytes,
            _reserved: reserved,
        })
    }

    /// Whether no further input is to be handled.
    pub(super) fn is_input_refused(&self) -> bool {
        self.is_input_refused.load(Ordering::Acquire)
    }

    /// Reserves memory for a response that the front made itself. One may be longer than all of them may be together, as
    /// the state of many workers is, if no other is unsent.
    fn reserve_direct(&self, size: usize) -> Option<MemoryReservation> {
        if size > self.limits.max_unsent_bytes && self.direct.reserved() == 0 {
            return self.answers.reserve_share(size);
        }
        self.direct.reserve_share(size)
    }

    /// Whether a response of this length may be queued although there is no room for it.
    fn may_exceed_budget(&self, response_bytes: usize) -> bool {
        response_bytes <= self.limits.short_response_bytes
            && self.unreserved.fetch_add(1, Ordering::Relaxed)
                < self.limits.max_requests_per_connection
    }

    /// Makes room for the response to a request that the core answered, `reserved` being what the request has reserved for a
    /// short one. If there is none, `failure` gives a short response in its place.
    pub(super) fn fit_answer(
        &self,
        bytes: Vec<u8>,
        reserved: MemoryReservation,
        failure: impl FnOnce() -> Vec<u8>,
    ) -> Response {
        match self.reserve_answer(queued_size(&bytes), reserved) {
            Ok(reserved) => Response {
                bytes,
                _reserved: Some(reserved),
            },
            Err(reserved) => {
                let unsent = self.answers.reserved();
                log_limited!("{}", messages::answer_without_memory(bytes.len(), unsent));
                Response {
                    bytes: failure(),
                    _reserved: Some(reserved),
                }
            }
        }
    }

    /// Reserves memory for the response to a request, or gives back what the request has reserved.
    fn reserve_answer(
        &self,
        size: usize,
        reserved: MemoryReservation,
    ) -> Result<MemoryReservation, MemoryReservation> {
        if size <= reserved.bytes() {
            return Ok(reserved);
        }
        self.answers.reserve_share(size).ok_or(reserved)
    }
}
