//! What a watch of the notice board has told, and from where it is to be asked next. No sockets and no clock.
//!
//! Events bear numbers, and an event that came late must not undo what came after it. While an event is owed (it
//! came spoilt), the last news of each instance named since is kept, so that what is got again is put in its place.
use crate::discovery::event::{instances, Told};
use crate::model::Endpoint;
use miniserde::json::{Object, Value};
use std::collections::BTreeMap;
use wrenseam_policy::json::{parse, whole};

/// How often a spoilt event is asked for besides the first time, before what was wrong in it is given up.
const OWED_CALLS: u32 = 3;
/// Comments without an event between them (one comes each second) after which a board has told all it has.
const QUIET: u32 = 2;

/// News for the list of workers.
#[derive(Debug, Default, PartialEq)]
pub struct News {
    /// Whether this is the whole list.
    pub full: bool,
    /// The members named.
    pub members: Vec<Endpoint>,
}

/// What a call of the board brought and is to bring.
#[derive(Default)]
pub struct Watch {
    /// Number of the last event.
    last: u64,
    /// Events that came spoilt, and how often each was asked for.
    owed: BTreeMap<u64, u32>,
    /// While something is owed: the last news of each instance named since, and its event.
    since: BTreeMap<String, (u64, Endpoint)>,
    /// An event that was asked for once more, for a gap before it or a fault in it; `None` in it: one without a number.
    again: Option<Option<u64>>,
    /// Whether the whole list is asked for, as the board seems to count anew.
    anew: bool,
    call: Call,
}

/// What one call brought.
#[derive(Default)]
struct Call {
    /// Whether an event as high as the last one came.
    level: bool,
    /// Whether events came that were lower.
    lower: bool,
    /// The list of a board that counts anew, and its last event, should it be one.
    list: Option<(u64, BTreeMap<String, Endpoint>)>,
    comments: u32,
}

impl Watch {
    /// Begins with what the configuration tells: the events so far, and the number of the last.
    pub fn new(known: &Object) -> (Watch, Vec<News>) {
        let mut watch = Watch::default();
        let mut news = Vec::new();
        for event in crate::config::notices(known) {
            let number = whole(event, "rev").unwrap_or(watch.last);
            watch.last = watch.last.max(number);
            match instances(event) {
                Ok(told) => {
                    for fault in &told.faults {
                        note!("start: in known notice {number}: {fault}");
                    }
                    news.extend(watch.apply(number, told));
                }
                Err(why) => {
                    note!("start: known notice {number} skipped: {why}");
                    watch.owed.insert(number, 0);
                }
            }
        }
        watch.last = whole(known, "rev").unwrap_or(watch.last);
        watch.settle();
        (watch, news)
    }

    /// Number of the last event seen.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A call begins: the last event to tell the board, so that it goes on behind it.
    pub fn ask(&mut self) -> u64 {
        self.call = Call::default();
        if std::mem::take(&mut self.anew) {
            return 0;
        }
        self.owed.retain(|owed, tries| {
            let kept = *tries < OWED_CALLS;
            if !kept {
                note!("board: event {owed}: what is unfit in it is given up");
            }
            kept
        });
        self.settle();
        let Some((&owed, tries)) = self.owed.iter_mut().next() else {
            return self.last;
        };
        *tries += 1;
        owed.saturating_sub(1)
    }

