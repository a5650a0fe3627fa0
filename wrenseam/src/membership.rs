//! Who the members are, over all sources: the one place that decides when a worker is new, draining, gone or back
//! with a new process. Snapshots and events come in, changes go out, each once. No sockets and no clock.
use crate::core::{Member, Speech};
use bramblepath::{Micros, WorkerState};
use std::collections::{BTreeMap, BTreeSet, HashSet};

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
    pub member: Member,
    /// What to do about its connections.
    pub duty: Duty,
}

/// The members of all sources, as told, and the ids that operators excluded.
#[derive(Default)]
pub struct Membership {
    told: BTreeMap<String, Member>,
    /// What the core was last shown of each member: as told, or draining while excluded.
    shown: BTreeMap<String, Member>,
    excluded: BTreeSet<String>,
}

/// An id that no list has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown;

impl Membership {
    /// Takes a source's news; `full` lists replace what it told before, so whoever is not in one is gone. What
    /// has been told already changes nothing: news may be written twice, or come again in a list.
    pub fn take(&mut self, source: Speech, full: bool, told: Vec<Member>) -> Vec<Change> {
        let gone = |m: &Member| Member { state: WorkerState::Gone, ..m.clone() };
        let mut news = Vec::new();
        // Guards a new worker from what is meant for the one that stood at its address before: the list may
        // tell of that one's end later than of the new one, and calls would go by the old one's account.
        let new = |m: &&Member| m.state == WorkerState::Ready && !self.told.contains_key(&m.id);
        let taken: HashSet<_> = told.iter().filter(new).map(|m| m.address).collect();
        let named: HashSet<_> = told.iter().map(|m| m.id.as_str()).collect();
        let of = || self.told.values().filter(|m| m.speech == source);
        news.extend(of().filter(|m| taken.contains(&m.address)).map(gone));
        let left = |m: &&Member| full && !named.contains(m.id.as_str());
        news.extend(of().filter(left).map(gone));
        news.extend(told);
        news.into_iter().filter_map(|m| self.change(m)).collect()
    }

    fn change(&mut self, mut member: Member) -> Option<Change> {
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
    fn show(&mut self, mut member: Member) -> Option<Change> {
        if self.excluded.contains(&member.id) && member.state == WorkerState::Ready {
            member.state = WorkerState::Draining;
        }
        let known = self.shown.get(&member.id);
        if known == Some(&member) {
            return None;
        }
        let same = known.filter(|k| k.address == member.address && k.speech == member.speech);
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
        let Some(member) = self.told.get_mut(id) else { return if was { Ok(vec![]) } else { Err(Unknown) } };
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
        if self.told.get(id).is_some_and(|m| m.state == WorkerState::Gone) {
            self.told.remove(id);
            self.shown.remove(id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use Duty::{Keep, Reach, Retire};
    use WorkerState::{Draining, Gone, Ready};

    fn member(id: &str, port: u16, state: WorkerState, started_at: u64) -> Member {
        let address = ([127, 0, 0, 1], port).into();
        let (zone, kind, speech) = ("hall-a".to_owned(), "std".to_owned(), Speech::Frames);
        Member { id: id.to_owned(), address, state, started_at, zone, kind, cell: Some(0), speech }
    }

    type News = (bool, Vec<(&'static str, u16, WorkerState, u64)>);

    /// After `a` at 1 and `b` at 2 are known: what this news changes.
    #[rstest]
    #[case::told_again((true, vec![("a", 1, Ready, 0), ("b", 2, Ready, 0)]), vec![])]
    #[case::drain((false, vec![("a", 1, Draining, 0)]), vec![("a", Draining, Retire)])]
    #[case::left_out_of_a_list((true, vec![("b", 2, Ready, 0)]), vec![("a", Gone, Retire)])]
    #[case::back_cold_under_its_id((false, vec![("a", 1, Ready, 9)]), vec![("a", Ready, Retire)])]
    #[case::moved((false, vec![("a", 3, Ready, 0)]), vec![("a", Ready, Reach)])]
    #[case::new_at_an_old_address((false, vec![("c", 1, Ready, 9)]), vec![("a", Gone, Retire), ("c", Ready, Reach)])]
    #[case::end_of_a_stranger((false, vec![("d", 4, Gone, 0)]), vec![])]
    #[case::drain_twice(
        (false, vec![("a", 1, Draining, 0), ("a", 1, Draining, 0), ("a", 1, Gone, 0)]),
        vec![("a", Draining, Retire), ("a", Gone, Retire)]
    )]
    #[case::never_mind((false, vec![("a", 1, Draining, 0), ("a", 1, Ready, 0)]), vec![("a", Draining, Retire), ("a", Ready, Keep)])]
    fn news_changes_each_member_once(#[case] news: News, #[case] changes: Vec<(&str, WorkerState, Duty)>) {
        let mut members = Membership::default();
        let first = vec![member("a", 1, Ready, 0), member("b", 2, Ready, 0)];
        assert!(members.take(Speech::Frames, true, first).iter().all(|c| c.duty == Reach));
        // The list of another source says nothing of these.
        assert_eq!(members.take(Speech::Kserve, true, vec![]), vec![]);
        let told = news.1.iter().map(|&(id, port, state, at)| member(id, port, state, at)).collect();
        let got = members.take(Speech::Frames, news.0, told);
        let got: Vec<_> = got.iter().map(|c| (c.member.id.as_str(), c.member.state, c.duty)).collect();
        assert_eq!(got, changes);
    }

    /// Excluded: shown as draining whatever the list says, until included; then a new process, cold.
    #[test]
    fn an_excluded_member_drains_until_it_is_included() {
        let mut members = Membership::default();
        members.take(Speech::Frames, true, vec![member("a", 1, Ready, 0)]);
        assert_eq!(members.exclude("nobody"), Err(Unknown));
        let state = |c: &[Change]| c.iter().map(|c| (c.member.state, c.duty)).collect::<Vec<_>>();
        assert_eq!(state(&members.exclude("a").expect("known")), vec![(Draining, Retire)]);
        assert_eq!(members.exclude("a"), Ok(vec![]), "a second exclude changes nothing");
        // The list tells it ready again, as after a restart: it stays out.
        let again = members.take(Speech::Frames, true, vec![member("a", 1, Ready, 7)]);
        assert_eq!(state(&again), vec![(Draining, Retire)]);
        let back = members.include("a", 99).expect("excluded");
        assert_eq!(state(&back), vec![(Ready, Retire)]);
        assert_eq!(back[0].member.started_at, 99, "back as a new process");
        assert_eq!(members.include("a", 100), Ok(vec![]), "a second include changes nothing");
        assert_eq!(members.include("nobody", 100), Err(Unknown));
    }

    /// A replacing process takes the set, also for ids that its list does not name yet.
    #[test]
    fn exclusions_are_handed_over() {
        let mut members = Membership::default();
        let set = |ids: &[&str]| ids.iter().map(|&id| id.to_owned()).collect::<BTreeSet<_>>();
        assert_eq!(members.hand_over(set(&["a"]), 5), vec![]);
        let told = members.take(Speech::Frames, true, vec![member("a", 1, Ready, 0)]);
        assert_eq!(told.iter().map(|c| c.member.state).collect::<Vec<_>>(), vec![Draining]);
        let back = members.hand_over(set(&[]), 9);
        assert_eq!(
            back.iter().map(|c| (c.member.state, c.member.started_at)).collect::<Vec<_>>(),
            vec![(Ready, 9)]
        );
    }
}
