//! The endpoints of all sources: decides when a worker is new, draining, gone or back with a new process. Complete
//! lists and single changes come in, each change goes out once. No sockets and no clock.
use crate::model::{Endpoint, TransportProtocol};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use thiserror::Error;
use wrenseam_policy::{Micros, WorkerState};

/// What a change requires of the connections to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It is new, at another address, or speaks another protocol: new connections; those to the former address drain.
    Connect,
    /// The process that is connected takes nothing new: it drains, is gone, or was restarted.
    Drain,
    /// The connections stay in use.
    Keep,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The endpoint as it is now.
    pub endpoint: Endpoint,
    /// What to do about its connections.
    pub action: ConnectionAction,
}

/// An id that no list has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no list has named this id")]
pub struct UnknownEndpoint;

/// The endpoints of all sources, and the ids that operators excluded.
#[derive(Default)]
pub struct Membership {
    /// Each endpoint as its source lists it, by id.
    listed: BTreeMap<String, Endpoint>,
    /// Each endpoint as the last change gave it: as listed, or draining while it is excluded or suspended.
    published: BTreeMap<String, Endpoint>,
    excluded: BTreeSet<String>,
    /// Endpoints listed as ready that get nothing new, as discovery was not heard for too long.
    suspended: BTreeSet<String>,
}

