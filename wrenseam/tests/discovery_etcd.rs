//! The updates that result from range and watch bodies of an etcd v3 registry, without I/O.
use base64::{engine::general_purpose::STANDARD, Engine};
use wrenseam::discovery::etcd::{EtcdFollower, EtcdUpdate, ResyncReason};
use wrenseam_policy::{Micros, WorkerState};

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn key_value(id: &str, port: u16, state: &str, created: i64, modified: i64) -> String {
    let value =
        format!(r#"{{"hostPort":"127.0.0.1:{port}","zone":"hall-a","lifecycle":"{state}"}}"#);
    format!(
        r#"{{"key":"{}","value":"{}","create_revision":"{created}","mod_revision":"{modified}"}}"#,
        b64(&format!("/workers/{id}")),
        b64(&value)
    )
}

fn states(update: &EtcdUpdate) -> Vec<(String, WorkerState, Micros)> {
    match update {
        EtcdUpdate::Endpoints(endpoints) => endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint.state, endpoint.started_at))
            .collect(),
        _ => vec![],
    }
}

#[test]
fn a_range_and_then_each_watch_event_are_applied_once() {
    let mut follower = EtcdFollower::new("/workers");
    let range = format!(
        r#"{{"header":{{"cluster_id":"7","revision":"10"}},"kvs":[{},{}]}}"#,
        key_value("a", 1, "ready", 3, 3),
        key_value("b", 2, "ready", 4, 4)
    );
    let update = follower.apply_range(&range, 0).expect("valid");
    assert_eq!(states(&update).len(), 2);
    assert_eq!(follower.revision(), 10);
    let put = |rev: i64, body: &str| {
        format!(
            r#"{{"result":{{"header":{{"cluster_id":"7","revision":"{rev}"}},"events":[{body}]}}}}"#
        )
    };
    let drain = put(
        11,
        &format!(r#"{{"kv":{}}}"#, key_value("a", 1, "draining", 3, 11)),
    );
    let update = follower.apply_watch(&drain, 5).expect("valid");
    assert_eq!(
        states(&update),
        vec![("a".to_owned(), WorkerState::Draining, 0)]
    );
    assert_eq!(
        follower.apply_watch(&drain, 6),
        Ok(EtcdUpdate::Unchanged),
        "a repeated event changes nothing"
    );
    let gone = put(
        12,
        &format!(
            r#"{{"type":"DELETE","kv":{{"key":"{}","mod_revision":"12"}}}}"#,
            b64("/workers/b")
        ),
    );
    assert_eq!(
        states(&follower.apply_watch(&gone, 7).expect("valid")),
        vec![("b".to_owned(), WorkerState::Draining, 0)]
    );
    let again = put(
        13,
        &format!(r#"{{"kv":{}}}"#, key_value("a", 1, "ready", 13, 13)),
    );
    let update = follower.apply_watch(&again, 99).expect("valid");
    assert_eq!(
        states(&update),
        vec![("a".to_owned(), WorkerState::Ready, 99)],
        "created again: a new process, started now"
    );
}

#[test]
fn compaction_a_lower_revision_and_another_cluster_require_a_resync() {
    let mut follower = EtcdFollower::new("/workers");
    let range = format!(
        r#"{{"header":{{"cluster_id":"7","revision":"10"}},"kvs":[{}]}}"#,
        key_value("a", 1, "ready", 3, 3)
    );
    follower.apply_range(&range, 0).expect("valid");
    let compacted = r#"{"result":{"compact_revision":"12","canceled":true}}"#;
    assert_eq!(
        follower.apply_watch(compacted, 1),
        Ok(EtcdUpdate::ResyncRequired(ResyncReason::Compacted))
    );
    let back = r#"{"result":{"header":{"cluster_id":"7","revision":"4"},"events":[]}}"#;
    assert_eq!(
        follower.apply_watch(back, 1),
        Ok(EtcdUpdate::ResyncRequired(ResyncReason::RevisionWentBack))
    );
    let other = r#"{"result":{"header":{"cluster_id":"8","revision":"20"},"events":[]}}"#;
    assert_eq!(
        follower.apply_watch(other, 1),
        Ok(EtcdUpdate::ResyncRequired(ResyncReason::OtherCluster))
    );
    assert!(follower.apply_watch("<html>", 1).is_err());
    // The key `a` is missing after the resync: its endpoint drains.
    let resync = r#"{"header":{"cluster_id":"8","revision":"30"},"kvs":[]}"#;
    assert_eq!(
        states(&follower.apply_range(resync, 2).expect("valid")),
        vec![("a".to_owned(), WorkerState::Draining, 0)]
    );
    assert_eq!(follower.revision(), 30);
}

#[test]
fn an_invalid_value_keeps_the_last_valid_endpoint_and_is_counted() {
    let mut follower = EtcdFollower::new("/workers");
    follower
        .apply_range(
            &format!(r#"{{"kvs":[{}]}}"#, key_value("a", 1, "ready", 3, 3)),
            0,
        )
        .expect("valid");
    let bad = format!(
        r#"{{"result":{{"events":[{{"kv":{{"key":"{}","value":"{}","create_revision":"3","mod_revision":"5"}}}}]}}}}"#,
        b64("/workers/a"),
        b64("not json")
    );
    let update = follower.apply_watch(&bad, 1).expect("valid");
    assert_eq!(
        states(&update),
        vec![("a".to_owned(), WorkerState::Ready, 0)]
    );
    assert_eq!(follower.invalid_values(), 1);
}