    /// Takes an event. `Ok(None)`: nothing new.
    ///
    /// # Errors
    /// The board is to be asked anew; the text says why.
    pub fn event(&mut self, id: Option<&str>, data: &str) -> Result<Option<News>, String> {
        self.call.comments = 0;
        let event = match parse(data) {
            Ok(Value::Object(event)) => Ok(event),
            _ => Err("it is no JSON object".to_owned()),
        };
        let rev = || event.as_ref().ok().and_then(|e| whole(e, "rev"));
        let number = id.and_then(|id| id.parse().ok()).or_else(rev);
        let told = event.and_then(|e| instances(&e));
        let Some(number) = number else {
            // Without a number it has no place in the order: taken as the newest once it comes so again.
            self.once_more(
                None,
                &format!("an event without a number: {}", id.unwrap_or("none")),
            )?;
            self.again = None;
            let Ok(Told {
                full,
                members,
                faults,
            }) = told
            else {
                return Ok(None);
            };
            return Ok(Some(News {
                full: full && faults.is_empty(),
                members,
            }));
        };
        if number <= self.last && !self.owed.contains_key(&number) {
            self.lower(number, told);
            return Ok(None);
        }
        (self.call.level, self.call.list) = (true, None);
        if number > self.last + 1 && self.last > 0 {
            // What lies between may have been lost on its way; if it comes so again there is nothing between.
            self.once_more(
                Some(number),
                &format!("event {number} came after {}", self.last),
            )?;
        }
        let bad = match &told {
            Ok(told) => told.faults.first().cloned(),
            Err(why) => Some(why.clone()),
        };
        if let Some(why) = &bad {
            if !self.owed.contains_key(&number) {
                self.once_more(Some(number), &format!("event {number}: {why}"))?;
            }
            note!("board: event {number}: {why}; what is sound in it is used, the rest asked for again");
        }
        self.last = self.last.max(number);
        let news = match told {
            Ok(told) => self.apply(number, told),
            Err(_) => {
                self.owed.entry(number).or_insert(0);
                None
            }
        };
        self.settle();
        Ok(news)
    }

    /// The board has commented.
    ///
    /// # Errors
    /// It counts lower than we do: the whole list is to be asked for.
    pub fn comment(&mut self) -> Result<Option<News>, String> {
        self.call.comments += 1;
        if self.call.comments < QUIET || !self.call.lower || self.call.level {
            return Ok(None);
        }
        self.call.lower = false;
        let Some((last, list)) = self.call.list.take() else {
            self.anew = true;
            return Err(format!("it counts lower than event {}", self.last));
        };
        note!(
            "board: it counts anew, event {last} where {} was the last; its list holds",
            self.last
        );
        (self.last, self.again) = (last, None);
        self.owed.clear();
        self.settle();
        Ok(Some(News {
            full: true,
            members: list.into_values().collect(),
        }))
    }

    /// Asks for an event once more; the second time it is taken as it is.
    fn once_more(&mut self, number: Option<u64>, why: &str) -> Result<(), String> {
        if self.again == Some(number) {
            return Ok(());
        }
        self.again = Some(number);
        Err(why.to_owned())
    }

    /// An event that was seen before: written twice, told again on request, or of a board that counts anew.
    fn lower(&mut self, number: u64, told: Result<Told, String>) {
        if number == self.last {
            (self.call.level, self.call.list) = (true, None);
        }
        if self.call.level {
            return;
        }
        self.call.lower = true;
        let Ok(told) = told else { return };
        if told.full {
            self.call.list = Some((number, BTreeMap::new()));
        }
        if let Some((last, list)) = &mut self.call.list {
            *last = number.max(*last);
            list.extend(told.members.into_iter().map(|m| (m.id.clone(), m)));
        }
    }

    /// What an event changes, as far as later ones have not told otherwise.
    fn apply(&mut self, number: u64, told: Told) -> Option<News> {
        let Told {
            full,
            members,
            faults,
        } = told;
        let whole = faults.is_empty();
        if whole {
            self.owed.remove(&number);
        } else {
            self.owed.entry(number).or_insert(0);
        }
        // While part of a list cannot be read nobody is taken for gone that it does not name.
        let full = full && whole;
        let mut news = News {
            full,
            members: Vec::new(),
        };
        for member in members {
            match self.since.get(&member.id) {
                Some((at, later)) if *at > number => {
                    news.members.extend(full.then(|| later.clone()))
                }
                _ => news.members.push(member),
            }
        }
        if full {
            let named: Vec<String> = news.members.iter().map(|m| m.id.clone()).collect();
            let later = self
                .since
                .iter()
                .filter(|(id, l)| l.0 > number && !named.contains(id));
            news.members.extend(later.map(|(_, l)| l.1.clone()));
        }
        if !self.owed.is_empty() {
            for m in &news.members {
                let at = self.since.get(&m.id).map_or(number, |l| l.0.max(number));
                self.since.insert(m.id.clone(), (at, m.clone()));
            }
        }
        (full || !news.members.is_empty()).then_some(news)
    }

    /// With nothing owed all events so far are known whole, and nothing need be kept.
    fn settle(&mut self) {
        if self.owed.is_empty() {
            self.since.clear();
        }
    }
}
