//! The file of the KServe v2 front, which `WRENSEAM_KSERVE` names.
use super::json_file::JsonFile;
use super::ConfigError;
use miniserde::json::Object;
use std::net::SocketAddr;
use std::path::Path;

/// The KServe v2 front's file.
pub struct KserveConfig {
    /// Where v2 clients connect.
    pub listen: SocketAddr,
    /// Where the read-only administration API listens, if it is wanted.
    pub admin: Option<SocketAddr>,
    /// v2 workers, as an xDS discovery response of endpoints (ClusterLoadAssignment resources).
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

/// The file of endpoints lies beside this one, unless its path is absolute.
fn endpoints(file: &JsonFile, path: &str) -> Result<Option<Object>, ConfigError> {
    let Some(name) = file.text("endpoints") else {
        return Ok(None);
    };
    let folder = Path::new(path).parent().unwrap_or(Path::new("."));
    let endpoints = JsonFile::read(&folder.join(name).to_string_lossy())?;
    Ok(Some(endpoints.into_fields()))
}
