//! Who the members are, over all sources: the one place that decides when a worker is new, draining, gone or back
//! with a new process. Snapshots and events come in, changes go out, each once. No sockets and no clock.
use crate::model::{Endpoint, TransportProtocol};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use wrenseam_policy::{Micros, WorkerState};

/// What a change asks of whoever holds the connections to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// It is new, or stands elsewhere or speaks otherwise: what is open to the one before stays there.
    Reach,
    /// The process reached so far takes nothing new: it drains, is gone, or was started anew.
    Retire,
    /// What is open there stays in use.
    Keep,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The member as it stands now.
    pub member: Endpoint,
    /// What to do about its connections.
    pub duty: Duty,
}

/// The members of all sources, as told, and the ids that operators excluded.
#[derive(Default)]
pub struct Membership {
    told: BTreeMap<String, Endpoint>,
    /// What the core was last shown of each member: as told, or draining while excluded.
    shown: BTreeMap<String, Endpoint>,
    excluded: BTreeSet<String>,
}

/// An id that no list has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

impl Membership {
    /// Takes a source's news; `full` lists replace what it told before, so whoever is not in one is gone. What
    /// has been told already changes nothing: news may be written twice, or come again in a list.
    pub fn take(
        &mut self,
        source: TransportProtocol,
        full: bool,
        told: Vec<Endpoint>,
    ) -> Vec<Change> {
        let gone = |m: &Endpoint| Endpoint {
            state: WorkerState::Gone,
            ..m.clone()
        };
        let mut news = Vec::new();
        // Guards a new worker from what is meant for the one that stood at its address before: the list may
        // tell of that one's end later than of the new one, and calls would go by the old one's account.
        let new = |m: &&Endpoint| m.state == WorkerState::Ready && !self.told.contains_key(&m.id);
        let taken: HashSet<_> = told.iter().filter(new).map(|m| m.address).collect();
        let named: HashSet<_> = told.iter().map(|m| m.id.as_str()).collect();
        let of = || self.told.values().filter(|m| m.protocol == source);
        news.extend(of().filter(|m| taken.contains(&m.address)).map(gone));
        let left = |m: &&Endpoint| full && !named.contains(m.id.as_str());
        news.extend(of().filter(left).map(gone));
        news.extend(told);
        news.into_iter().filter_map(|m| self.change(m)).collect()
    }

    fn change(&mut self, mut member: Endpoint) -> Option<Change> {
        let known = self.told.get(&member.id);
        if known.is_none() && member.state == WorkerState::Gone {
            return None; // the end of what was never here
        }
        if let Some(known) = known.filter(|_| member.started_at == 0) {
            member.started_at = known.started_at; // not told anew
        }
        if known == Some(&member) {
            return None;
        }
        self.told.insert(member.id.clone(), member.clone());
        self.show(member)
    }

    /// What the core is to be shown of a member as it is told now: draining while it is excluded.
    fn show(&mut self, mut member: Endpoint) -> Option<Change> {
        if self.excluded.contains(&member.id) && member.state == WorkerState::Ready {
            member.state = WorkerState::Draining;
        }
        let known = self.shown.get(&member.id);
        if known == Some(&member) {
            return None;
        }
        let same = known.filter(|k| k.address == member.address && k.protocol == member.protocol);
        let duty = match same {
            None => Duty::Reach,
            Some(k) if member.state != WorkerState::Ready || k.started_at != member.started_at => {
                Duty::Retire
            }
            Some(_) => Duty::Keep,
        };
        self.shown.insert(member.id.clone(), member.clone());
        Some(Change { member, duty })
    }

    /// Leaves a member out, whatever the lists say, until it is included again. `Unknown` if no list has
    /// named it; excluding it twice changes nothing.
    pub fn exclude(&mut self, id: &str) -> Result<Vec<Change>, Unknown> {
        let member = self.told.get(id).cloned().ok_or(Unknown)?;
        self.excluded.insert(id.to_owned());
        Ok(self.show(member).into_iter().collect())
    }

    /// Puts a member back as a new process started at `now` (Unix time): operators restarted it while it
    /// was out, so it holds nothing. `Unknown` for an id neither named nor excluded; a member that was not
    /// excluded stays as it is.
    pub fn include(&mut self, id: &str, now: Micros) -> Result<Vec<Change>, Unknown> {
        let was = self.excluded.remove(id);
        let Some(member) = self.told.get_mut(id) else {
            return if was { Ok(vec![]) } else { Err(Unknown) };
        };
        if !was {
            return Ok(vec![]);
        }
        member.started_at = now;
        let member = member.clone();
        Ok(self.show(member).into_iter().collect())
    }

    /// The excluded ids.
    pub fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// Takes the whole set of exclusions, as another process of this front end left it: whatever is new in
    /// it is excluded (named or not yet), whatever is missing included.
    pub fn hand_over(&mut self, set: BTreeSet<String>, now: Micros) -> Vec<Change> {
        let mut changes = Vec::new();
        for id in self.excluded.difference(&set).cloned().collect::<Vec<_>>() {
            changes.extend(self.include(&id, now).unwrap_or_default());
        }
        for id in set.difference(&self.excluded.clone()) {
            match self.exclude(id) {
                Ok(more) => changes.extend(more),
                Err(Unknown) => {
                    self.excluded.insert(id.clone()); // held until a list names it
                }
            }
        }
        changes
    }

    /// Forgets a member that is gone and to which nothing is open any more.
    pub fn forget(&mut self, id: &str) {
        if self
            .told
            .get(id)
            .is_some_and(|m| m.state == WorkerState::Gone)
        {
            self.told.remove(id);
            self.shown.remove(id);
        }
    }
}
