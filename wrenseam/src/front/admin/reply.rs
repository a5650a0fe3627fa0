//! The replies of the admin endpoint as text.
use super::CommandError;
use crate::model::AdminReply;

/// Why a command is answered `NO`. Operators' tools get the texts in replies, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The line is not a valid command.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
    /// The core has not replied in time. It may still execute the command.
    #[error("busy")]
    Busy,
    /// The core has ended, because the process is exiting.
    #[error("the core is ending")]
    CoreEnded,
}

/// The text of the reply, with the line end.
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
