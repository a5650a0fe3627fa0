//! The operators' door: one line in, one line that begins with `YES` or `NO` out, then the close. Thin: the
//! words are read in [`AdminCommand::parse`], and every call is the core's to answer.
use super::ListenerContext;
use crate::model::AdminCommand;
use crate::net::{resume_on_scheduler, sleep, spawn, timed_out};
use crate::queue::Message;
use crate::succession::Succession;
use may::net::{TcpListener, TcpStream};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest line a caller may send, newline included.
pub const LINE: usize = 256;
/// Callers served at once; more are closed at once. Guards descriptors and the core's queue.
pub const CALLERS: usize = 8;
/// Whoever has not sent a whole line by then is closed.
pub const READ: Duration = Duration::from_millis(900);
/// The core's answer is waited for so long, then the caller hears `NO busy`.
pub const ANSWER: Duration = Duration::from_millis(800);

impl AdminCommand {
    /// The call that a line names, or why it names none.
    pub fn parse(line: &str) -> Result<AdminCommand, &'static str> {
        let mut words = line.split_ascii_whitespace();
        let (verb, word, more) = (words.next(), words.next(), words.next());
        let id = || match word {
            Some(id) if more.is_none() && id.len() <= 128 => Ok(id.to_owned()),
            _ => Err("one id is wanted"),
        };
        let none = |call: AdminCommand| {
            if word.is_none() {
                Ok(call)
            } else {
                Err("this call takes no argument")
            }
        };
        match verb {
            Some("readyz") => none(AdminCommand::Readyz),
            Some("telemetry") => none(AdminCommand::Telemetry),
            Some("evacuate") => none(AdminCommand::Evacuate),
            Some("activate") => none(AdminCommand::Activate),
            Some("exclude") => id().map(AdminCommand::Exclude),
            Some("include") => id().map(AdminCommand::Include),
            Some(_) => Err("unknown call"),
            None => Err("empty line"),
        }
    }
}

/// Accepts callers until the program ends.
pub fn accept(listener: &TcpListener, context: &ListenerContext) {
    let callers = Arc::new(AtomicUsize::new(0));
    let stack = context.limits.stack;
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                if callers.fetch_add(1, Ordering::AcqRel) >= CALLERS {
                    callers.fetch_sub(1, Ordering::AcqRel);
                    note!("admin: caller {peer} closed, {CALLERS} are served already");
                    continue;
                }
                let (context, callers) = (context.clone(), callers.clone());
                let serve = move || {
                    serve(stream, &context);
                    callers.fetch_sub(1, Ordering::AcqRel);
                };
                if let Err(e) = spawn(stack, serve) {
                    note!("admin: caller {peer} closed: {e}");
                }
            }
            Err(e) => {
                note!("admin: accept: {e}");
                sleep(Duration::from_millis(10));
            }
        }
    }
}

