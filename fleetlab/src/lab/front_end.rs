//! The front ends of a run: their files, their start, and what they listen on.
use super::{Lab, QUOTA};
use crate::process::{follow, Process};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// A front end that writes nothing for so long before it listens is given up, as a fleet that does not form.
const LISTENS: Duration = Duration::from_secs(10);

/// The settings every front end of the lab is given: the classes the gateways use, one tenant.
const SETTINGS: &str = r#"{"balancers":$FRONTS,$INDEX"classes":[
 {"effect":"$EFFECT","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1}],
 "failure-domains":["hall-a","hall-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":$QUOTA}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

/// One process of the program.
pub(super) struct Front {
    pub(super) child: Process,
    pub(super) admin: SocketAddr,
    pub(super) kserve: SocketAddr,
    /// Its gossip socket, kept across a restart.
    pub(super) gossip: Option<SocketAddr>,
}

/// A front end that has been started, and the lines of its log.
pub(super) struct Starting {
    pub(super) f: usize,
    pub(super) child: Process,
    pub(super) lines: Receiver<String>,
}

impl Lab {
    /// The settings of a front end, by the scenario.
    fn settings(&self, f: usize) -> String {
        let s = &self.scenario;
        let numbered = s.numbered.unwrap_or(false);
        let index = if numbered {
            format!("\"index\":{f},")
        } else {
            String::new()
        };
        SETTINGS
            .replace(
                "$FRONTS",
                &(if numbered { s.fronts } else { 1 }).to_string(),
            )
            .replace("$INDEX", &index)
            .replace("$EFFECT", s.effect.as_deref().unwrap_or("retryable"))
            .replace("$QUOTA", &s.quota_per_s.unwrap_or(QUOTA).to_string())
    }

    /// Starts those of these front ends that do not run, all at once, joining by way of one that does.
    pub(super) fn restart(&self, fronts: &[usize]) -> Result<Vec<(usize, Front)>, String> {
        let runs = |&o: &usize| self.fronts[o].child.is_held();
        let by = (0..self.fronts.len()).find(runs);
        let starting = fronts
            .iter()
            .filter(|f| !runs(f))
            .map(|&f| self.launch(f, by));
        let starting = starting.collect::<Result<Vec<_>, _>>()?;
        starting
            .into_iter()
            .map(|s| Ok((s.f, self.stands(s)?)))
            .collect()
    }

    /// Starts front end `f`, joining by way of `by`'s relay (else the first's, unless it is the first).
    pub(super) fn launch(&self, f: usize, by: Option<usize>) -> Result<Starting, String> {
        let s = &self.scenario;
        let write = |name: String, text: String| -> Result<PathBuf, String> {
            let path = self.folder.join(name);
            std::fs::write(&path, text).map_err(|e| e.to_string())?;
            Ok(path)
        };
        let config = write(
            format!("config-{f}.json"),
            format!(
                r#"{{"name":"lab{f}","seed":"{:x}","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":1024}},"settings":{},"known":{{"rev":0,"notices":[]}}}}"#,
                s.seed.wrapping_add(f as u64),
                self.settings(f)
            ),
        )?;
        let kserve = write(
            format!("kserve-{f}.json"),
            format!(
                r#"{{"listen":"127.0.0.1:0","endpoints":"{}"}}"#,
                self.endpoints.display()
            ),
        )?;
        let tmp = self.folder.join(format!("tmp-{f}"));
        std::fs::create_dir_all(&tmp).map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.program);
        command
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", &tmp)
            .env("WRENSEAM_KSERVE", &kserve)
            .stderr(Stdio::piped());
        let known = self.fronts.get(f).and_then(|old| old.gossip);
        if s.fleet {
            let seed = by
                .or((f > 0).then_some(0))
                .map(|b| format!(r#""{}""#, self.relays[b]));
            let listen = known.map_or("127.0.0.1:0".to_owned(), |a| a.to_string());
            let fleet = write(
                format!("fleet-{f}.json"),
                format!(
                    r#"{{"listen":"{listen}","advertise":"{}","seeds":[{}],"cluster":"lab","expected":{},"probe_ms":{},"suspect_ms":{},"capacity":64,"shed_order":["tile-render"]}}"#,
                    self.relays[f],
                    seed.unwrap_or_default(),
                    s.fronts,
                    s.probe_ms.unwrap_or(200),
                    s.suspect_ms.unwrap_or(600),
                ),
            )?;
            command.env("WRENSEAM_FLEET", fleet);
        }
        let mut child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        let log = child.stderr.take().ok_or("no log")?;
        let lines = follow(log, self.log(f));
        Ok(Starting {
            f,
            child: Process::new(child),
            lines,
        })
    }

    /// Waits until a front end listens everywhere.
    pub(super) fn stands(&self, starting: Starting) -> Result<Front, String> {
        let Starting { f, child, lines } = starting;
        let (mut admin, mut front, mut gossip) = (None, None, None);
        let mut last_line = "nothing".to_owned();
        while admin.is_none() || front.is_none() || (self.scenario.fleet && gossip.is_none()) {
            let line = lines.recv_timeout(LISTENS).map_err(|e| match e {
                RecvTimeoutError::Timeout => {
                    format!(
                        "front end {f} says nothing and does not listen; it said last: {last_line}"
                    )
                }
                RecvTimeoutError::Disconnected => {
                    format!("front end {f} ended before it listened; it said last: {last_line}")
                }
            })?;
            let address = || {
                line.rsplit_once(" listens on ")
                    .and_then(|(_, a)| a.parse().ok())
            };
            if line.contains("the operators' door listens on") {
                admin = address();
            } else if line.contains("KServe v2 listens on") {
                front = address();
            } else if line.contains("gossip listens on") {
                gossip = address();
            }
            last_line = line;
        }
        if let Some(g) = gossip {
            self.real.write().map_err(|_| "poisoned")?[f] = Some(g);
        }
        Ok(Front {
            child,
            admin: admin.ok_or("no admin listener")?,
            kserve: front.ok_or("no front")?,
            gossip,
        })
    }
}
