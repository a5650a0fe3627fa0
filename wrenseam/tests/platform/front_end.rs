//! A front end process on the platform: its configuration file, its signals and its restarts.
use super::program::{admin_command, create_run_folder, write_file, Program};
use super::{own_address, Deployment, EventLog};
use std::ffi::OsStr;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// What a front end is started with.
#[derive(Clone, Debug)]
pub(crate) struct FrontEndSettings {
    pub(crate) deployment: Deployment,
    pub(crate) index: usize,
    pub(crate) seed: u64,
}

/// One front end, which keeps its name and address over restarts.
pub(crate) struct FrontEnd {
    settings: FrontEndSettings,
    folder: PathBuf,
    /// Where clients connect.
    pub(crate) address: SocketAddr,
    admin: SocketAddr,
    program: Program,
    starts: u64,
}

impl FrontEnd {
    /// Starts it with the events so far, following the service at this address.
    pub(crate) fn start(
        settings: FrontEndSettings,
        log: &EventLog,
        discovery: SocketAddr,
    ) -> FrontEnd {
        let folder = create_run_folder("platform-");
        let own = own_address();
        let address = free_address(SocketAddr::new(own, 0));
        let admin = free_address(SocketAddr::new(own, 0));
        write_config(&settings, &folder, log, discovery, 0);
        let program = launch(&settings, &folder, address, admin);
        FrontEnd {
            settings,
            folder,
            address,
            admin,
            program,
            starts: 1,
        }
    }

    /// Starts the program again at the same address, after its end.
    pub(crate) fn restart(&mut self, log: &EventLog, discovery: SocketAddr) {
        let Self {
            settings, folder, ..
        } = self;
        write_config(settings, folder, log, discovery, self.starts);
        self.starts += 1;
        self.program = launch(settings, folder, self.address, self.admin);
    }

    /// Has it follow discovery at another address.
    pub(crate) fn move_discovery(&self, log: &EventLog, discovery: SocketAddr) {
        let Self {
            settings, folder, ..
        } = self;
        write_config(settings, folder, log, discovery, self.starts);
        self.program.signal("-HUP");
    }

    /// Begins a planned end.
    pub(crate) fn terminate(&self) {
        self.program.signal("-TERM");
    }

    /// Stops the process, or lets it go on.
    pub(crate) fn signal(&self, name: &str) {
        self.program.signal(name);
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        self.program.kill();
    }

    /// Whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.program.is_running()
    }

    /// Waits for its end for this long at the most; whether it ended.
    pub(crate) fn wait(&mut self, until: Instant) -> bool {
        while self.program.is_running() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        true
    }

    /// A figure of its telemetry.
    pub(crate) fn metric(&self, name: &str) -> Option<u64> {
        let telemetry = admin_command(self.admin, "telemetry\n");
        telemetry.lines().find_map(|line| {
            let value = line.strip_prefix(name)?.strip_prefix(':')?;
            value.split('|').next()?.parse().ok()
        })
    }
}

/// An address that is free now; the port is not drawn for clients, as nothing else uses the host address.
fn free_address(wanted: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(wanted).expect("a port");
    listener.local_addr().expect("bound")
}

fn write_config(
    settings: &FrontEndSettings,
    folder: &std::path::Path,
    log: &EventLog,
    discovery: SocketAddr,
    starts: u64,
) {
    let index = settings.index;
    let seed = settings.seed.wrapping_add(index as u64 * 1_000 + starts);
    let known = log.known();
    let deployment = settings.deployment.settings(index);
    let text = format!(
        r#"{{"name":"n{index}","seed":"{seed:x}","limits":{{"memory_mb":192,"sockets":512}},"settings":{deployment},"board":"{discovery}","known":{known}}}"#
    );
    write_file(folder.join("config.json"), &text);
}

fn launch(
    settings: &FrontEndSettings,
    folder: &std::path::Path,
    address: SocketAddr,
    admin: SocketAddr,
) -> Program {
    let (listen, admin) = (address.to_string(), admin.to_string());
    let environment = [
        ("NODE_LISTEN", OsStr::new(&listen)),
        ("NODE_ADMIN", OsStr::new(&admin)),
    ];
    let mut program = Program::start(folder, &folder.join("config.json"), &environment);
    program.next_listen_address();
    program.next_listen_address();
    program.forward_log(format!("n{}", settings.index));
    program
}
