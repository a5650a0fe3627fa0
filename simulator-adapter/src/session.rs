//! The state of one run of the adapter: the open batch, and the front ends that it hosts.
use crate::decode::{self, Names};
use crate::encode;
use crate::error::{FieldError, MessageError, RunError};
use miniserde::json::{Object, Value};
use std::collections::BTreeMap;
use wrenseam_policy::json::{nested_object, parse};
use wrenseam_policy::{Action, Controller, Micros, Settings, ZoneNames};

/// The batch that is being read.
#[derive(Clone, Copy)]
struct Batch {
    /// Clock time of all its events.
    now: Micros,
    /// Its number in the protocol, which the reply repeats.
    number: u64,
}

/// One hosted front end: its policy, and the names in its messages.
struct FrontEnd {
    controller: Controller,
    names: Names,
}

/// The state of one run.
#[derive(Default)]
pub(crate) struct Session {
    /// The front ends by their number in the protocol.
    front_ends: BTreeMap<u64, FrontEnd>,
    /// `None` between two batches.
    batch: Option<Batch>,
    /// Reused buffer for the actions of one event.
    actions: Vec<Action>,
    /// The reply to the open batch so far.
    reply: String,
}

impl Session {
    /// Handles one line of the input. Returns the reply to a batch when the line commits it, else `None`.
    pub(crate) fn handle_line(&mut self, line: &str) -> Result<Option<String>, MessageError> {
        let (name, fields) = split_message(line)?;
        match (name.as_str(), self.batch) {
            ("FRAME", None) => {
                let batch = in_message(&name, decode_batch(&fields))?;
                self.batch = Some(batch);
                Ok(None)
            }
            ("COMMIT", Some(batch)) => {
                encode::ready(&mut self.reply, batch.number);
                self.batch = None;
                Ok(Some(std::mem::take(&mut self.reply)))
            }
            (_, Some(batch)) => {
                in_message(&name, self.handle_event(&name, &fields, batch.now))?;
                Ok(None)
            }
            (_, None) => Err(MessageError::OutsideBatch(name)),
        }
    }

    /// Ends the run at the end of the input; an error if a batch is still open.
    pub(crate) fn end(self) -> Result<(), RunError> {
        match self.batch {
            Some(batch) => Err(RunError::OpenBatch(batch.number)),
            None => Ok(()),
        }
    }

    /// Handles a message within a batch.
    fn handle_event(&mut self, name: &str, fields: &Object, now: Micros) -> Result<(), FieldError> {
        let front_end = decode::required_unsigned(fields, "gateway")?;
        match name {
            "SPAWN" => return self.spawn(front_end, fields),
            "KILLED" => {
                self.front_ends.remove(&front_end);
                return Ok(());
            }
            _ => {}
        }
        // Messages for an unknown front end, such as one that was killed, are ignored.
        let Some(hosted) = self.front_ends.get_mut(&front_end) else {
            return Ok(());
        };
        let Some(event) = decode::event(name, fields, &mut hosted.names)? else {
            return Ok(());
        };
        hosted.controller.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            encode::action(&mut self.reply, front_end, action);
        }
        Ok(())
    }

    /// Starts a front end, or restarts it with empty state.
    fn spawn(&mut self, front_end: u64, fields: &Object) -> Result<(), FieldError> {
        let conf = nested_object(fields, "conf").ok_or(FieldError::NotObject("conf"))?;
        let settings = Settings::from_json(conf);
        let seed = decode::required_unsigned(fields, "salt")?;
        let hosted = FrontEnd {
            controller: Controller::new(settings.clone(), seed),
            names: Names {
                zones: ZoneNames::new(&settings.zones),
                settings,
            },
        };
        self.front_ends.insert(front_end, hosted);
        Ok(())
    }
}

fn decode_batch(fields: &Object) -> Result<Batch, FieldError> {
    Ok(Batch {
        now: decode::required_duration(fields, "moment")?,
        number: decode::required_unsigned(fields, "n")?,
    })
}

/// Adds the name of the message to an error in one of its fields.
fn in_message<T>(name: &str, result: Result<T, FieldError>) -> Result<T, MessageError> {
    result.map_err(|source| MessageError::Field {
        message: name.to_owned(),
        source,
    })
}

/// Parses a message, which is an object with its name as the only key, into its name and its fields.
fn split_message(line: &str) -> Result<(String, Object), MessageError> {
    let Value::Object(outer) = parse(line)? else {
        return Err(MessageError::NotObject);
    };
    if outer.len() != 1 {
        return Err(MessageError::NotSingleKey);
    }
    match outer.into_iter().next() {
        Some((name, Value::Object(fields))) => Ok((name, fields)),
        _ => Err(MessageError::NoBody),
    }
}
