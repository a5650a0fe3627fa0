//! Endpoint lists and watch events, as the discovery service writes them.

/// Zones that endpoints are spread over.
pub(super) const ZONES: [&str; 7] = [
    "east-1", "east-2", "east-3", "east-4", "west-1", "west-2", "west-3",
];
/// Cells that endpoints are spread over.
const CELLS: u64 = 16;

/// A numbered event of the watch stream.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Its number in the stream.
    pub revision: u64,
    /// Its JSON text.
    pub body: String,
}

impl WatchEvent {
    /// An event that replaces the whole endpoint list.
    pub fn complete(revision: u64, endpoints: &[String]) -> WatchEvent {
        WatchEvent::new(revision, true, endpoints)
    }

    /// An event that changes these endpoints.
    pub fn change(revision: u64, endpoints: &[String]) -> WatchEvent {
        WatchEvent::new(revision, false, endpoints)
    }

    fn new(revision: u64, complete: bool, endpoints: &[String]) -> WatchEvent {
        let endpoints = endpoints.join(",");
        let body = format!(
            r#"{{"rev":{revision},"pool":{{"generation":7,"reset":{complete},"instances":[{endpoints}]}}}}"#
        );
        WatchEvent { revision, body }
    }

    /// The list in events of at most `max_endpoints` each, numbered from 1; the first replaces the whole list.
    pub fn split(endpoints: &[String], max_endpoints: usize) -> Vec<WatchEvent> {
        let event =
            |(revision, part): (u64, &[String])| WatchEvent::new(revision, revision == 1, part);
        (1..)
            .zip(endpoints.chunks(max_endpoints))
            .map(event)
            .collect()
    }
}

/// An endpoint, as the discovery service writes it.
pub fn endpoint_json(id: u64, address: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{lifecycle}","weight":4,"startedAtMs":0}}"#,
        ZONES[id as usize % ZONES.len()],
        id % CELLS
    )
}

/// The address of a worker at which nobody listens, by its position in the list.
pub fn unreachable_address(position: u64) -> String {
    format!(
        "127.{}.{}.{}:8443",
        1 + (position >> 16),
        (position >> 8) & 255,
        position & 255
    )
}

/// Endpoints at which nobody listens, for front ends that are not called.
pub fn unreachable_endpoints(workers: u64) -> Vec<String> {
    (0..workers)
        .map(|worker| endpoint_json(worker, &unreachable_address(worker), "ready"))
        .collect()
}
