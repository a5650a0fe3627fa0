//! Sends and ends load orders, which order a worker to load replicas of a function.
use super::log_lines::LogLine;
use super::tables::LoadOrder;
use super::timers::TimerEvent;
use super::Core;
use wrenseam_policy::{Event, FunctionId, Outcome, WorkerId};

impl Core {
    /// Orders a worker to hold at least this many replicas of a function. 0 is a poll, which only asks how many it
    /// holds.
    ///
    /// An order to load is sent only to a worker that is still ready. A poll is also sent to a draining worker.
    pub(super) fn order_load(&mut self, worker: WorkerId, function: FunctionId, replicas: u32) {
        let now = self.clock.now();
        let number = self.next_number();
        let has_connection = self.ensure_connection_available(&worker, None);
        let start_deadline = match replicas {
            0 => None,
            _ => self.lease_end(&worker),
        };
        let transport = match replicas {
            0 => self.workers.transport(&worker),
            _ => self.workers.ready_transport(&worker),
        };
        // The end of an order that cannot be sent also goes through the core's queue, like a worker's response.
        match transport {
            Some(transport) if has_connection => {
                transport.order(number, function, replicas, start_deadline);
                if replicas > 0 {
                    self.leases.used(&worker, now);
                }
            }
            Some(_) => self.reports.load_order_ended(number, Outcome::Rejected, 0),
            None => self
                .reports
                .load_order_ended(number, Outcome::ConnectFailed, 0),
        }
        let order = LoadOrder {
            worker,
            function,
            replicas,
            ordered_at: now,
        };
        self.load_orders.insert(number, order);
        self.timers.set(
            now + self.limits.load_order_timeout,
            TimerEvent::LoadOrderTimeout(number),
        );
    }

    /// Orders a worker to unload its idle replicas of a function. Without a connection for it the order is dropped: the
    /// worker unloads idle replicas by itself after a while.
    pub(super) fn order_unload(&mut self, worker: &str, function: FunctionId) {
        if self.ensure_connection_available(worker, None) {
            self.workers.unload(worker, function);
        }
    }

    /// Ends an order that got no response in time. Its connection stops waiting for one, as it would otherwise never
    /// count as idle.
    pub(super) fn time_out_load_order(&mut self, number: u64) {
        if let Some(order) = self.load_orders.get(number) {
            self.workers.abandon_load_order(&order.worker, number);
        }
        self.end_load_order(number, Outcome::Timeout, 0);
    }

    /// Ends an order and queues the end as an event for the policy. An order that has already ended is ignored.
    pub(super) fn end_load_order(&mut self, number: u64, outcome: Outcome, replicas: u32) {
        let Some(order) = self.load_orders.remove(number) else {
            return;
        };
        let elapsed = self.clock.now().saturating_sub(order.ordered_at);
        if outcome != Outcome::Ok {
            let line = LogLine::LoadOrderFailed {
                function: order.function,
                worker: &order.worker,
                outcome,
                elapsed,
            };
            log_limited!("{line}");
        }
        // An answered poll shows nothing about readiness, as a draining worker answers polls too.
        if order.replicas > 0 || outcome != Outcome::Ok {
            self.update_lease(&order.worker, order.ordered_at, outcome);
        }
        self.events.push_back(Event::LoadOrderEnded {
            worker: order.worker,
            function: order.function,
            replicas,
            outcome,
            elapsed,
        });
    }
}
