//! The front ends of a run: their configuration files, how they are started, and their listening addresses.
use super::Lab;
use crate::error::LabError;
use crate::process::{follow_log, Process};
use crate::scenario::{DEFAULT_PROBE_MS, DEFAULT_SUSPECT_MS};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Maximum time between two log lines of a front end that does not listen yet; the run fails after it.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Listening address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Template of the front ends' settings, with the class and the tenant of the load. The names that begin with `$` are
/// replaced by values of the scenario.
const SETTINGS_TEMPLATE: &str = r#"{"balancers":$FRONTS,$INDEX"classes":[
 {"effect":"$EFFECT","goal-time":400,"key-scope":"all","memory-span":5000,"name":"tile-render","worth":1}],
 "failure-domains":["hall-a","hall-b"],"flavors":["std"],"tenants":[{"name":"acme","portion":1,"quota-per-s":$QUOTA}],
 "family-info":{"free-loads":4,"keep":8000,"load-span":5000,"load-wait":4000,"loads-per-request":0.15,
 "machine-mb":[90000],"orders":true,"tells-crowd":true,"tells-warm":true,"when-absent":"load"},
 "limits":{"conn-idle":15000,"connect-timeout":250,"max-attempts":3,"max-retry-after":1000,"may-cancel":true,
 "retry-after":true,"second-copies":false,"streams-per-conn":100},"rules":{"cold-from":0.2,"fall":1000,
 "fall-multiple":2,"warm-within":17000}}"#;

/// A front end that listens, or has listened before it ended.
pub(super) struct FrontEnd {
    pub(super) process: Process,
    pub(super) admin: SocketAddr,
    pub(super) kserve: SocketAddr,
    /// Address of its gossip socket, which a restart reuses; `None` without a fleet.
    gossip: Option<SocketAddr>,
    /// Whether a fault has ended the process, so that its exit is expected.
    pub(super) ended_by_fault: bool,
}

/// A front end that has been started and does not listen yet, with the lines of its log.
struct StartingFrontEnd {
    index: usize,
    process: Process,
    lines: Receiver<String>,
}

/// A restarted front end that listens.
struct RestartedFrontEnd {
    index: usize,
    front: FrontEnd,
}

/// The listening addresses of a front end; `None` until its log states them.
#[derive(Default)]
struct Listeners {
    admin: Option<SocketAddr>,
    kserve: Option<SocketAddr>,
    gossip: Option<SocketAddr>,
}

impl Listeners {
    /// Takes the address from a log line that states one; ignores other lines.
    fn update(&mut self, line: &str) {
        let listener = if line.contains("the operators' door listens on") {
            &mut self.admin
        } else if line.contains("KServe v2 listens on") {
            &mut self.kserve
        } else if line.contains("gossip listens on") {
            &mut self.gossip
        } else {
            return;
        };
        let address = line.rsplit_once(" listens on ");
        *listener = address.and_then(|(_, address)| address.parse().ok());
    }
}

impl Lab {
    /// Starts all front ends, each after the one before it listens, and sets the targets of the load.
    pub(super) fn start_front_ends(&mut self) -> Result<(), LabError> {
        for index in 0..self.scenario.fronts {
            let front = self.wait_until_listening(self.launch(index, None)?)?;
            self.fronts.push(front);
        }
        let kserve = self.fronts.iter().map(|front| front.kserve).collect();
        *self.targets.write().map_err(|_| LabError::PoisonedLock)? = kserve;
        Ok(())
    }

    /// Restarts those of these front ends that the lab has ended, all at once. The run's clock is paused until all
    /// listen.
    pub(super) fn restart_front_ends(&mut self, fronts: &[usize]) -> Result<(), LabError> {
        let clock = &self.metrics.clock;
        let restarted = clock.pause_while(|| self.launch_ended(fronts))?;
        for RestartedFrontEnd { index, front } in restarted {
            self.targets.write().map_err(|_| LabError::PoisonedLock)?[index] = front.kserve;
            self.fronts[index] = front;
        }
        Ok(())
    }

    /// Restarts those of these front ends that the lab has ended, and waits until they listen. They join the fleet
    /// through the first front end that the lab has not ended.
    fn launch_ended(&self, fronts: &[usize]) -> Result<Vec<RestartedFrontEnd>, LabError> {
        let mut fronts_in_order = self.fronts.iter();
        let seed_front = fronts_in_order.position(|front| front.process.is_started());
        let mut starting = Vec::new();
        for &index in fronts {
            if !self.fronts[index].process.is_started() {
                starting.push(self.launch(index, seed_front)?);
            }
        }
        let mut restarted = Vec::new();
        for starting in starting {
            let index = starting.index;
            let front = self.wait_until_listening(starting)?;
            restarted.push(RestartedFrontEnd { index, front });
        }
        Ok(restarted)
    }

    /// Returns the path of a front end's log.
    pub(super) fn log_file(&self, index: usize) -> PathBuf {
        self.folder.join(format!("front-{index}.log"))
    }

