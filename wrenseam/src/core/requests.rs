//! Requests from their arrival to their one final answer.
use super::{Core, Counts, Open, TimerEvent};
use crate::model::{Answer, Client, Request, RequestEnd};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use wrenseam_policy::{Event, Idempotency, Micros};

impl Core {
    pub(super) fn request(&mut self, request: Request, client: Arc<dyn Client>, tag: u64) {
        let class = self.settings.class(&request.class);
        let tenant = self.settings.tenant(&request.tenant);
        let known = self.settings.classes.get(class);
        // Guards keyed work: without its key no worker could drop a repeat.
        let keyed = known.is_some_and(|c| c.idempotency == Idempotency::Keyed);
        let fault = match () {
            () if known.is_none() => Some("unknown class"),
            () if tenant.is_none() && !self.settings.tenants.is_empty() => Some("unknown tenant"),
            () if keyed && request.idempotency_key.is_none() => Some("keyed class without a key"),
            // Guards the one that is open: a worker would be asked for two bodies under one id.
            () if self.wire_ids.contains(&request.wire_id) => Some("a request of this id is open"),
            () => None,
        };
        if let Some(fault) = fault {
            note!("request {:016x}: failed, {fault}", request.wire_id);
            self.counters.ended(class, RequestEnd::Failed);
            return client.answer(tag, Answer::Failed);
        }
        let now = self.clock.now();
        if let Some(retry_after) = self.gate.as_mut().and_then(|g| g.sheds(now, class)) {
            // Shed in common with the fleet: answered at once, with when to come back.
            self.counters.ended(class, RequestEnd::Rejected);
            self.count(tenant).asked += 1;
            return client.answer(tag, Answer::Rejected { retry_after });
        }
        self.last += 1;
        let id = self.last;
        let left = self.left(now, &request);
        self.events.push_back(Event::Request {
            id,
            class,
            tenant,
            function: request.function,
            time_left: left,
            memory_mb: request.memory_mb,
            concurrency: request.concurrency,
            load_time: request.load_time,
            retry: request.is_retry,
        });
        self.by_client.insert((client.connection(), tag), id);
        self.wire_ids.insert(request.wire_id);
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        self.count(tenant).asked += 1;
        // The module ends each request in time; this guards the promise should it not.
        self.timers
            .set(now.saturating_add(left), TimerEvent::Request(id));
        let (request, answered, attempts) = (Arc::new(request), false, Vec::new());
        self.requests.insert(
            id,
            Open {
                request,
                client,
                tag,
                tenant,
                class,
                answered,
                attempts,
            },
        );
    }

    /// What is left of a client's wait, less what its answer may need. Guards against answers lost to a
    /// machine that stands still for some tens of milliseconds just before a client leaves.
    pub(super) fn left(&self, now: Micros, request: &Request) -> Micros {
        let past = now.saturating_sub(self.clock.at(request.received_at));
        request
            .timeout
            .saturating_sub(past + self.limits.margin(request.timeout))
    }

    pub(super) fn count(&mut self, tenant: Option<usize>) -> &mut Counts {
        let last = self.counts.len() - 1;
        &mut self.counts[tenant.unwrap_or(last).min(last)]
    }

    pub(super) fn withdrawn(&mut self, id: u64) {
        if self.close(id).is_some() {
            self.events.push_back(Event::RequestCancelled { id });
            self.decide();
            self.forget(id);
        }
    }

    /// Ends what is owed for a request; `None` if that was over already.
    pub(super) fn close(&mut self, id: u64) -> Option<(Arc<dyn Client>, u64, Option<usize>)> {
        let open = self.requests.get_mut(&id).filter(|o| !o.answered)?;
        open.answered = true;
        // What of it still waits to be written is for nobody.
        open.request.client_gone.store(true, Ordering::Release);
        let (client, tag, tenant) = (open.client.clone(), open.tag, open.tenant);
        self.wire_ids.remove(&open.request.wire_id);
        self.by_client.remove(&(client.connection(), tag));
        Some((client, tag, tenant))
    }

    /// The one final answer; a second one goes nowhere.
    pub(super) fn answer(&mut self, id: u64, answer: Answer) {
        let class = self.requests.get(&id).map_or(usize::MAX, |o| o.class);
        let Some((client, tag, tenant)) = self.close(id) else {
            return;
        };
        let counts = self.count(tenant);
        let how = match &answer {
            Answer::Served(_) => (counts.served += 1, RequestEnd::Completed).1,
            Answer::Rejected { .. } => (counts.refused += 1, RequestEnd::Rejected).1,
            Answer::Failed => (counts.failed += 1, RequestEnd::Failed).1,
        };
        self.counters.ended(class, how);
        client.answer(tag, answer);
    }

    /// Drops a request's record once nothing of it is open.
    pub(super) fn forget(&mut self, id: u64) {
        if self
            .requests
            .get(&id)
            .is_some_and(|o| o.answered && !o.attempts.iter().any(|a| a.open))
        {
            self.requests.remove(&id);
            self.shared.open.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
