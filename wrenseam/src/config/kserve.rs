//! The file of the KServe v2 front.
use super::file::{address, file, Read};
use miniserde::json::Object;
use std::net::SocketAddr;
use wrenseam_policy::json::text;

/// The KServe v2 front's file.
pub struct Kserve {
    /// Where v2 clients connect.
    pub listen: SocketAddr,
    /// Where the read-only administration API listens, if it is wanted.
    pub admin: Option<SocketAddr>,
    /// v2 workers, as an xDS discovery response of endpoints (ClusterLoadAssignment resources).
    pub endpoints: Option<Object>,
}

impl Kserve {
    pub(super) fn read(path: &str) -> Read<Kserve> {
        let fields = file(path)?;
        let endpoints = match text(&fields, "endpoints") {
            Some(beside) => {
                let folder = std::path::Path::new(path)
                    .parent()
                    .unwrap_or(std::path::Path::new("."));
                Some(file(&folder.join(beside).to_string_lossy())?)
            }
            None => None,
        };
        let listen = address(&fields, "listen")?.ok_or(format!("{path}: no 'listen'"))?;
        Ok(Kserve {
            listen,
            admin: address(&fields, "admin")?,
            endpoints,
        })
    }
}
