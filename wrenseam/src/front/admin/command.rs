//! The lines that name a command.
use crate::model::AdminCommand;

/// Bytes of a worker's id at the most.
const MAX_ID_LENGTH: usize = 128;

/// Why a line names no command. Callers read these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// `exclude` and `include` take one id.
    #[error("one id is wanted")]
    ExpectedOneId,
    /// The other commands take no argument.
    #[error("this call takes no argument")]
    UnexpectedArgument,
    /// There is no such command.
    #[error("unknown call")]
    UnknownCommand,
    /// The line has no words.
    #[error("empty line")]
    EmptyLine,
}

impl AdminCommand {
    /// The command that a line names.
    ///
    /// # Errors
    /// The line names none.
    pub fn parse(line: &str) -> Result<AdminCommand, CommandError> {
        let mut words = line.split_ascii_whitespace();
        let verb = words.next().ok_or(CommandError::EmptyLine)?;
        let arguments: Vec<&str> = words.take(2).collect();
        match verb {
            "readyz" => without_argument(&arguments, AdminCommand::Readyz),
            "telemetry" => without_argument(&arguments, AdminCommand::Telemetry),
            "evacuate" => without_argument(&arguments, AdminCommand::Evacuate),
            "activate" => without_argument(&arguments, AdminCommand::Activate),
            "exclude" => worker_id(&arguments).map(AdminCommand::Exclude),
            "include" => worker_id(&arguments).map(AdminCommand::Include),
            _ => Err(CommandError::UnknownCommand),
        }
    }
}

fn without_argument(
    arguments: &[&str],
    command: AdminCommand,
) -> Result<AdminCommand, CommandError> {
    if !arguments.is_empty() {
        return Err(CommandError::UnexpectedArgument);
    }
    Ok(command)
}

fn worker_id(arguments: &[&str]) -> Result<String, CommandError> {
    match arguments {
        [id] if id.len() <= MAX_ID_LENGTH => Ok((*id).to_owned()),
        _ => Err(CommandError::ExpectedOneId),
    }
}
