//! What events change that come late, with faults, twice, or from a service that has restarted its event numbers.
use miniserde::json::{Object, Value};
use rstest::rstest;
use std::collections::BTreeMap;
use wrenseam::discovery::watch::{EndpointListUpdate, InitialWatch, WatchState};
use wrenseam_policy::json::parse;
use wrenseam_policy::WorkerState;

/// An event: its number, whether it is the whole list, and instances as `id:state`; `id:?` has none.
fn event(number: &str, full: bool, instances: &str) -> String {
    let one = |instance: &str| {
        let (id, state) = instance.split_once(':').expect("id:state");
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

/// Plays steps on a watch that has received event 5, a request begun; the resulting list, and each request's number.
/// `N list? id:state ...` an event; `;` a comment; `request` a new request. A rejected event makes one too.
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
    let mut requests = vec![watch.begin_request()];
    for step in steps {
        let result = match *step {
            ";" => watch.comment().map_err(drop),
            "request" => Err(()),
            "garbage" => watch.event(Some("6"), "{\"rev\":6,").map_err(drop),
            numbered => {
                let (number, rest) = numbered.split_once(' ').expect("N instances");
                let (full, rest) = rest
                    .strip_prefix("list ")
                    .map_or((false, rest), |r| (true, r));
                let id = Some(number).filter(|n| *n != "-");
                watch.event(id, &event(number, full, rest)).map_err(drop)
            }
        };
        match result {
            Ok(update) => update.into_iter().for_each(&mut take),
            Err(_) => requests.push(watch.begin_request()),
        }
    }
    let list: Vec<String> = list
        .iter()
        .map(|(id, s)| format!("{id}:{}", format!("{s:?}").to_lowercase()))
        .collect();
    (list.join(" "), requests)
}

#[rstest]
#[case::in_order(&["6 a:d", "7 a:g"], "a:gone b:ready c:ready", &[5])]
#[case::repeated(&["6 a:d", "7 a:r", "6 a:d"], "a:ready b:ready c:ready", &[5])]
// A gap: requested once more, then there is nothing between.
#[case::gap_filled(&["7 b:d", "6 a:d", "7 b:d"], "a:draining b:draining c:ready", &[5, 5])]
#[case::gap_that_stays(&["7 b:d", "7 b:d", "8 a:d"], "a:draining b:draining c:ready", &[5, 5])]
// An invalid instance leaves the others usable, and is received again without undoing what came since.
#[case::fault_once(&["6 a:d b:?", "6 a:d b:d"], "a:draining b:draining c:ready", &[5, 5])]
#[case::fault_twice(&["6 a:d b:?", "6 a:d b:?", "7 a:r", "request", "6 a:d b:d", "7 a:r"],
    "a:ready b:draining c:ready", &[5, 5, 5])]
#[case::no_json(&["garbage", "garbage", "7 c:d", "request", "6 a:d c:r", "7 c:d"],
    "a:draining b:ready c:draining", &[5, 5, 5])]
#[case::lasting_fault(&["6 b:?", "6 b:?", "request", "6 b:?", "request", "6 b:?", "request", "6 b:?", "request"],
    "a:ready b:ready c:ready", &[5, 5, 5, 5, 5, 6])]
// While a part of a list cannot be read, nobody is gone that is not in it.
#[case::list_with_a_fault(&["6 list a:r d:?", "6 list a:r d:?"], "a:ready b:ready c:ready", &[5, 5])]
#[case::list_received_again(&["6 list a:r d:?", "6 list a:r d:?", "7 e:r a:d", "request", "6 list a:r d:r", "7 e:r a:d"],
    "a:draining d:ready e:ready", &[5, 5, 5])]
// Without an id the event's own number counts; with neither it is the newest, once it comes so again.
#[case::no_number(&["- a:d", "- a:d"], "a:draining b:ready c:ready", &[5, 5])]
// A service that has restarted its event numbers sends its list first, and then comments.
#[case::numbers_restarted(&["request", "1 list a:r d:r", "2 d:d", ";", ";", "3 a:d"], "a:draining d:draining", &[5, 5])]
#[case::all_events_repeated(&["6 a:g", "request", "1 list a:r b:r", "5 c:r", "6 a:g", ";", ";"],
    "a:gone b:ready c:ready", &[5, 6])]
#[case::lower_numbers(&["6 a:g", "7 a:g", "request", "3 b:d", ";", ";", "1 list a:r", "3 b:d", ";", ";"],
    "a:ready b:draining", &[5, 7, 0])]
fn events_are_applied_in_the_order_of_their_numbers(
    #[case] steps: &[&str],
    #[case] list: &str,
    #[case] requests: &[u64],
) {
    assert_eq!(play(steps), (list.to_owned(), requests.to_vec()));
}

/// An event without an id has its own number, and never counts as a repetition of the one before.
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
