//! The configuration files of a program between stand-in workers and discovery services.
use super::program::{write_file, POLICY_SETTINGS};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Workers of a test: the first half in one zone, the second in the other.
pub(crate) const WORKERS: usize = 4;
const ZONES: [&str; 2] = ["hall-a", "hall-b"];
/// Stands in the configuration where the address of a discovery service is to come.
const DISCOVERY_PLACEHOLDER: &str = "BOARD";

/// The program's configuration file, in which the discovery service can be exchanged.
pub(crate) struct ConfigFile {
    pub(crate) path: PathBuf,
    template: String,
}

impl ConfigFile {
    /// Writes the file, with the address of a discovery service in the template's place for it.
    pub(crate) fn create(folder: &Path, template: String, discovery: SocketAddr) -> ConfigFile {
        let config = ConfigFile {
            path: folder.join("config.json"),
            template,
        };
        config.write(discovery);
        config
    }

    /// Writes the file anew, with the address of another discovery service.
    pub(crate) fn write(&self, discovery: SocketAddr) {
        let text = self
            .template
            .replace(DISCOVERY_PLACEHOLDER, &discovery.to_string());
        write_file(self.path.clone(), &text);
    }

    /// Leaves a file that is no JSON.
    pub(crate) fn corrupt(&self) {
        write_file(self.path.clone(), "{");
    }
}

/// The zone of a worker, as an index of `ZONES`.
pub(crate) fn zone_index(worker: usize) -> usize {
    worker * ZONES.len() / WORKERS
}

/// The workers as a discovery service lists them.
pub(crate) fn instances(addresses: &[SocketAddr]) -> String {
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

/// The workers as a file of v2 endpoints lists them.
pub(crate) fn endpoints(addresses: &[SocketAddr]) -> String {
    let locality = |(worker, address): (usize, &SocketAddr)| {
        let (zone, port) = (ZONES[zone_index(worker)], address.port());
        format!(
            r#"{{"locality":{{"zone":"{zone}"}},"lb_endpoints":[{{"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{port}}}}}}}}}]}}"#
        )
    };
    let localities: Vec<String> = addresses.iter().enumerate().map(locality).collect();
    localities.join(",")
}

/// The program's configuration, with a place for the address of a discovery service.
pub(crate) fn config_template(instances: &str) -> String {
    format!(
        r#"{{"name":"t","seed":"2a","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":256}},"settings":{POLICY_SETTINGS},
                "board":"{DISCOVERY_PLACEHOLDER}","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"reset":true,"instances":[{instances}]}}}}]}}}}"#
    )
}

/// A text in which each first text, which must be there, is replaced once by the second.
pub(crate) fn changed(text: String, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text, |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    })
}

/// Writes the configuration of the v2 front and the endpoints that it names; the configuration's path.
pub(crate) fn write_kserve_files(folder: &Path, endpoints: &str) -> PathBuf {
    let resources =
        format!(r#"{{"resources":[{{"cluster_name":"tile-workers","endpoints":[{endpoints}]}}]}}"#);
    write_file(folder.join("endpoints.json"), &resources);
    let config = r#"{"listen":"127.0.0.1:0","admin":"127.0.0.1:0","endpoints":"endpoints.json"}"#;
    write_file(folder.join("kserve.json"), config)
}
