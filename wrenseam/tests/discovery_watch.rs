//! The changes by events that arrive late, with faults, twice, or from a service that has restarted its event numbers.
use miniserde::json::{Object, Value};
use rstest::rstest;
use std::collections::BTreeMap;
use wrenseam::discovery::watch::{EndpointListUpdate, InitialWatch, WatchState};
use wrenseam_policy::json::parse;
use wrenseam_policy::WorkerState;

/// An event's data. Instances are given as `id:state`; `id:?` has an invalid state. The number `-` stands for none.
fn event(number: &str, complete: bool, instances: &str) -> String {
    let to_json = |instance: &str| {
        let (id, state) = instance.split_once(':').expect("id:state");
        let state = match state {
            "d" => "draining",
            "g" => "gone",
            "r" => "ready",
            _ => "asleep",
        };
        format!(r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:9","lifecycle":"{state}"}}"#)
    };
    let instances: Vec<String> = instances.split_whitespace().map(to_json).collect();
    let rev = if number == "-" {
        String::new()
    } else {
        format!(r#""rev":{number},"#)
    };
    format!(
        r#"{{{rev}"pool":{{"reset":{complete},"instances":[{}]}}}}"#,
        instances.join(",")
    )
}

/// Runs steps on a watch that has received event 5 and begun a request. Returns the resulting list, and after which
/// event each request asks the service to continue. Steps: `N [list] id:state ...` is an event, `;` a comment,
/// `request` a new request and `garbage` an event that is not JSON. A rejected event begins a new request too.
fn run(steps: &[&str]) -> (String, Vec<u64>) {
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
    let mut apply = |update: EndpointListUpdate| {
        if update.complete {
            list.clear();
        }
        list.extend(update.endpoints.into_iter().map(|e| (e.id, e.state)));
    };
    updates.into_iter().for_each(&mut apply);
    let mut request = watch.begin_request();
    let mut requests = vec![request.after()];
    for step in steps {
        let result = match *step {
            ";" => watch.handle_comment(&mut request).map_err(drop),
            "request" => Err(()),
            "garbage" => watch
                .handle_event(&mut request, Some("6"), "{\"rev\":6,")
                .map_err(drop),
            numbered => {
                let (number, rest) = numbered.split_once(' ').expect("N instances");
                let (complete, rest) = rest
                    .strip_prefix("list ")
                    .map_or((false, rest), |rest| (true, rest));
                let id = Some(number).filter(|n| *n != "-");
                watch
                    .handle_event(&mut request, id, &event(number, complete, rest))
                    .map_err(drop)
            }
        };
        match result {
            Ok(update) => update.into_iter().for_each(&mut apply),
            Err(_) => {
                request = watch.begin_request();
                requests.push(request.after());
            }
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
// A gap: the events are requested once more; if the gap stays, its numbers were never used.
#[case::gap_filled(&["7 b:d", "6 a:d", "7 b:d"], "a:draining b:draining c:ready", &[5, 5])]
#[case::gap_that_stays(&["7 b:d", "7 b:d", "8 a:d"], "a:draining b:draining c:ready", &[5, 5])]
// The valid instances of an event with a fault are used; when it is received again it does not undo later events.
#[case::fault_once(&["6 a:d b:?", "6 a:d b:d"], "a:draining b:draining c:ready", &[5, 5])]
#[case::fault_twice(&["6 a:d b:?", "6 a:d b:?", "7 a:r", "request", "6 a:d b:d", "7 a:r"],
    "a:ready b:draining c:ready", &[5, 5, 5])]
#[case::no_json(&["garbage", "garbage", "7 c:d", "request", "6 a:d c:r", "7 c:d"],
    "a:draining b:ready c:draining", &[5, 5, 5])]
#[case::lasting_fault(&["6 b:?", "6 b:?", "request", "6 b:?", "request", "6 b:?", "request", "6 b:?", "request"],
    "a:ready b:ready c:ready", &[5, 5, 5, 5, 5, 6])]
// No endpoint is gone because it is missing from a list with an invalid part.
#[case::list_with_a_fault(&["6 list a:r d:?", "6 list a:r d:?"], "a:ready b:ready c:ready", &[5, 5])]
#[case::list_received_again(&["6 list a:r d:?", "6 list a:r d:?", "7 e:r a:d", "request", "6 list a:r d:r", "7 e:r a:d"],
    "a:draining d:ready e:ready", &[5, 5, 5])]
// An event without any number is requested once more, then it counts as the newest.
#[case::no_number(&["- a:d", "- a:d"], "a:draining b:ready c:ready", &[5, 5])]
// A service that has restarted its event numbers sends its list first and then comments.
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
    assert_eq!(run(steps), (list.to_owned(), requests.to_vec()));
}

/// An event without a valid id in the stream is numbered by its data: it is not a repetition of the event before it.
#[test]
fn an_event_without_an_id_is_not_lost() {
    let mut watch = WatchState::from_known_events(&Object::new()).state;
    let mut request = watch.begin_request();
    assert!(watch
        .handle_event(&mut request, Some("1"), &event("1", true, "a:r"))
        .expect("a valid event")
        .is_some());
    assert!(watch
        .handle_event(&mut request, None, &event("2", false, "a:d"))
        .expect("a valid event")
        .is_some());
    assert!(watch
        .handle_event(&mut request, Some("x"), &event("3", false, "a:g"))
        .expect("a valid event")
        .is_some());
    assert_eq!(watch.last_event(), 3);
}
