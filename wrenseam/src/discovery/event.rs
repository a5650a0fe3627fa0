//! The JSON form of the notice board's events and of the instances in them.
use crate::model::{Endpoint, TransportProtocol};
use miniserde::json::{Object, Value};
use wrenseam_policy::json::{flag, object, part, span, text, whole};
use wrenseam_policy::WorkerState;

/// What an event of the board tells.
#[derive(Debug, Default)]
pub struct Told {
    /// Whether it is the whole list.
    pub full: bool,
    /// The members it names that can be read.
    pub members: Vec<Endpoint>,
    /// What is wrong with the others.
    pub faults: Vec<String>,
}

/// One event of the board. An instance that cannot be read spoils none of the others.
///
/// # Errors
/// It holds no list of instances at all.
pub fn instances(event: &Object) -> Result<Told, String> {
    let pool = part(event, "pool").ok_or("no 'pool'")?;
    let mut told = Told {
        full: flag(pool, "reset"),
        ..Told::default()
    };
    match pool.get("instances") {
        Some(Value::Array(items)) => {
            for item in items {
                match object(item)
                    .ok_or_else(|| "an instance is no object".to_owned())
                    .and_then(instance)
                {
                    Ok(member) => told.members.push(member),
                    Err(why) => told.faults.push(why),
                }
            }
        }
        _ => told.faults.push("no list of 'instances'".to_owned()),
    }
    Ok(told)
}

/// One instance of the board's form, as a member.
pub fn instance(fields: &Object) -> Result<Endpoint, String> {
    let word = |key: &str| text(fields, key).ok_or_else(|| format!("an instance without '{key}'"));
    let (id, address) = (word("instanceId")?.to_owned(), word("hostPort")?);
    Ok(Endpoint {
        address: address
            .parse()
            .map_err(|_| format!("{id}: address {address}"))?,
        state: match word("lifecycle")? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            "gone" => WorkerState::Gone,
            other => return Err(format!("{id}: state {other}")),
        },
        started_at: span(fields, "startedAtMs"),
        zone: text(fields, "zone").unwrap_or_default().to_owned(),
        kind: text(fields, "machineType").unwrap_or_default().to_owned(),
        cell: whole(fields, "cell"),
        protocol: TransportProtocol::Frames,
        id,
    })
}
