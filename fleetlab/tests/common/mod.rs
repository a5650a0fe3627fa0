//! Runs the lab as a user would, and reads its figures. The program is the `wrenseam` built beside `fleetlab`: the
//! workspace's test command builds both, that of `fleetlab` alone only one.
#![allow(dead_code)] // each test file uses a part
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A run's figures, from the lab's TOTALS and PEERS lines.
pub(crate) struct Run {
    pub(crate) totals: Vec<(String, f64)>,
    pub(crate) peers: Vec<Option<u64>>,
    /// Per worker that came back cold: the most of any second, as a part of what the rule allows.
    pub(crate) cold: Vec<f64>,
    /// How many front ends agreed, and how many log lines declared a sound one down, where the scenario asks.
    pub(crate) agreed_fronts: Option<usize>,
    pub(crate) wronged: Option<usize>,
}

impl Run {
    pub(crate) fn get(&self, name: &str) -> f64 {
        self.totals
            .iter()
            .find(|(total, _)| total == name)
            .map(|(_, value)| *value)
            .unwrap_or_else(|| panic!("no {name}"))
    }
}

/// The `wrenseam` in this folder, or what to build: it is missing, or older than a source that it was built from.
pub(crate) fn program(folder: &Path) -> Result<PathBuf, String> {
    let program = folder.join("wrenseam");
    let changed = |file: &Path| {
        file.metadata()
            .and_then(|metadata| metadata.modified())
            .ok()
    };
    let sources = std::fs::read_to_string(folder.join("wrenseam.d")).unwrap_or_default();
    let newer = |source: &&str| changed(Path::new(source)) > changed(&program);
    let why = match changed(&program) {
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
        "{} {why}: first run `cargo build{release} --locked -p wrenseam`",
        program.display()
    ))
}

pub(crate) fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Runs the lab with a program that runs `first` in a shell, and is the front end from then on.
pub(crate) fn run(name: &str, scenario: &str, first: &str) -> Output {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_fleetlab"));
    let wrenseam = program(exe.parent().expect("a folder")).unwrap_or_else(|why| panic!("{why}"));
    let folder = folder(name);
    let (file, started) = (folder.join("scenario.json"), folder.join("program"));
    std::fs::write(&file, scenario).expect("written");
    let script = format!("#!/bin/sh\n{first}\nexec '{}' \"$@\"\n", wrenseam.display());
    std::fs::write(&started, script).expect("written");
    std::fs::set_permissions(&started, PermissionsExt::from_mode(0o755)).expect("set");
    let mut lab = Command::new(exe);
    lab.arg("run")
        .arg(&file)
        .arg("--out")
        .arg(&folder)
        .arg("--program")
        .arg(&started);
    lab.output().expect("the lab runs")
}

pub(crate) fn lab(name: &str, scenario: &str, first: &str) -> Run {
    let out = run(name, scenario, first);
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
        .map(|(name, value)| (name.to_owned(), value.parse().expect("a figure")))
        .collect();
    let peers = line("PEERS ")
        .split(',')
        .map(|count| count.parse().ok())
        .collect();
    let parts = line("COLD ")
        .split(' ')
        .filter_map(|pair| pair.split_once('='))
        .map(|(_, part)| part);
    let cold = parts.map(|part| part.parse().expect("a part")).collect();
    let asked = |tag: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(tag))
            .and_then(|line| line.rsplit(['=', ' ']).next())
    };
    let agreed_fronts = asked("AGREED ").and_then(|number| number.parse().ok());
    let wronged = asked("WRONGED ").and_then(|number| number.parse().ok());
    eprintln!("{text}");
    Run {
        totals,
        peers,
        cold,
        agreed_fronts,
        wronged,
    }
}