/// One caller: a line within its time, the core's answer, the close.
fn serve(mut stream: TcpStream, context: &ListenerContext) {
    let answer = match read_line(&mut stream) {
        Ok(line) => match AdminCommand::parse(&line) {
            Ok(call @ (AdminCommand::Exclude(_) | AdminCommand::Include(_))) => {
                handed(&handover(), call, |call| ask(context, call))
            }
            Ok(call) => ask(context, call),
            Err(why) => format!("NO {why}\n"),
        },
        Err(why) => {
            note!("admin: caller closed: {why}");
            return;
        }
    };
    let _ = stream.set_write_timeout(Some(ANSWER));
    if let Err(e) = stream.write_all(answer.as_bytes()) {
        note!("admin: answer not written: {e}");
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn read_line(stream: &mut TcpStream) -> Result<String, String> {
    let since = Instant::now();
    let mut line = Vec::with_capacity(64);
    let mut chunk = [0u8; LINE];
    stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .map_err(|e| e.to_string())?;
    loop {
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            return String::from_utf8(line).map_err(|_| "the line is not text".to_owned());
        }
        if line.len() >= LINE {
            return Err("the line is too long".to_owned());
        }
        if since.elapsed() > READ {
            return Err("no whole line in time".to_owned());
        }
        match stream.read(&mut chunk[..LINE - line.len()]) {
            Ok(0) if !line.is_empty() => {
                // A caller that closes its side after the line, without a newline, has said it all.
                return String::from_utf8(line).map_err(|_| "the line is not text".to_owned());
            }
            Ok(0) => return Err("closed before a line".to_owned()),
            Ok(n) => line.extend_from_slice(&chunk[..n]),
            Err(e) if timed_out(&e) => {}
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// The core's answer to a call, or `NO` if it does not come in time.
pub fn ask(context: &ListenerContext, call: AdminCommand) -> String {
    let (reply, answer) = may::sync::mpsc::channel();
    if context
        .core
        .send(Message::Admin {
            command: call,
            reply,
        })
        .is_err()
    {
        return "NO the core is ending\n".to_owned();
    }
    let told = answer.recv_timeout(ANSWER);
    resume_on_scheduler();
    told.unwrap_or_else(|_| "NO busy\n".to_owned())
}

/// Where the processes of this front end keep the excluded ids: `$TMPDIR`, which a replacing process shares.
pub fn handover() -> PathBuf {
    std::env::temp_dir().join("wrenseam-excluded")
}

/// The excluded ids in the file; none if there is none.
pub fn read_excluded(path: &Path) -> BTreeSet<String> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines()
        .map(str::trim)
        .filter(|l| !l.is_empty())
        .map(str::to_owned)
        .collect()
}

fn write_excluded(path: &Path, set: &BTreeSet<String>) {
    let text: String = set.iter().map(|id| format!("{id}\n")).collect();
    write_whole(path, &text, "exclusions");
}

fn write_whole(path: &Path, text: &str, what: &str) {
    let new = path.with_extension("new");
    // Written whole, then renamed: the other process never reads half a file.
    if let Err(e) = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path)) {
        note!("admin: {what} not kept for a replacing process: {e}");
    }
}

/// The file in `$TMPDIR` that names the process of a front end that started last, and this one's part in that.
pub struct Named(PathBuf, Succession);

impl Named {
    /// Names this process, whose front end has this name: it is to have that one's seats at cold workers.
    pub fn new(front_end: &str, seed: u64) -> Named {
        let name: String = front_end
            .chars()
            .filter(char::is_ascii_alphanumeric)
            .collect();
        let path = std::env::temp_dir().join(format!("wrenseam-process-{name}"));
        let before = std::fs::read_to_string(&path).ok();
        let succession = Succession::new(
            format!("{}-{seed:x}", std::process::id()),
            before.as_deref(),
        );
        write_whole(&path, succession.own(), "seats");
        Named(path, succession)
    }

    /// Whether it leaves the seats to another now.
    pub fn aside(&self) -> bool {
        self.1.aside()
    }

    /// Looks who is named; whether it leaves the seats now, where that has changed.
    fn look(&mut self) -> Option<bool> {
        let before = self.aside();
        let now = self
            .1
            .looked(std::fs::read_to_string(&self.0).ok().as_deref());
        (now != before).then_some(now)
    }
}

/// Changes the set as an exclude or include asks, or takes that change back; whether it is another now.
fn amend(set: &mut BTreeSet<String>, call: &AdminCommand, back: bool) -> bool {
    match call {
        AdminCommand::Exclude(id) if !back => set.insert(id.clone()),
        AdminCommand::Include(id) if back => set.insert(id.clone()),
        AdminCommand::Exclude(id) | AdminCommand::Include(id) => set.remove(id),
        _ => false,
    }
}

/// An exclude or include: the file first, so that no look at it undoes the call, then the core. Only an id that
/// nobody has is taken back, and nothing else with it: calls come at the same time, and a core that is busy
/// still does what it was asked.
fn handed(path: &Path, call: AdminCommand, ask: impl FnOnce(AdminCommand) -> String) -> String {
    let mut set = read_excluded(path);
    let changed = amend(&mut set, &call, false);
    if changed {
        write_excluded(path, &set);
    }
    let asked = call.clone();
    let answer = ask(call);
    if changed && answer.starts_with("NO unknown") {
        let mut set = read_excluded(path);
        if amend(&mut set, &asked, true) {
            write_excluded(path, &set);
        }
    }
    answer
}

/// Hands the file's exclusions to the core at the start and whenever the file changes: a process that
/// replaces another keeps its bans. Looks, too, who is named as the process that started last.
pub fn follow(context: &ListenerContext, mut named: Named) {
    let path = handover();
    let mut last = None;
    loop {
        if let Some(aside) = named.look() {
            note!(
                "admin: seats at cold workers {}",
                if aside {
                    "left to a new process"
                } else {
                    "taken over"
                }
            );
            let _ = context.core.send(Message::Standby(aside));
        }
        let set = read_excluded(&path);
        if last.as_ref() != Some(&set) {
            if context.core.send(Message::Exclusions(set.clone())).is_err() {
                return;
            }
            last = Some(set);
        }
        sleep(LOOK);
    }
}

/// How often the file of exclusions is looked at.
pub const LOOK: Duration = Duration::from_millis(250);

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Seen on the bench: an exclude at the same moment as an include was lost to the process that came next. What the
    /// core answers late, or another call does meanwhile, leaves the file as it was asked to be.
    #[rstest]
    #[case::done(AdminCommand::Exclude("b".into()), "YES excluded b\n", &["a", "b", "m"])]
    #[case::late(AdminCommand::Exclude("b".into()), "NO busy\n", &["a", "b", "m"])]
    #[case::nobody(AdminCommand::Exclude("b".into()), "NO unknown b\n", &["a", "m"])]
    #[case::back(AdminCommand::Include("a".into()), "YES included a\n", &["m"])]
    #[case::back_late(AdminCommand::Include("a".into()), "NO busy\n", &["m"])]
    fn the_file_of_exclusions_follows_each_call(
        #[case] call: AdminCommand,
        #[case] answer: &str,
        #[case] left: &[&str],
    ) {
        let name = format!(
            "wrenseam-{}-{:?}-{}",
            std::process::id(),
            call,
            answer.len()
        )
        .replace(['"', '('], "");
        let path = std::env::temp_dir().join(name);
        let set = |ids: &[&str]| ids.iter().map(|&id| id.to_owned()).collect::<BTreeSet<_>>();
        write_excluded(&path, &set(&["a"]));
        let got = handed(&path, call, |_| {
            let mut meanwhile = read_excluded(&path);
            meanwhile.insert("m".to_owned());
            write_excluded(&path, &meanwhile);
            answer.to_owned()
        });
        assert_eq!((got.as_str(), read_excluded(&path)), (answer, set(left)));
        let _ = std::fs::remove_file(&path);
    }
}
