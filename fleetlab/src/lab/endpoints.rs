//! The list of workers that front ends read.
use super::Lab;

impl Lab {
    /// Writes the list of workers, each with its start where it has started anew.
    pub(super) fn list(&self) -> Result<(), String> {
        let localities: Vec<String> = self
            .links
            .iter()
            .zip(&self.started)
            .enumerate()
            .map(|(w, (a, started))| {
                let hall = if w % 2 == 0 { "hall-a" } else { "hall-b" };
                let started = started.map_or(0, |s| s.1);
                format!(
                    r#"{{"locality":{{"zone":"{hall}"}},"lb_endpoints":[{{"metadata":{{"filter_metadata":{{"wrenseam":{{"started_at_ms":{started}}}}}}},"endpoint":{{"address":{{"socket_address":{{"address":"127.0.0.1","port_value":{}}}}}}}}}]}}"#,
                    a.port()
                )
            })
            .collect();
        let text = format!(
            r#"{{"resources":[{{"cluster_name":"lab-workers","endpoints":[{}]}}]}}"#,
            localities.join(",")
        );
        std::fs::write(&self.endpoints, text).map_err(|e| e.to_string())
    }
}
