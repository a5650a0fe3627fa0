//! What one front end is told at its start.
use super::events::ZONES;
use super::{CLASS, FRONTS};
use std::net::SocketAddr;

/// What one front end is told at its start.
pub struct Told {
    /// The events of the list that stand in its configuration, and the number of the last.
    pub known: (u64, Vec<String>),
    /// The notice board.
    pub board: Option<SocketAddr>,
    /// How many front ends share the workers, and which this is.
    pub fronts: usize,
    pub index: usize,
    /// Its limit of descriptors.
    pub sockets: usize,
    /// The whole of the fleet's file, where it is on.
    pub fleet: Option<String>,
    pub seed: u64,
}

impl Default for Told {
    fn default() -> Self {
        let (known, board, fleet) = ((0, Vec::new()), None, None);
        Told {
            known,
            board,
            fronts: FRONTS,
            index: 0,
            sockets: 1024,
            fleet,
            seed: 1,
        }
    }
}

impl Told {
    pub(super) fn config(&self) -> String {
        let (rev, notices) = &self.known;
        let board = self
            .board
            .map_or(String::new(), |b| format!(r#""board":"{b}","#));
        format!(
            r#"{{"name":"n{index}","listen":"127.0.0.1:0","seed":"{seed:x}",{board}"limits":{{"memory_mb":192,"sockets":{sockets}}},
            "known":{{"rev":{rev},"notices":[{notices}]}},
            "settings":{{"balancers":{fronts},"index":{index},"classes":[{{"effect":"retryable","goal-time":400,"name":"{CLASS}","worth":1}}],
            "failure-domains":["{zones}"],"flavors":["std"],"tenants":[{{"name":"acme","portion":1,"quota-per-s":100000}}],
            "family-info":{{"free-loads":4,"keep":8000,"load-span":5000,"loads-per-request":0.15,"load-wait":4000,"machine-mb":[30000],"orders":true,"tells-warm":true,"tells-crowd":true,"when-absent":"load"}},
            "limits":{{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":1000,"streams-per-conn":100}},
            "rules":{{"cold-from":0.2,"fall":1000,"fall-multiple":2,"warm-within":17000}}}}}}"#,
            index = self.index,
            seed = self.seed,
            sockets = self.sockets,
            notices = notices.join(","),
            fronts = self.fronts,
            zones = ZONES.join("\",\"")
        )
    }
}