    /// Starts a front end, which joins the fleet through the gossip relay of `seed_front`. `None`: through the relay of
    /// front end 0; front end 0 itself then starts without a seed.
    fn launch(
        &self,
        index: usize,
        seed_front: Option<usize>,
    ) -> Result<StartingFrontEnd, LabError> {
        let temporary = self.folder.join(format!("tmp-{index}"));
        std::fs::create_dir_all(&temporary)?;
        let mut command = Command::new(&self.program);
        command
            .env("NODE_CONFIG", self.write_config(index)?)
            .env("NODE_LISTEN", ANY_PORT)
            .env("TMPDIR", &temporary)
            .env("WRENSEAM_KSERVE", self.write_kserve_file(index)?)
            .stderr(Stdio::piped());
        if self.scenario.fleet {
            command.env("WRENSEAM_FLEET", self.write_fleet_file(index, seed_front)?);
        }
        let mut child = command.spawn().map_err(LabError::at(&self.program))?;
        let log = child.stderr.take().ok_or(LabError::NoStderr)?;
        Ok(StartingFrontEnd {
            index,
            process: Process::new(child),
            lines: follow_log(log, self.log_file(index)),
        })
    }

    fn write_file(&self, name: String, text: String) -> Result<PathBuf, LabError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    fn write_config(&self, index: usize) -> Result<PathBuf, LabError> {
        let seed = self.scenario.seed.wrapping_add(index as u64);
        let settings = self.settings(index);
        let text = format!(
            r#"{{"name":"lab{index}","seed":"{seed:x}","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":1024}},"settings":{settings},"known":{{"rev":0,"notices":[]}}}}"#
        );
        self.write_file(format!("config-{index}.json"), text)
    }

    /// Returns a front end's settings for the scenario, in JSON.
    fn settings(&self, index: usize) -> String {
        let scenario = &self.scenario;
        let is_numbered = scenario.numbered.unwrap_or(false);
        let mut fronts = 1;
        let mut index_field = String::new();
        if is_numbered {
            fronts = scenario.fronts;
            index_field = format!("\"index\":{index},");
        }
        SETTINGS_TEMPLATE
            .replace("$FRONTS", &fronts.to_string())
            .replace("$INDEX", &index_field)
            .replace("$EFFECT", scenario.effect.as_deref().unwrap_or("retryable"))
            .replace("$QUOTA", &self.quota_per_s().to_string())
    }

    fn write_kserve_file(&self, index: usize) -> Result<PathBuf, LabError> {
        let endpoints = self.endpoints_file();
        let text = format!(
            r#"{{"listen":"127.0.0.1:0","endpoints":"{}"}}"#,
            endpoints.display()
        );
        self.write_file(format!("kserve-{index}.json"), text)
    }

    fn write_fleet_file(
        &self,
        index: usize,
        seed_front: Option<usize>,
    ) -> Result<PathBuf, LabError> {
        let scenario = &self.scenario;
        let first = if index > 0 { Some(0) } else { None };
        let seed = seed_front
            .or(first)
            .map(|front| format!(r#""{}""#, self.gossip_relays[front]));
        let previous_gossip = self.fronts.get(index).and_then(|previous| previous.gossip);
        let text = format!(
            r#"{{"listen":"{}","advertise":"{}","seeds":[{}],"cluster":"lab","expected":{},"probe_ms":{},"suspect_ms":{},"capacity":64,"shed_order":["tile-render"]}}"#,
            previous_gossip.map_or(ANY_PORT.to_owned(), |address| address.to_string()),
            self.gossip_relays[index],
            seed.unwrap_or_default(),
            scenario.fronts,
            scenario.probe_ms.unwrap_or(DEFAULT_PROBE_MS),
            scenario.suspect_ms.unwrap_or(DEFAULT_SUSPECT_MS),
        );
        self.write_file(format!("fleet-{index}.json"), text)
    }

    /// Waits until a front end has logged all its listening addresses; with a fleet, also that of its gossip socket.
    fn wait_until_listening(&self, starting: StartingFrontEnd) -> Result<FrontEnd, LabError> {
        let StartingFrontEnd {
            index,
            process,
            lines,
        } = starting;
        let mut listeners = Listeners::default();
        let mut last_line = "none".to_owned();
        loop {
            let has_gossip = listeners.gossip.is_some() || !self.scenario.fleet;
            if let (Some(admin), Some(kserve), true) =
                (listeners.admin, listeners.kserve, has_gossip)
            {
                self.record_gossip_socket(index, listeners.gossip)?;
                return Ok(FrontEnd {
                    process,
                    admin,
                    kserve,
                    gossip: listeners.gossip,
                    ended_by_fault: false,
                });
            }
            last_line = match lines.recv_timeout(LISTEN_TIMEOUT) {
                Ok(line) => line,
                Err(error) => return Err(not_listening(index, last_line, error)),
            };
            listeners.update(&last_line);
        }
    }

    /// Tells the relays the gossip socket of a front end: they forward to it, and recognise its datagrams by it.
    fn record_gossip_socket(
        &self,
        index: usize,
        socket: Option<SocketAddr>,
    ) -> Result<(), LabError> {
        if socket.is_some() {
            let mut sockets = self
                .gossip_sockets
                .write()
                .map_err(|_| LabError::PoisonedLock)?;
            sockets[index] = socket;
        }
        Ok(())
    }
}

/// Returns the error for a front end whose log ended or paused too long before it listened.
fn not_listening(front: usize, last_line: String, error: RecvTimeoutError) -> LabError {
    match error {
        RecvTimeoutError::Timeout => LabError::DoesNotListen { front, last_line },
        RecvTimeoutError::Disconnected => LabError::ExitedBeforeListening { front, last_line },
    }
}
