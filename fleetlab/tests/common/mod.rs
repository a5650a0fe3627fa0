//! Runs the `fleetlab` command as a user would, and parses its output. The wrenseam program is the one in the directory
//! of the built `fleetlab`: the tests of the whole workspace build both, those of the package `fleetlab` only the lab.
#![allow(dead_code)] // each test file uses only some of the helpers
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The results of a run, parsed from the lines that the lab prints.
pub(crate) struct RunResult {
    /// The fields of the line TOTALS.
    pub(crate) totals: Vec<(String, f64)>,
    /// Number of live peers by each front end's telemetry; `None` if it does not run.
    pub(crate) peers: Vec<Option<u64>>,
    /// For each restarted worker: the maximum over all seconds of the calls that it got, divided by the limit.
    pub(crate) cold: Vec<f64>,
    /// Number of front ends that agreed; `None` where the scenario does not ask for agreement.
    pub(crate) agreed_fronts: Option<usize>,
    /// Number of log lines that declared a front end down that no fault affects; `None` where the scenario does not ask
    /// for agreement.
    pub(crate) wrongly_declared_down: Option<usize>,
}

impl RunResult {
    /// Returns a field of the line TOTALS.
    pub(crate) fn total(&self, name: &str) -> f64 {
        self.totals
            .iter()
            .find(|(total, _)| total == name)
            .map(|(_, value)| *value)
            .unwrap_or_else(|| panic!("no {name} in the line TOTALS"))
    }
}

/// Returns the path of the `wrenseam` in this folder, or an error with the command that builds it if it is missing or
/// older than one of its source files.
pub(crate) fn find_program(folder: &Path) -> Result<PathBuf, String> {
    let program = folder.join("wrenseam");
    let modified_at = |file: &Path| {
        file.metadata()
            .and_then(|metadata| metadata.modified())
            .ok()
    };
    let sources = std::fs::read_to_string(folder.join("wrenseam.d")).unwrap_or_default();
    let newer = |source: &&str| modified_at(Path::new(source)) > modified_at(&program);
    let reason = match modified_at(&program) {
        None => "is missing".to_owned(),
        Some(_) => match sources.split_whitespace().skip(1).find(newer) {
            Some(source) => format!("is older than {source}"),
            None => return Ok(program),
        },
    };
    let release = if folder.ends_with("release") {
        " --release"
    } else {
        ""
    };
    Err(format!(
        "{} {reason}: first run `cargo build{release} --locked -p wrenseam`",
        program.display()
    ))
}

/// Creates a temporary folder for a test.
pub(crate) fn create_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Runs the lab with a shell script as its program, which executes `startup_command` and then becomes the front end.
pub(crate) fn run_lab(name: &str, scenario: &str, startup_command: &str) -> Output {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_fleetlab"));
    let wrenseam =
        find_program(exe.parent().expect("a folder")).unwrap_or_else(|reason| panic!("{reason}"));
    let folder = create_folder(name);
    let (file, script_file) = (folder.join("scenario.json"), folder.join("program"));
    std::fs::write(&file, scenario).expect("written");
    let script = format!(
        "#!/bin/sh\n{startup_command}\nexec '{}' \"$@\"\n",
        wrenseam.display()
    );
    std::fs::write(&script_file, script).expect("written");
    std::fs::set_permissions(&script_file, PermissionsExt::from_mode(0o755)).expect("set");
    let mut lab = Command::new(exe);
    lab.arg("run")
        .arg(&file)
        .arg("--out")
        .arg(&folder)
        .arg("--program")
        .arg(&script_file);
    lab.output().expect("the lab runs")
}

/// Runs the lab like [`run_lab`], asserts that it succeeds, and returns the results.
pub(crate) fn run_scenario(name: &str, scenario: &str, startup_command: &str) -> RunResult {
    let out = run_lab(name, scenario, startup_command);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.success(),
        "{text}\n{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let line = |tag: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(tag))
            .unwrap_or_else(|| panic!("{text}"))
    };
    let totals = line("TOTALS ")
        .split(' ')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.parse().expect("a number")))
        .collect();
    let peers = line("PEERS ")
        .split(',')
        .map(|count| count.parse().ok())
        .collect();
    let ratios = line("COLD ")
        .split(' ')
        .filter_map(|pair| pair.split_once('='))
        .map(|(_, ratio)| ratio);
    let cold = ratios
        .map(|ratio| ratio.parse().expect("a ratio"))
        .collect();
    let optional_number = |tag: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(tag))
            .and_then(|line| line.rsplit(['=', ' ']).next())
    };
    let agreed_fronts = optional_number("AGREED ").and_then(|number| number.parse().ok());
    let wrongly_declared_down = optional_number("WRONGED ").and_then(|number| number.parse().ok());
    eprintln!("{text}");
    RunResult {
        totals,
        peers,
        cold,
        agreed_fronts,
        wrongly_declared_down,
    }
}
