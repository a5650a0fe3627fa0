//! What one front end is told at its start.
use super::watch_events::ZONES;
use super::{CLASS, FRONT_ENDS};
use std::net::SocketAddr;

/// What one front end is told at its start.
pub struct FrontEndOptions {
    /// The events of the list that stand in its configuration, and the number of the last.
    pub known: (u64, Vec<String>),
    /// The notice discovery.
    pub discovery: Option<SocketAddr>,
    /// How many front ends share the workers, and which this is.
    pub front_ends: usize,
    pub index: usize,
    /// Its limit of descriptors.
    pub max_descriptors: usize,
    /// The whole of the fleet's file, where it is on.
    pub fleet: Option<String>,
    pub seed: u64,
}

impl Default for FrontEndOptions {
    fn default() -> Self {
        let (known, discovery, fleet) = ((0, Vec::new()), None, None);
        FrontEndOptions {
            known,
            discovery,
            front_ends: FRONT_ENDS,
            index: 0,
            max_descriptors: 1024,
            fleet,
            seed: 1,
        }
    }
}

impl FrontEndOptions {
    pub(super) fn config(&self) -> String {
        let (rev, notices) = &self.known;
        let board = self
            .discovery
            .map_or(String::new(), |b| format!(r#""board":"{b}","#));
        format!(
            r#"{{"name":"n{index}","listen":"127.0.0.1:0","seed":"{seed:x}",{board}"limits":{{"memory_mb":192,"sockets":{sockets}}},
            "known":{{"rev":{rev},"notices":[{notices}]}},
            "settings":{{"balancers":{front_ends},"index":{index},"classes":[{{"effect":"retryable","goal-time":400,"name":"{CLASS}","worth":1}}],
            "failure-domains":["{zones}"],"flavors":["std"],"tenants":[{{"name":"acme","portion":1,"quota-per-s":100000}}],
            "family-info":{{"free-loads":4,"keep":8000,"load-span":5000,"loads-per-request":0.15,"load-wait":4000,"machine-mb":[30000],"orders":true,"tells-warm":true,"tells-crowd":true,"when-absent":"load"}},
            "limits":{{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":1000,"streams-per-conn":100}},
            "rules":{{"cold-from":0.2,"fall":1000,"fall-multiple":2,"warm-within":17000}}}}}}"#,
            index = self.index,
            seed = self.seed,
            sockets = self.max_descriptors,
            notices = notices.join(","),
            front_ends = self.front_ends,
            zones = ZONES.join("\",\"")
        )
    }
}
