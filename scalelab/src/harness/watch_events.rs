//! Endpoint lists and watch events in the discovery service's JSON format.

/// Zones that endpoints are spread over.
pub(super) const ZONES: [&str; 7] = [
    "east-1", "east-2", "east-3", "east-4", "west-1", "west-2", "west-3",
];
/// Cells that endpoints are spread over.
const CELLS: u64 = 16;

/// A numbered event of the watch stream.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Its revision, which is its number in the stream.
    pub revision: u64,
    /// Its content, in JSON.
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

    /// Splits the list into events of at most `max_endpoints` endpoints each, with revisions from 1; the first event
    /// replaces the whole list.
    pub fn split(endpoints: &[String], max_endpoints: usize) -> Vec<WatchEvent> {
        let event =
            |(revision, part): (u64, &[String])| WatchEvent::new(revision, revision == 1, part);
        (1..)
            .zip(endpoints.chunks(max_endpoints))
            .map(event)
            .collect()
    }
}

/// An endpoint list entry in JSON. Its zone and cell follow from the id.
pub fn endpoint_json(id: u64, address: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{lifecycle}","weight":4,"startedAtMs":0}}"#,
        ZONES[id as usize % ZONES.len()],
        id % CELLS
    )
}

/// A loopback address at which nothing listens, for the worker at this position in the list.
pub fn unreachable_address(position: u64) -> String {
    format!(
        "127.{}.{}.{}:8443",
        1 + (position >> 16),
        (position >> 8) & 255,
        position & 255
    )
}

/// An endpoint list of workers at which nothing listens, for front ends that get no requests.
pub fn unreachable_endpoints(workers: u64) -> Vec<String> {
    (0..workers)
        .map(|worker| endpoint_json(worker, &unreachable_address(worker), "ready"))
        .collect()
}
