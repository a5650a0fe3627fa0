//! The endpoints of all sources: decides when a worker is new, draining, gone, or restarted as a new process. Takes
//! complete lists and incremental updates, and returns each change once. No sockets and no clock.
use crate::model::{Endpoint, TransportProtocol};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use thiserror::Error;
use wrenseam_policy::{Micros, WorkerState};

/// What a change requires of the connections to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// The endpoint is new, has another address or speaks another protocol: open new connections; those to the former
    /// address drain.
    Connect,
    /// The process at the other end of the connections takes no new work, as it drains, is gone or was restarted: the
    /// connections drain.
    Drain,
    /// The connections stay in use.
    Keep,
}

/// One change of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The endpoint after the change.
    pub endpoint: Endpoint,
    /// What the change requires of its connections.
    pub action: ConnectionAction,
}

/// The error for an id that no list has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no list has named this id")]
pub struct UnknownEndpoint;

/// The endpoints of all sources, and the ids that operators excluded.
#[derive(Default)]
pub struct Membership {
    /// Each endpoint as its source lists it, by id.
    listed: BTreeMap<String, Endpoint>,
    /// Each endpoint as returned in its last change, by id: as listed, or draining while it is excluded or suspended.
    published: BTreeMap<String, Endpoint>,
    excluded: BTreeSet<String>,
    /// Endpoints listed as ready that get no new work, as discovery has not confirmed their readiness in time; see
    /// [`wrenseam_policy::readiness_lease`].
    suspended: BTreeSet<String>,
}

impl Membership {
    /// Applies an update of one source. A complete list replaces what the source listed before: endpoints that are not
    /// in it are gone. An endpoint that is listed as before causes no change, as sources may repeat themselves.
    pub fn apply(
        &mut self,
        source: TransportProtocol,
        complete: bool,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Change> {
        let mut updates = self.displaced_by_new_workers(source, &endpoints);
        if complete {
            updates.extend(self.missing_from(source, &endpoints));
        }
        updates.extend(endpoints);
        updates
            .into_iter()
            .filter_map(|endpoint| self.update(endpoint))
            .collect()
    }

    /// Returns, as gone, the endpoints whose address a new worker has taken over. The list may report their end only
    /// after the new worker, to which that end would then be attributed.
    fn displaced_by_new_workers(
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

    /// Returns, as gone, the endpoints of a source that are missing from its new complete list.
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
            return None; // the endpoint was never listed
        }
        if let Some(listed) = listed {
            if endpoint.started_at == 0 {
                endpoint.started_at = listed.started_at; // the update does not state it
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

    /// The change that results from an endpoint's listing, if any: it is published as draining while it is excluded or
    /// suspended.
    fn publish(&mut self, mut endpoint: Endpoint) -> Option<Change> {
        let gets_no_work =
            self.excluded.contains(&endpoint.id) || self.suspended.contains(&endpoint.id);
        if gets_no_work && endpoint.state == WorkerState::Ready {
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

    /// Excludes an endpoint, in any state that the lists give it, until it is included again. Excluding it twice
    /// changes nothing.
    ///
    /// # Errors
    ///
    /// [`UnknownEndpoint`] if no list has named it.
    pub fn exclude(&mut self, id: &str) -> Result<Vec<Change>, UnknownEndpoint> {
        let endpoint = self.listed.get(id).cloned().ok_or(UnknownEndpoint)?;
        self.excluded.insert(id.to_owned());
        Ok(self.publish(endpoint).into_iter().collect())
    }

    /// Includes an endpoint again, as a new process started at `now` (Unix time): operators restart a worker while it
    /// is excluded, so it has no function loaded. An endpoint that was not excluded does not change.
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

    /// Suspends an endpoint that is listed as ready. Returns `None` if nothing changes.
    pub fn suspend(&mut self, id: &str) -> Option<Change> {
        let endpoint = self.listed.get(id)?.clone();
        if endpoint.state != WorkerState::Ready {
            return None;
        }
        self.suspended.insert(id.to_owned());
        self.publish(endpoint)
    }

    /// Ends the suspension of an endpoint. With `restarted_at` it counts as a new process that started then, as it may
    /// have restarted. Returns `None` if nothing changes.
    pub fn resume(&mut self, id: &str, restarted_at: Option<Micros>) -> Option<Change> {
        if !self.suspended.remove(id) {
            return None;
        }
        let endpoint = self.listed.get_mut(id)?;
        endpoint.started_at = restarted_at.unwrap_or(endpoint.started_at);
        let endpoint = endpoint.clone();
        self.publish(endpoint)
    }

    /// The ids that operators excluded, listed or not.
    pub fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// Replaces the set of exclusions by the one that another process of this front end left. Ids that are new in it
    /// are excluded, even if no list names them yet; ids that are missing from it are included again.
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
                Ok(further) => changes.extend(further),
                Err(UnknownEndpoint) => {
                    self.excluded.insert(id); // in effect once a list names it
                }
            }
        }
        changes
    }

    /// Removes an endpoint that is gone. Called once nothing is open on it any more.
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

/// What a change requires of an endpoint's connections. `published`: the endpoint before the change, if it was known.
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
