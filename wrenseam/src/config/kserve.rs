//! The file of the KServe v2 front, whose path is in `WRENSEAM_KSERVE`.
use super::json_file::JsonFile;
use super::ConfigError;
use miniserde::json::Object;
use std::net::SocketAddr;
use std::path::Path;

/// The content of the KServe v2 front's file.
pub struct KserveConfig {
    /// Where v2 clients connect.
    pub listen: SocketAddr,
    /// Where the read-only administration API listens; `None`: there is none.
    pub admin: Option<SocketAddr>,
    /// The v2 workers, as an xDS discovery response of `ClusterLoadAssignment` resources; `None`: the file names none.
    pub endpoints: Option<Object>,
}

impl KserveConfig {
    pub(super) fn read(path: &str) -> Result<KserveConfig, ConfigError> {
        let file = JsonFile::read(path)?;
        Ok(KserveConfig {
            endpoints: endpoints(&file, path)?,
            listen: file.required_address("listen")?,
            admin: file.address("admin")?,
        })
    }
}

/// Reads the file of endpoints, whose path is relative to the folder of this file unless it is absolute.
fn endpoints(file: &JsonFile, path: &str) -> Result<Option<Object>, ConfigError> {
    let Some(name) = file.text("endpoints") else {
        return Ok(None);
    };
    let folder = Path::new(path).parent().unwrap_or(Path::new("."));
    let endpoints = JsonFile::read(&folder.join(name).to_string_lossy())?;
    Ok(Some(endpoints.into_fields()))
}
