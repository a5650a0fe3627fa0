//! The file of excluded worker ids after `exclude` and `include` commands: with each reply of the core, and with
//! changes by concurrent commands.
use rstest::rstest;
use std::collections::BTreeSet;
use std::path::PathBuf;
use wrenseam::front::admin::{
    read_exclusions, render, update_exclusions, write_exclusions, AdminError, ExclusionCommands,
};
use wrenseam::model::{AdminCommand, AdminReply};

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|&id| id.to_owned()).collect()
}

/// Guards against a fault in which an `exclude` that ran at the same time as an `include` was missing from the file, so
/// that the next process did not know it. A late reply of the core, or a concurrent command, must not undo a change.
#[rstest]
#[case::exclude(AdminCommand::Exclude("b".into()), Ok(AdminReply::Excluded("b".into())), "YES excluded b\n", &["a", "b", "m"])]
#[case::exclude_without_reply(AdminCommand::Exclude("b".into()), Err(AdminError::Busy), "NO busy\n", &["a", "b", "m"])]
#[case::exclude_unknown_worker(AdminCommand::Exclude("b".into()), Ok(AdminReply::UnknownWorker("b".into())), "NO unknown b\n", &["a", "m"])]
#[case::include(AdminCommand::Include("a".into()), Ok(AdminReply::Included("a".into())), "YES included a\n", &["m"])]
#[case::include_without_reply(AdminCommand::Include("a".into()), Err(AdminError::Busy), "NO busy\n", &["m"])]
fn the_file_of_exclusions_follows_each_command(
    #[case] command: AdminCommand,
    #[case] reply: Result<AdminReply, AdminError>,
    #[case] reply_text: &str,
    #[case] excluded: &[&str],
) {
    let name = format!(
        "wrenseam-{}-{:?}-{}",
        std::process::id(),
        command,
        reply_text.len()
    )
    .replace(['"', '('], "");
    let path = std::env::temp_dir().join(name);
    write_exclusions(&path, &ids(&["a"]));
    let result = update_exclusions(&path, command, |_| {
        // Another command excludes `m` before the core replies.
        let mut concurrent = read_exclusions(&path).expect("read");
        concurrent.insert("m".to_owned());
        write_exclusions(&path, &concurrent);
        reply
    });
    assert_eq!(render(&result), reply_text);
    assert_eq!(read_exclusions(&path).expect("read"), ids(excluded));
    let _ = std::fs::remove_file(&path);
}

/// The path of a file that no other test uses.
fn test_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("wrenseam-{}-{name}", std::process::id()))
}

/// A file that cannot be read is an error. It must not count as empty, which would include all workers again.
#[test]
fn an_unreadable_file_does_not_count_as_empty() {
    let path = test_path("unreadable");
    std::fs::create_dir_all(&path).expect("a folder in place of the file");
    assert!(read_exclusions(&path).is_err());
    let commands = ExclusionCommands::default();
    assert!(commands.read_settled(&path).is_err());
    let _ = std::fs::remove_dir(&path);
    assert_eq!(read_exclusions(&path).expect("no file"), ids(&[]));
}

/// A command for an unknown worker changes the file until the core has replied. A poll must not apply that change.
#[test]
fn a_poll_ignores_the_changes_of_a_running_command() {
    let path = test_path("running");
    write_exclusions(&path, &ids(&["a"]));
    let commands = ExclusionCommands::default();
    let exclude = AdminCommand::Exclude("nobody".into());
    let running = commands.begin();
    let reply = update_exclusions(&path, exclude, |_| {
        assert_eq!(commands.read_settled(&path).expect("read"), None);
        Ok(AdminReply::UnknownWorker("nobody".into()))
    });
    assert_eq!(render(&reply), "NO unknown nobody\n");
    assert_eq!(commands.read_settled(&path).expect("read"), None);
    drop(running);
    let settled = commands.read_settled(&path).expect("read");
    assert_eq!(settled, Some(ids(&["a"])));
    let _ = std::fs::remove_file(&path);
}
