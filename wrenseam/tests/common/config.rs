//! Configuration files of a front end with stand-in workers and discovery services.
use super::program::{write_file, POLICY_SETTINGS};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Number of workers of a test: the first half is in the first zone, the second half in the second zone.
pub(crate) const WORKER_COUNT: usize = 4;
/// Names of the zones.
const ZONES: [&str; 2] = ["hall-a", "hall-b"];
/// Placeholder in the configuration template for the address of the discovery service.
const DISCOVERY_PLACEHOLDER: &str = "BOARD";

/// The front end's configuration file. It can be rewritten with the address of another discovery service.
pub(crate) struct ConfigFile {
    pub(crate) path: PathBuf,
    /// Text of the file, with `DISCOVERY_PLACEHOLDER` for the discovery service's address.
    template: String,
}

impl ConfigFile {
    /// Writes the template into a new file in `folder`, with `discovery` in place of its placeholder.
    pub(crate) fn create(folder: &Path, template: String, discovery: SocketAddr) -> ConfigFile {
        let config = ConfigFile {
            path: folder.join("config.json"),
            template,
        };
        config.write(discovery);
        config
    }

    /// Overwrites the file with the template, with `discovery` in place of its placeholder.
    pub(crate) fn write(&self, discovery: SocketAddr) {
        let text = self
            .template
            .replace(DISCOVERY_PLACEHOLDER, &discovery.to_string());
        write_file(self.path.clone(), &text);
    }

    /// Overwrites the file with invalid JSON.
    pub(crate) fn corrupt(&self) {
        write_file(self.path.clone(), "{");
    }
}

/// Index into `ZONES` of a worker's zone.
pub(crate) fn zone_index(worker: usize) -> usize {
    worker * ZONES.len() / WORKER_COUNT
}

/// The workers in the JSON format of the discovery service, separated by commas.
pub(crate) fn instances_json(addresses: &[SocketAddr]) -> String {
    let instance = |(worker, address): (usize, &SocketAddr)| {
        let cell = zone_index(worker);
        let zone = ZONES[cell];
        format!(
            r#"{{"instanceId":"w{worker}","hostPort":"{address}","zone":"{zone}","machineType":"std","cell":{cell},"lifecycle":"ready","startedAtMs":0}}"#
        )
    };
    let instances: Vec<String> = addresses.iter().enumerate().map(instance).collect();
    instances.join(",")
}

/// The workers in the JSON format of the KServe v2 endpoint list, separated by commas.
pub(crate) fn endpoints_json(addresses: &[SocketAddr]) -> String {
    let locality = |(worker, address): (usize, &SocketAddr)| {
        let (zone, port) = (ZONES[zone_index(worker)], address.port());
        format!(
            r#"{{"locality":{{"zone":"{zone}"}},"lb_endpoints":[{{"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{port}}}}}}}}}]}}"#
        )
    };
    let localities: Vec<String> = addresses.iter().enumerate().map(locality).collect();
    localities.join(",")
}

/// Text of the front end's configuration, with `DISCOVERY_PLACEHOLDER` for the discovery service's address. `instances`
/// are the workers known at the start, as `instances_json` gives them.
pub(crate) fn config_template(instances: &str) -> String {
    format!(
        r#"{{"name":"t","seed":"2a","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":256}},"settings":{POLICY_SETTINGS},
                "board":"{DISCOVERY_PLACEHOLDER}","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"reset":true,"instances":[{instances}]}}}}]}}}}"#
    )
}

/// Replaces the first occurrence of each `from` by its `to`; fails the test if a `from` does not occur.
pub(crate) fn replace_each(text: String, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "not in the configuration: {from}");
        text.replacen(from, to, 1)
    })
}

/// Writes the configuration of the KServe v2 front and the endpoint list that it names. Returns the path of the
/// configuration.
pub(crate) fn write_kserve_files(folder: &Path, endpoints: &str) -> PathBuf {
    let resources =
        format!(r#"{{"resources":[{{"cluster_name":"tile-workers","endpoints":[{endpoints}]}}]}}"#);
    write_file(folder.join("endpoints.json"), &resources);
    let config = r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0","endpoints":"endpoints.json"}"#;
    write_file(folder.join("kserve.json"), config)
}
