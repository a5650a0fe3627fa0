//! The configuration of a front end process.
use super::watch_events::{WatchEvent, ZONES};
use super::{CLASS, FRONT_ENDS};
use std::net::SocketAddr;

/// Limit of file descriptors unless an experiment sets another.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;

/// The configuration of one front end process, as far as experiments vary it.
pub struct FrontEndOptions {
    /// The watch events that its configuration file contains, so that it starts with an endpoint list.
    pub known_events: Vec<WatchEvent>,
    /// Address of the discovery service; `None` runs without one.
    pub discovery: Option<SocketAddr>,
    /// Front ends that share the workers.
    pub front_ends: usize,
    /// Index of this front end among them, from 0.
    pub index: usize,
    /// Its limit of file descriptors.
    pub max_descriptors: usize,
    /// Content of its fleet configuration file; `None` runs without gossip.
    pub fleet: Option<String>,
    /// Seed of its random numbers.
    pub seed: u64,
}

impl Default for FrontEndOptions {
    fn default() -> Self {
        FrontEndOptions {
            known_events: Vec::new(),
            discovery: None,
            front_ends: FRONT_ENDS,
            index: 0,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
            fleet: None,
            seed: 1,
        }
    }
}

impl FrontEndOptions {
    /// The content of the configuration file.
    pub(super) fn config(&self) -> String {
        let rev = self.known_events.last().map_or(0, |event| event.revision);
        let notices: Vec<&str> = self
            .known_events
            .iter()
            .map(|event| event.body.as_str())
            .collect();
        let board = self
            .discovery
            .map_or(String::new(), |address| format!(r#""board":"{address}","#));
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
