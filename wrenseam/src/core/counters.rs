//! What the front end reports at the door's `telemetry`: counts from 0 in this process, and gauges read when
//! asked. No I/O; the core counts, this module keeps and writes the lines.
use crate::model::RequestEnd;
use std::fmt::Write;

/// The counts of one process.
#[derive(Clone, Debug, Default)]
pub struct RequestCounters {
    /// By class: completed, rejected, failed.
    classes: Vec<[u64; 3]>,
    /// Attempts written whole to workers.
    upstream: u64,
}

/// The gauges, as they stand when asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not yet answered.
    pub pending: usize,
    /// Workers in the list and not gone.
    pub members: usize,
    /// Of those, the ones that the front end avoids now, by hand or by choice.
    pub unavailable: usize,
}

impl RequestCounters {
    /// Counts for so many classes.
    pub fn new(classes: usize) -> Self {
        RequestCounters {
            classes: vec![[0; 3]; classes],
            upstream: 0,
        }
    }

    /// A request of this class ended so; classes that are not known are not counted.
    pub fn ended(&mut self, class: usize, how: RequestEnd) {
        if let Some(counts) = self.classes.get_mut(class) {
            counts[how as usize] += 1;
        }
    }

    /// An attempt went to a worker's transport.
    pub fn sent(&mut self) {
        self.upstream += 1;
    }

    /// An attempt that was counted as sent was not wholly written after all.
    pub fn unsent(&mut self) {
        self.upstream = self.upstream.saturating_sub(1);
    }

    /// The answer to `telemetry`: one figure a line, then `END`.
    pub fn text(&self, names: &[String], gauges: Gauges) -> String {
        let mut out = String::new();
        for (name, counts) in names.iter().zip(&self.classes) {
            for (what, count) in ["completed", "rejected", "failed"].iter().zip(counts) {
                let _ = writeln!(out, "app.downstream_requests.{name}.{what}:{count}|c");
            }
        }
        let _ = writeln!(out, "app.upstream_requests:{}|c", self.upstream);
        let _ = writeln!(out, "app.pending:{}|g", gauges.pending);
        let _ = writeln!(out, "app.members:{}|g", gauges.members);
        let _ = writeln!(out, "app.members_unavailable:{}|g", gauges.unavailable);
        out.push_str("END\n");
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_each_class_and_writes_them_in_lines() {
        let mut counters = RequestCounters::new(2);
        counters.ended(0, RequestEnd::Completed);
        counters.ended(0, RequestEnd::Completed);
        counters.ended(1, RequestEnd::Rejected);
        counters.ended(1, RequestEnd::Failed);
        counters.ended(7, RequestEnd::Failed); // unknown: not counted
        counters.sent();
        counters.sent();
        counters.unsent();
        let names = ["render".to_owned(), "order".to_owned()];
        let text = counters.text(
            &names,
            Gauges {
                pending: 3,
                members: 6,
                unavailable: 1,
            },
        );
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(
            lines,
            [
                "app.downstream_requests.render.completed:2|c",
                "app.downstream_requests.render.rejected:0|c",
                "app.downstream_requests.render.failed:0|c",
                "app.downstream_requests.order.completed:0|c",
                "app.downstream_requests.order.rejected:1|c",
                "app.downstream_requests.order.failed:1|c",
                "app.upstream_requests:1|c",
                "app.pending:3|g",
                "app.members:6|g",
                "app.members_unavailable:1|g",
                "END",
            ]
        );
    }
}
