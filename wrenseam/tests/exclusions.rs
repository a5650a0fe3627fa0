//! The file of excluded ids follows each command, whatever the core replies and whoever else writes meanwhile.
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

/// Seen on the bench: an exclude at the same moment as an include was lost to the process that came next. What the
/// core answers late, or another command does meanwhile, leaves the file as it was asked to be.
#[rstest]
#[case::done(AdminCommand::Exclude("b".into()), Ok(AdminReply::Excluded("b".into())), "YES excluded b\n", &["a", "b", "m"])]
#[case::late(AdminCommand::Exclude("b".into()), Err(AdminError::Busy), "NO busy\n", &["a", "b", "m"])]
#[case::nobody(AdminCommand::Exclude("b".into()), Ok(AdminReply::UnknownWorker("b".into())), "NO unknown b\n", &["a", "m"])]
#[case::back(AdminCommand::Include("a".into()), Ok(AdminReply::Included("a".into())), "YES included a\n", &["m"])]
#[case::back_late(AdminCommand::Include("a".into()), Err(AdminError::Busy), "NO busy\n", &["m"])]
fn the_file_of_exclusions_follows_each_command(
    #[case] command: AdminCommand,
    #[case] reply: Result<AdminReply, AdminError>,
    #[case] answer: &str,
    #[case] left: &[&str],
) {
    let name = format!(
        "wrenseam-{}-{:?}-{}",
        std::process::id(),
        command,
        answer.len()
    )
    .replace(['"', '('], "");
    let path = std::env::temp_dir().join(name);
    write_exclusions(&path, &ids(&["a"]));
    let got = update_exclusions(&path, command, |_| {
        let mut meanwhile = read_exclusions(&path).expect("read");
        meanwhile.insert("m".to_owned());
        write_exclusions(&path, &meanwhile);
        reply
    });
    assert_eq!(render(&got), answer);
    assert_eq!(read_exclusions(&path).expect("read"), ids(left));
    let _ = std::fs::remove_file(&path);
}

/// A file of this test's own.
fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("wrenseam-{}-{name}", std::process::id()))
}

#[test]
fn a_file_that_cannot_be_read_lifts_no_exclusion() {
    let path = path("unreadable");
    std::fs::create_dir_all(&path).expect("a folder in its place");
    assert!(read_exclusions(&path).is_err());
    let commands = ExclusionCommands::default();
    assert!(commands.read_settled(&path).is_err());
    let _ = std::fs::remove_dir(&path);
    assert_eq!(read_exclusions(&path).expect("there is none"), ids(&[]));
}

#[test]
fn a_poll_takes_no_change_of_a_command_that_is_running() {
    let path = path("running");
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
