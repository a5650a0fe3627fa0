//! Replies as callers read them.
use super::CommandError;
use crate::model::AdminReply;

/// Why a command is not carried out. Callers read these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The line names no command.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
    /// The core does not answer in time; it may still carry the command out.
    #[error("busy")]
    Busy,
    /// The core has ended, and the process with it.
    #[error("the core is ending")]
    CoreEnded,
}

/// The bytes that answer a command.
pub fn render(reply: &Result<AdminReply, AdminError>) -> String {
    match reply {
        Ok(AdminReply::Ready) => "YES ready\n".to_owned(),
        Ok(AdminReply::DrainStarted) => "YES draining\n".to_owned(),
        Ok(AdminReply::NotReadyDraining) => "NO draining\n".to_owned(),
        Ok(AdminReply::NotReadyStarting) => "NO starting\n".to_owned(),
        Ok(AdminReply::Excluded(id)) => format!("YES excluded {id}\n"),
        Ok(AdminReply::Included(id)) => format!("YES included {id}\n"),
        Ok(AdminReply::UnknownWorker(id)) => format!("NO unknown {id}\n"),
        Ok(AdminReply::Telemetry(text)) => text.clone(),
        Err(error) => format!("NO {error}\n"),
    }
}
