//! Runs several front end processes that form a fleet by gossip over loopback. They have no workers.
use super::program::{
    admin_command, create_folder, create_run_folder, write_file, Program, POLICY_SETTINGS,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Interval at which the telemetry of a front end is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fleet of front end processes.
pub(crate) struct Fleet {
    /// The front ends, in the order of their first start.
    pub(crate) nodes: Vec<Node>,
    /// Directory of the configuration files.
    folder: PathBuf,
}

/// One front end process of a fleet.
#[allow(dead_code, reason = "each test binary uses its own part")]
pub(crate) struct Node {
    program: Program,
    /// Address of the admin endpoint, which accepts command lines over TCP.
    pub(crate) admin_endpoint: SocketAddr,
    /// UDP address of the gossip protocol.
    pub(crate) gossip: SocketAddr,
}

impl Node {
    /// Sends a command line to the admin endpoint and returns the reply.
    pub(crate) fn admin_command(&self, line: &str) -> String {
        admin_command(self.admin_endpoint, line)
    }
}

#[allow(dead_code, reason = "each test binary uses its own part")]
impl Fleet {
    /// Starts `count` front ends. The first is the seed of all others.
    pub(crate) fn new(count: usize) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            folder: create_run_folder("fleet-"),
        };
        for index in 0..count {
            let seed = fleet.nodes.first().map(|node| node.gossip);
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let node = fleet.start(index, any_port, seed);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Starts the front end with this index on a gossip address, with at most one seed.
    fn start(&self, index: usize, gossip: SocketAddr, seed: Option<SocketAddr>) -> Node {
        let fleet_file = self.write_fleet_file(index, gossip, seed);
        let config = self.write_config(index);
        let folder = create_folder(&self.folder.join(format!("tmp-{index}")));
        let environment = [("WRENSEAM_FLEET", fleet_file.as_os_str())];
        let mut program = Program::start(&folder, &config, &environment);
        let gossip = program.next_listen_address();
        let _front = program.next_listen_address();
        let admin_endpoint = program.next_listen_address();
        program.forward_log(format!("f{index}"));
        Node {
            program,
            admin_endpoint,
            gossip,
        }
    }

    fn write_fleet_file(
        &self,
        index: usize,
        gossip: SocketAddr,
        seed: Option<SocketAddr>,
    ) -> PathBuf {
        let seeds = seed.map_or(String::new(), |seed| format!(r#""{seed}""#));
        let text = format!(
            r#"{{"listen":"{gossip}","seeds":[{seeds}],"cluster":"test","expected":1,"probe_ms":100,"suspect_ms":300,"capacity":10,"shed_order":["tile-render"]}}"#
        );
        write_file(self.folder.join(format!("fleet-{index}.json")), &text)
    }

    fn write_config(&self, index: usize) -> PathBuf {
        let text = format!(
            r#"{{"name":"f{index}","seed":"{index:x}","admin":"127.0.0.1:0","limits":{{"memory_mb":192,"sockets":256}},"settings":{POLICY_SETTINGS},"known":{{"rev":0,"notices":[]}}}}"#
        );
        write_file(self.folder.join(format!("config-{index}.json")), &text)
    }

    /// Kills a front end without a shutdown, as a crash would.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].program.kill();
    }

    /// Starts a killed front end again at its former gossip address, with another front end as its seed.
    pub(crate) fn restart(&mut self, index: usize, seed_index: usize) {
        let gossip = self.nodes[index].gossip;
        let seed = self.nodes[seed_index].gossip;
        self.nodes[index] = self.start(index, gossip, Some(seed));
    }

    /// Whether the process of a front end has not exited.
    pub(crate) fn is_running(&mut self, index: usize) -> bool {
        self.nodes[index].program.is_running()
    }

    /// Value of a metric in a front end's telemetry; `None` if the metric is absent.
    pub(crate) fn metric(&self, index: usize, name: &str) -> Option<u64> {
        let telemetry = self.nodes[index].admin_command("telemetry\n");
        let value_and_kind = telemetry
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        let (number, _kind) = value_and_kind.split_once('|')?;
        number.parse().ok()
    }

    /// Waits until a front end counts exactly `peers` live peers, and returns how long that took. Fails the test if it
    /// takes longer than `within`.
    pub(crate) fn wait_for_peers(&self, index: usize, peers: u64, within: Duration) -> Duration {
        let started_at = Instant::now();
        loop {
            let counted = self.metric(index, "app.fleet.peers");
            if counted == Some(peers) {
                return started_at.elapsed();
            }
            assert!(
                started_at.elapsed() < within,
                "f{index} counts {counted:?} peers instead of {peers} after {within:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
