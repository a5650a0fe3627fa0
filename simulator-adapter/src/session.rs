//! The batches of one run, and the front ends that it hosts.
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
    now: Micros,
    number: u64,
}

/// One hosted front end: its policy, and the names that its wire uses.
struct FrontEnd {
    controller: Controller,
    names: Names,
}

/// All that the adapter remembers.
#[derive(Default)]
pub(crate) struct Session {
    front_ends: BTreeMap<u64, FrontEnd>,
    batch: Option<Batch>,
    actions: Vec<Action>,
    /// What the batch's reply holds so far.
    reply: String,
}

impl Session {
    /// Takes one line. Returns the reply to a batch with the message that commits it.
    pub(crate) fn message(&mut self, line: &str) -> Result<Option<String>, MessageError> {
        let (name, fields) = split_message(line)?;
        match (name.as_str(), self.batch) {
            ("FRAME", None) => {
                let batch = in_message(&name, begin_batch(&fields))?;
                self.batch = Some(batch);
                Ok(None)
            }
            ("COMMIT", Some(batch)) => {
                encode::ready(&mut self.reply, batch.number);
                self.batch = None;
                Ok(Some(std::mem::take(&mut self.reply)))
            }
            (_, Some(batch)) => {
                in_message(&name, self.event(&name, &fields, batch.now))?;
                Ok(None)
            }
            (_, None) => Err(MessageError::OutsideBatch(name)),
        }
    }

    /// The input has ended.
    pub(crate) fn end(self) -> Result<(), RunError> {
        match self.batch {
            Some(batch) => Err(RunError::OpenBatch(batch.number)),
            None => Ok(()),
        }
    }

    fn event(&mut self, name: &str, fields: &Object, now: Micros) -> Result<(), FieldError> {
        let front_end = decode::whole(fields, "gateway")?;
        match name {
            "SPAWN" => return self.spawn(front_end, fields),
            "KILLED" => {
                self.front_ends.remove(&front_end);
                return Ok(());
            }
            _ => {}
        }
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

    fn spawn(&mut self, front_end: u64, fields: &Object) -> Result<(), FieldError> {
        let conf = nested_object(fields, "conf").ok_or(FieldError::NotObject("conf"))?;
        let settings = Settings::from_json(conf);
        let seed = decode::whole(fields, "salt")?;
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

fn begin_batch(fields: &Object) -> Result<Batch, FieldError> {
    Ok(Batch {
        now: decode::micros(fields, "moment")?,
        number: decode::whole(fields, "n")?,
    })
}

fn in_message<T>(name: &str, result: Result<T, FieldError>) -> Result<T, MessageError> {
    result.map_err(|source| MessageError::Field {
        message: name.to_owned(),
        source,
    })
}

/// A message is an object with its name as the only key.
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
