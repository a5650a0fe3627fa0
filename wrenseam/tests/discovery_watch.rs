//! What the watch of the notice board makes of events that come late, spoilt, twice or from a board that counts anew.
use miniserde::json::{Object, Value};
use rstest::rstest;
use std::collections::BTreeMap;
use wrenseam::discovery::watch::{EndpointListUpdate, InitialWatch, WatchState};
use wrenseam_policy::json::parse;
use wrenseam_policy::WorkerState;

/// An event: its number, whether it is the whole list, and instances as `id:state`; `id:?` has none.
fn event(number: &str, full: bool, instances: &str) -> String {
    let one = |told: &str| {
        let (id, state) = told.split_once(':').expect("id:state");
        let state = match state {
            "d" => "draining",
            "g" => "gone",
            "r" => "ready",
            _ => "asleep",
        };
        format!(r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:9","lifecycle":"{state}"}}"#)
    };
    let all: Vec<String> = instances.split_whitespace().map(one).collect();
    let rev = if number == "-" {
        String::new()
    } else {
        format!(r#""rev":{number},"#)
    };
    format!(
        r#"{{{rev}"pool":{{"reset":{full},"instances":[{}]}}}}"#,
        all.join(",")
    )
}

/// Plays steps on a watch that has seen event 5, a call begun; what the list comes to, and each call's number.
/// `N list? id:state ...` an event; `;` a comment; `call` a new call. A refused event makes a new call too.
fn play(steps: &[&str]) -> (String, Vec<u64>) {
    let known = parse(&format!(
        r#"{{"rev":5,"notices":[{},{}]}}"#,
        event("1", true, "a:r b:r"),
        event("5", false, "c:r")
    ));
    let Ok(Value::Object(known)) = known else {
        panic!("an object")
    };
    let InitialWatch {
        state: mut watch,
        updates,
    } = WatchState::from_known_events(&known);
    let mut list: BTreeMap<String, WorkerState> = BTreeMap::new();
    let mut take = |update: EndpointListUpdate| {
        if update.complete {
            list.clear();
        }
        list.extend(update.endpoints.into_iter().map(|e| (e.id, e.state)));
    };
    updates.into_iter().for_each(&mut take);
    let mut calls = vec![watch.begin_request()];
    for step in steps {
        let told = match *step {
            ";" => watch.comment().map_err(drop),
            "call" => Err(()),
            "garbage" => watch.event(Some("6"), "{\"rev\":6,").map_err(drop),
            event_ => {
                let (number, rest) = event_.split_once(' ').expect("N instances");
                let (full, rest) = rest
                    .strip_prefix("list ")
                    .map_or((false, rest), |r| (true, r));
                let id = Some(number).filter(|n| *n != "-");
                watch.event(id, &event(number, full, rest)).map_err(drop)
            }
        };
        match told {
            Ok(news) => news.into_iter().for_each(&mut take),
            Err(_) => calls.push(watch.begin_request()),
        }
    }
    let list: Vec<String> = list
        .iter()
        .map(|(id, s)| format!("{id}:{}", format!("{s:?}").to_lowercase()))
        .collect();
    (list.join(" "), calls)
}

#[rstest]
#[case::in_order(&["6 a:d", "7 a:g"], "a:gone b:ready c:ready", &[5])]
#[case::repeated(&["6 a:d", "7 a:r", "6 a:d"], "a:ready b:ready c:ready", &[5])]
// A gap: asked for once, then there is nothing between.
#[case::gap_filled(&["7 b:d", "6 a:d", "7 b:d"], "a:draining b:draining c:ready", &[5, 5])]
#[case::gap_that_stays(&["7 b:d", "7 b:d", "8 a:d"], "a:draining b:draining c:ready", &[5, 5])]
// A bad instance leaves the others theirs, and is got again without undoing what came since.
#[case::spoilt_on_its_way(&["6 a:d b:?", "6 a:d b:d"], "a:draining b:draining c:ready", &[5, 5])]
#[case::spoilt_twice(&["6 a:d b:?", "6 a:d b:?", "7 a:r", "call", "6 a:d b:d", "7 a:r"],
    "a:ready b:draining c:ready", &[5, 5, 5])]
#[case::no_json(&["garbage", "garbage", "7 c:d", "call", "6 a:d c:r", "7 c:d"],
    "a:draining b:ready c:draining", &[5, 5, 5])]
#[case::spoilt_for_good(&["6 b:?", "6 b:?", "call", "6 b:?", "call", "6 b:?", "call", "6 b:?", "call"],
    "a:ready b:ready c:ready", &[5, 5, 5, 5, 5, 6])]
// Of a list that cannot all be read nobody is taken for gone; once it can be, they are.
#[case::spoilt_list(&["6 list a:r d:?", "6 list a:r d:?"], "a:ready b:ready c:ready", &[5, 5])]
#[case::list_got_again(&["6 list a:r d:?", "6 list a:r d:?", "7 e:r a:d", "call", "6 list a:r d:r", "7 e:r a:d"],
    "a:draining d:ready e:ready", &[5, 5, 5])]
// Without an id the event's own number counts; with neither it is the newest, once it comes so again.
#[case::no_number(&["- a:d", "- a:d"], "a:draining b:ready c:ready", &[5, 5])]
// A board that counts anew tells its list first, and then comments.
#[case::counts_anew(&["call", "1 list a:r d:r", "2 d:d", ";", ";", "3 a:d"], "a:draining d:draining", &[5, 5])]
#[case::told_all_again(&["6 a:g", "call", "1 list a:r b:r", "5 c:r", "6 a:g", ";", ";"],
    "a:gone b:ready c:ready", &[5, 6])]
#[case::counts_lower(&["6 a:g", "7 a:g", "call", "3 b:d", ";", ";", "1 list a:r", "3 b:d", ";", ";"],
    "a:ready b:draining", &[5, 7, 0])]
fn news_is_put_in_its_place(#[case] steps: &[&str], #[case] list: &str, #[case] calls: &[u64]) {
    assert_eq!(play(steps), (list.to_owned(), calls.to_vec()));
}

/// An event without an id is numbered by what it says itself, and never passes for the one before.
#[test]
fn an_event_without_an_id_is_not_lost() {
    let mut watch = WatchState::from_known_events(&Object::new()).state;
    assert!(watch
        .event(Some("1"), &event("1", true, "a:r"))
        .expect("sound")
        .is_some());
    assert!(watch
        .event(None, &event("2", false, "a:d"))
        .expect("sound")
        .is_some());
    assert!(watch
        .event(Some("x"), &event("3", false, "a:g"))
        .expect("sound")
        .is_some());
    assert_eq!(watch.last_event(), 3);
}
