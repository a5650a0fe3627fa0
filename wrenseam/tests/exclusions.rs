//! The file of excluded worker ids after `exclude` and `include` commands: with each reply of the core, and with
//! changes by concurrent commands.
use rstest::rstest;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
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

/// Guards against commands of the two processes of an upgrade that overwrite each other's changes in the file: an
/// exclusion that had been confirmed was then taken back. Each thread stands for a door of one of the processes.
#[rstest]
#[case::one_caller_each(1, 200)]
#[case::four_callers_each(4, 50)]
#[case::eight_callers_each(8, 10)]
fn commands_of_two_processes_do_not_overwrite_each_other(
    #[case] callers_each: usize,
    #[case] commands: usize,
) {
    let path = test_path(&format!("two-processes-{callers_each}"));
    let kept = format!("kept-{callers_each}");
    write_exclusions(&path, &ids(&[&kept]));
    let callers: Vec<_> = (0..2 * callers_each)
        .map(|caller| {
            let path = path.clone();
            std::thread::spawn(move || {
                for number in 0..commands {
                    let id = format!("w{caller}-{number}");
                    let excluded = update(&path, AdminCommand::Exclude(id.clone()));
                    assert_eq!(excluded, format!("YES excluded {id}\n"));
                    if number % 2 == 1 {
                        let included = update(&path, AdminCommand::Include(id.clone()));
                        assert_eq!(included, format!("YES included {id}\n"));
                    }
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("all commands are confirmed");
    }
    let mut expected: BTreeSet<String> = (0..2 * callers_each)
        .flat_map(|caller| (0..commands).map(move |number| (caller, number)))
        .filter(|(_, number)| number % 2 == 0)
        .map(|(caller, number)| format!("w{caller}-{number}"))
        .collect();
    expected.insert(kept);
    assert_eq!(read_exclusions(&path).expect("read"), expected);
    let _ = std::fs::remove_file(&path);
}

/// Executes a command that the core confirms, and returns the reply.
fn update(path: &Path, command: AdminCommand) -> String {
    let reply = update_exclusions(path, command, |command| {
        Ok(match command {
            AdminCommand::Exclude(id) => AdminReply::Excluded(id),
            AdminCommand::Include(id) => AdminReply::Included(id),
            other => panic!("{other:?}"),
        })
    });
    render(&reply)
}

/// Guards against a command for a worker that one process does not know yet, which took back the same exclusion by the
/// other process: the file has no change of a command that the core refused.
#[test]
fn an_exclusion_is_not_taken_back_by_a_process_that_does_not_know_the_worker() {
    let path = test_path("unknown");
    write_exclusions(&path, &ids(&[]));
    let exclude = AdminCommand::Exclude("b".to_owned());
    let unknown = update_exclusions(&path, exclude.clone(), |_| {
        assert_eq!(update(&path, exclude.clone()), "YES excluded b\n");
        Ok(AdminReply::UnknownWorker("b".to_owned()))
    });
    assert_eq!(render(&unknown), "NO unknown b\n");
    assert_eq!(read_exclusions(&path).expect("read"), ids(&["b"]));
    let _ = std::fs::remove_file(&path);
}

/// While another process holds the lock of the file, as one may that was stopped meanwhile, a command is not confirmed, and
/// the file stays as it is. The lock ends with its holder.
#[test]
fn a_command_is_not_confirmed_while_the_file_stays_locked() {
    let path = test_path("locked");
    write_exclusions(&path, &ids(&["a"]));
    let lock = std::fs::File::create(path.with_extension("lock")).expect("a file");
    lock.lock().expect("free");
    let exclude = || update(&path, AdminCommand::Exclude("b".to_owned()));
    assert_eq!(exclude(), "NO busy\n");
    assert_eq!(read_exclusions(&path).expect("read"), ids(&["a"]));
    drop(lock);
    assert_eq!(exclude(), "YES excluded b\n");
    assert_eq!(read_exclusions(&path).expect("read"), ids(&["a", "b"]));
    let _ = std::fs::remove_file(&path);
}
