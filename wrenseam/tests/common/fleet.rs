//! Several processes of the program that gossip.
use super::program::{door, SETTINGS};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Several processes of the program with the fleet on, gossiping on loopback; no workers.
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// One process of a fleet: its child, its door and its gossip address.
pub struct Node {
    child: Child,
    pub door: SocketAddr,
    pub gossip: SocketAddr,
}

impl Fleet {
    /// Starts `n` processes; each after the first joins by way of the first.
    pub fn new(n: usize) -> Fleet {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("fleet-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the files");
        let mut fleet = Fleet {
            nodes: Vec::new(),
            folder,
        };
        for i in 0..n {
            let seed = fleet.nodes.first().map(|n: &Node| n.gossip);
            let node = fleet.start(i, "127.0.0.1:0".parse().expect("an address"), seed);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&self, i: usize, gossip: SocketAddr, seed: Option<SocketAddr>) -> Node {
        let seeds = seed.map_or(String::new(), |s| format!(r#""{s}""#));
        let file = self.folder.join(format!("fleet-{i}.json"));
        let text = format!(
            r#"{{"listen":"{gossip}","seeds":[{seeds}],"cluster":"test","expected":1,"probe_ms":100,"suspect_ms":300,"capacity":10,"shed_order":["tile-render"]}}"#
        );
        std::fs::write(&file, text).expect("written");
        let config = self.folder.join(format!("config-{i}.json"));
        let told = format!(
            r#"{{"name":"f{i}","seed":"{i:x}","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":256}},"settings":{SETTINGS},"known":{{"rev":0,"notices":[]}}}}"#
        );
        std::fs::write(&config, told).expect("written");
        let tmp = self.folder.join(format!("tmp-{i}"));
        std::fs::create_dir_all(&tmp).expect("a folder");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("TMPDIR", &tmp)
            .env("WRENSEAM_FLEET", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (mut gossip, mut door) = (None, None);
        while gossip.is_none() || door.is_none() {
            let line = lines.next().expect("a line of the log").expect("text");
            let address = || {
                line.rsplit_once(" listens on ")
                    .map(|(_, a)| a.parse().expect("an address"))
            };
            if line.contains("gossip listens on") {
                gossip = address();
            } else if line.contains("the operators' door listens on") {
                door = address();
            }
        }
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| eprintln!("  f{i}: {line}"))
        });
        Node {
            child,
            door: door.expect("read"),
            gossip: gossip.expect("read"),
        }
    }

    /// Ends process `i` at once, as a crash would.
    pub fn kill(&mut self, i: usize) {
        let _ = self.nodes[i].child.kill();
        let _ = self.nodes[i].child.wait();
    }

    /// Starts process `i` again at its gossip address, joining by way of process `by`.
    pub fn restart(&mut self, i: usize, by: usize) {
        let (gossip, seed) = (self.nodes[i].gossip, self.nodes[by].gossip);
        self.nodes[i] = self.start(i, gossip, Some(seed));
    }

    /// Whether process `i` still runs.
    pub fn running(&mut self, i: usize) -> bool {
        self.nodes[i].child.try_wait().expect("asked").is_none()
    }

    /// A figure of process `i`'s telemetry, by its name.
    pub fn figure(&self, i: usize, name: &str) -> Option<u64> {
        let told = door(self.nodes[i].door, "telemetry\n");
        told.lines()
            .find_map(|l| l.strip_prefix(name).and_then(|r| r.strip_prefix(':')))
            .and_then(|r| r.split('|').next())
            .and_then(|n| n.parse().ok())
    }

    /// Waits until process `i` counts `peers` alive; how long that took.
    pub fn until_peers(&self, i: usize, peers: u64, within: Duration) -> Duration {
        let since = Instant::now();
        loop {
            if self.figure(i, "app.fleet.peers") == Some(peers) {
                return since.elapsed();
            }
            assert!(
                since.elapsed() < within,
                "f{i} counts {:?} peers, not {peers}",
                self.figure(i, "app.fleet.peers")
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
    }
}
