//! Events of the notice discovery.

pub(super) const ZONES: [&str; 7] = [
    "east-1", "east-2", "east-3", "east-4", "west-1", "west-2", "west-3",
];

/// An endpoint_json as the notice board tells it.
pub fn endpoint_json(id: u64, address: &str, state: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"{}","machineType":"std","cell":{},"lifecycle":"{state}","weight":4,"startedAtMs":0}}"#,
        ZONES[id as usize % ZONES.len()],
        id % 16
    )
}

/// An event of the notice discovery.
pub fn watch_event(rev: u64, whole: bool, instances: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"pool":{{"generation":7,"reset":{whole},"instances":[{}]}}}}"#,
        instances.join(",")
    )
}

/// A list of workers at which nobody listens, for front ends that are not called.
pub fn unreachable_endpoints(workers: u64) -> Vec<String> {
    (0..workers)
        .map(|w| {
            endpoint_json(
                w,
                &format!("127.{}.{}.{}:8443", 1 + (w >> 16), (w >> 8) & 255, w & 255),
                "ready",
            )
        })
        .collect()
}

/// The list in events of at most `part` instances, numbered from 1.
pub fn watch_events(list: &[String], part: usize) -> Vec<(u64, String)> {
    let number = |n: usize| n as u64 + 1;
    list.chunks(part)
        .enumerate()
        .map(|(n, some)| (number(n), watch_event(number(n), n == 0, some)))
        .collect()
}