impl Membership {
    /// Applies an update of one source. A complete list replaces what the source listed before, so whoever is not in it
    /// is gone. What is listed already changes nothing: sources may repeat themselves.
    pub fn apply(
        &mut self,
        source: TransportProtocol,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Change> {
        let mut updates = self.replaced_at_their_address(source, &endpoints);
        if complete {
            updates.extend(self.missing_from(source, &endpoints));
        }
        updates.extend(endpoints);
        updates
            .into_iter()
            .filter_map(|endpoint| self.update(endpoint))
            .collect()
    }

    /// Endpoints at whose address a new worker is, as gone. The list may report their end later than the new worker,
    /// which would be taken for theirs.
    fn replaced_at_their_address(
        &self,
        source: TransportProtocol,
        endpoints: &[Endpoint],
    ) -> Vec<Endpoint> {
        let new_addresses: HashSet<SocketAddr> = endpoints
            .iter()
            .filter(|new| new.state == WorkerState::Ready && !self.listed.contains_key(&new.id))
            .map(|new| new.address)
            .collect();
        self.listed_by(source)
            .filter(|listed| new_addresses.contains(&listed.address))
            .map(gone)
            .collect()
    }

    /// Endpoints that a complete list names no more, as gone.
    fn missing_from(&self, source: TransportProtocol, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let named: HashSet<&str> = endpoints
            .iter()
            .map(|endpoint| endpoint.id.as_str())
            .collect();
        self.listed_by(source)
            .filter(|listed| !named.contains(listed.id.as_str()))
            .map(gone)
            .collect()
    }

    fn listed_by(&self, source: TransportProtocol) -> impl Iterator<Item = &Endpoint> {
        self.listed
            .values()
            .filter(move |endpoint| endpoint.protocol == source)
    }

    fn update(&mut self, mut endpoint: Endpoint) -> Option<Change> {
        let listed = self.listed.get(&endpoint.id);
        if listed.is_none() && endpoint.state == WorkerState::Gone {
            return None; // the end of what was never here
        }
        if let Some(listed) = listed {
            if endpoint.started_at == 0 {
                endpoint.started_at = listed.started_at; // not stated again
            }
        }
        if listed == Some(&endpoint) {
            return None;
        }
        if endpoint.state != WorkerState::Ready {
            self.suspended.remove(&endpoint.id);
        }
        self.listed.insert(endpoint.id.clone(), endpoint.clone());
        self.publish(endpoint)
    }

    /// The change that an endpoint's listing comes to: it is published as draining while it is excluded or suspended.
    fn publish(&mut self, mut endpoint: Endpoint) -> Option<Change> {
        let is_withheld =
            self.excluded.contains(&endpoint.id) || self.suspended.contains(&endpoint.id);
        if is_withheld && endpoint.state == WorkerState::Ready {
            endpoint.state = WorkerState::Draining;
        }
        let published = self.published.get(&endpoint.id);
        if published == Some(&endpoint) {
            return None;
        }
        let action = connection_action(published, &endpoint);
        self.published.insert(endpoint.id.clone(), endpoint.clone());
        Some(Change { endpoint, action })
    }

    /// Excludes an endpoint, whatever the lists say, until it is included again. Excluding it twice changes nothing.
    ///
    /// # Errors
    ///
    /// [`UnknownEndpoint`] if no list has named it.
    pub fn exclude(&mut self, id: &str) -> Result<Vec<Change>, UnknownEndpoint> {
        let endpoint = self.listed.get(id).cloned().ok_or(UnknownEndpoint)?;
        self.excluded.insert(id.to_owned());
        Ok(self.publish(endpoint).into_iter().collect())
    }

    /// Includes an endpoint again as a new process started at `now` (Unix time): operators restarted it while it was
    /// excluded, so it has nothing loaded. One that was not excluded stays as it is.
    ///
    /// # Errors
    ///
    /// [`UnknownEndpoint`] if no list has named it and it was not excluded.
    pub fn include(&mut self, id: &str, now: Micros) -> Result<Vec<Change>, UnknownEndpoint> {
        let was_excluded = self.excluded.remove(id);
        let listed = self.listed.get_mut(id);
        if !was_excluded {
            return listed.map(|_| vec![]).ok_or(UnknownEndpoint);
        }
        let Some(endpoint) = listed else {
            return Ok(vec![]);
        };
        endpoint.started_at = now;
        let endpoint = endpoint.clone();
        Ok(self.publish(endpoint).into_iter().collect())
    }

    /// Whether the lists name this endpoint as ready.
    pub fn is_listed_ready(&self, id: &str) -> bool {
        self.listed
            .get(id)
            .is_some_and(|endpoint| endpoint.state == WorkerState::Ready)
    }

    /// Suspends an endpoint that is listed as ready.
    pub fn suspend(&mut self, id: &str) -> Option<Change> {
        let endpoint = self.listed.get(id)?.clone();
        if endpoint.state != WorkerState::Ready {
            return None;
        }
        self.suspended.insert(id.to_owned());
        self.publish(endpoint)
    }

    /// Ends the suspension of an endpoint, as a new process if it may have started at `restarted_at`.
    pub fn resume(&mut self, id: &str, restarted_at: Option<Micros>) -> Option<Change> {
        if !self.suspended.remove(id) {
            return None;
        }
        let endpoint = self.listed.get_mut(id)?;
        endpoint.started_at = restarted_at.unwrap_or(endpoint.started_at);
        let endpoint = endpoint.clone();
        self.publish(endpoint)
    }

    /// The excluded ids.
    pub fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// Takes the complete set of exclusions, as another process of this front end left it: what is new in it is
    /// excluded, named by a list or not yet; what is missing is included.
    pub fn replace_exclusions(&mut self, excluded: BTreeSet<String>, now: Micros) -> Vec<Change> {
        let mut changes = Vec::new();
        let included: Vec<String> = self.excluded.difference(&excluded).cloned().collect();
        for id in included {
            changes.extend(self.include(&id, now).unwrap_or_default());
        }
        for id in excluded {
            if self.excluded.contains(&id) {
                continue;
            }
            match self.exclude(&id) {
                Ok(more) => changes.extend(more),
                Err(UnknownEndpoint) => {
                    self.excluded.insert(id); // in effect once a list names it
                }
            }
        }
        changes
    }

    /// Forgets an endpoint that is gone and to which nothing is open any more.
    pub fn forget(&mut self, id: &str) {
        let is_gone = self
            .listed
            .get(id)
            .is_some_and(|endpoint| endpoint.state == WorkerState::Gone);
        if is_gone {
            self.listed.remove(id);
            self.published.remove(id);
        }
    }
}

/// What becomes of the connections to an endpoint that was published so before.
fn connection_action(published: Option<&Endpoint>, endpoint: &Endpoint) -> ConnectionAction {
    let Some(published) = published else {
        return ConnectionAction::Connect;
    };
    if published.address != endpoint.address || published.protocol != endpoint.protocol {
        return ConnectionAction::Connect;
    }
    if endpoint.state != WorkerState::Ready || published.started_at != endpoint.started_at {
        return ConnectionAction::Drain;
    }
    ConnectionAction::Keep
}

fn gone(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        state: WorkerState::Gone,
        ..endpoint.clone()
    }
}
