//! Parses the command lines of the admin endpoint.
use crate::model::AdminCommand;

/// Longest worker id, in bytes.
const MAX_ID_LENGTH: usize = 128;

/// Why a line is not a valid command. Operators' tools get the texts in replies, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// `exclude` or `include` was not followed by exactly one id of at most 128 bytes.
    #[error("one id is wanted")]
    ExpectedOneId,
    /// A command that takes no argument was followed by one.
    #[error("this call takes no argument")]
    UnexpectedArgument,
    /// The first word is not the name of a command.
    #[error("unknown call")]
    UnknownCommand,
    /// The line is empty or has only blanks.
    #[error("empty line")]
    EmptyLine,
}

impl AdminCommand {
    /// Parses a command line.
    ///
    /// # Errors
    /// The line is not a valid command.
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
