//! The exact text that an operator reads for each invalid configuration.
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::Command;

const CLASS: &str = r#""settings":{"classes":[{"name":"tile-render"}]}"#;

/// A folder for the files of one test case; dropping it removes the folder.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        let number = std::thread::current()
            .name()
            .map_or(0, |name| crc32fast::hash(name.as_bytes()));
        let name = format!("{test}-{}-{number}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program, which must fail, and returns its standard error.
fn stderr_of_failure(command: &mut Command) -> String {
    let output = command.output().expect("the program runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    String::from_utf8(output.stderr).expect("text")
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wrenseam"));
    for variable in [
        "NODE_CONFIG",
        "NODE_NAME",
        "NODE_LISTEN",
        "NODE_ADMIN",
        "WRENSEAM_KSERVE",
        "WRENSEAM_FLEET",
    ] {
        command.env_remove(variable);
    }
    command
}

/// `FILE` in the expected text stands for the path of the configuration file.
#[rstest]
#[case::not_json("{", "check: FILE: not JSON\n")]
#[case::not_an_object("[]", "check: FILE: not a JSON object\n")]
#[case::no_address("{CLASS}", "check: no address to listen on\n")]
#[case::bad_listen(
    r#"{"listen":"here",CLASS}"#,
    "check: 'listen' is not HOST:PORT: here\n"
)]
#[case::bad_board(
    r#"{"listen":"127.0.0.1:0","board":"nowhere",CLASS}"#,
    "check: 'board' is not HOST:PORT: nowhere\n"
)]
#[case::bad_admin(
    r#"{"listen":"127.0.0.1:0","admin":"9901",CLASS}"#,
    "check: 'admin' is not HOST:PORT: 9901\n"
)]
#[case::admin_on_the_client_address(
    r#"{"listen":"127.0.0.1:7","admin":"127.0.0.1:7",CLASS}"#,
    "check: 'admin' is the clients' address 127.0.0.1:7: the admin endpoint needs an address of its own\n"
)]
#[case::no_classes(
    r#"{"listen":"127.0.0.1:0"}"#,
    "check: the settings name no classes: every request would fail\n"
)]
#[case::seed_not_hex(
    r#"{"listen":"127.0.0.1:0","seed":"xyz",CLASS}"#,
    "check: 'seed' is not hex: xyz\n"
)]
fn errors_in_the_platform_file(#[case] text: &str, #[case] expected: &str) {
    let folder = Folder::new("platform");
    let path = folder.write("config.json", &text.replace("CLASS", CLASS));
    let expected = expected.replace("FILE", &path.to_string_lossy());
    assert_eq!(
        stderr_of_failure(program().arg("check").arg(&path)),
        expected
    );
}

/// `FILE` in the expected text stands for the path of the fleet's file.
#[rstest]
#[case::no_listen("{}", "check: FILE: no 'listen'\n")]
#[case::bad_listen(r#"{"listen":"7946"}"#, "check: 'listen' is not HOST:PORT: 7946\n")]
#[case::seeds_of_numbers(
    r#"{"listen":"127.0.0.1:0","seeds":[7]}"#,
    "check: FILE: 'seeds' must be a list of HOST:PORT strings\n"
)]
#[case::bad_seed(
    r#"{"listen":"127.0.0.1:0","seeds":["peer"]}"#,
    "check: FILE: seed is not HOST:PORT: peer\n"
)]
#[case::shed_order_of_numbers(
    r#"{"listen":"127.0.0.1:0","shed_order":[7]}"#,
    "check: FILE: 'shed_order' must be a list of class names\n"
)]
#[case::summaries_in_words(
    r#"{"listen":"127.0.0.1:0","summaries":"yes"}"#,
    "check: FILE: 'summaries' is neither true nor false\n"
)]
#[case::long_zone(
    r#"{"listen":"127.0.0.1:0","zone":"ZONE"}"#,
    "check: FILE: 'zone' has 300 bytes, 64 allowed\n"
)]
#[case::bad_advertise(
    r#"{"listen":"127.0.0.1:0","advertise":"me"}"#,
    "check: 'advertise' is not HOST:PORT: me\n"
)]
#[case::expected_zero(
    r#"{"listen":"127.0.0.1:0","expected":0}"#,
    "check: FILE: 'expected' is 0, not within 1 to 100000\n"
)]
#[case::retry_ratio_above_one(
    r#"{"listen":"127.0.0.1:0","retry_ratio":1.5}"#,
    "check: FILE: 'retry_ratio' is 1.5, not within 0 to 1\n"
)]
#[case::unknown_class(
    r#"{"listen":"127.0.0.1:0","shed_order":["tile-render","nothing"]}"#,
    "check: the fleet's shed_order names nothing, which is not a class of the settings\n"
)]
fn errors_in_the_fleet_file(#[case] text: &str, #[case] expected: &str) {
    let folder = Folder::new("fleet");
    let config = folder.write(
        "config.json",
        &format!(r#"{{"listen":"127.0.0.1:0",{CLASS}}}"#),
    );
    let fleet = folder.write("fleet.json", &text.replace("ZONE", &"z".repeat(300)));
    let expected = expected.replace("FILE", &fleet.to_string_lossy());
    let stderr = stderr_of_failure(
        program()
            .arg("check")
            .arg(&config)
            .arg("--fleet")
            .arg(&fleet),
    );
    assert_eq!(stderr, expected);
}

/// `FILE` in the expected text stands for the path of the KServe front's file, `FOLDER` for its folder.
#[rstest]
#[case::no_listen("{}", "check: FILE: no 'listen'\n")]
#[case::bad_admin(
    r#"{"listen":"127.0.0.1:0","admin":"x"}"#,
    "check: 'admin' is not HOST:PORT: x\n"
)]
#[case::no_endpoints_file(
    r#"{"listen":"127.0.0.1:0","endpoints":"none.json"}"#,
    "check: FOLDER/none.json: No such file or directory (os error 2)\n"
)]
fn errors_in_the_kserve_file(#[case] text: &str, #[case] expected: &str) {
    let folder = Folder::new("kserve");
    let config = folder.write(
        "config.json",
        &format!(r#"{{"listen":"127.0.0.1:0",{CLASS}}}"#),
    );
    let kserve = folder.write("kserve.json", text);
    let expected = expected
        .replace("FILE", &kserve.to_string_lossy())
        .replace("FOLDER", &folder.0.to_string_lossy());
    let stderr = stderr_of_failure(
        program()
            .arg("check")
            .arg(&config)
            .arg("--kserve")
            .arg(&kserve),
    );
    assert_eq!(stderr, expected);
}

/// Invalid environment variables, with a valid file.
#[rstest]
#[case::listen("NODE_LISTEN", "here", "start: NODE_LISTEN is not HOST:PORT: here\n")]
#[case::admin("NODE_ADMIN", "there", "start: NODE_ADMIN is not HOST:PORT: there\n")]
#[case::admin_on_the_client_address(
    "NODE_ADMIN",
    "127.0.0.1:7",
    "start: NODE_ADMIN is the clients' address 127.0.0.1:7: the admin endpoint needs an address of its own\n"
)]
#[case::no_config("NODE_CONFIG", "", "start: NODE_CONFIG names no file\n")]
#[case::no_such_config(
    "NODE_CONFIG",
    "none.json",
    "start: none.json: No such file or directory (os error 2)\n"
)]
#[case::no_such_kserve(
    "WRENSEAM_KSERVE",
    "none.json",
    "start: none.json: No such file or directory (os error 2)\n"
)]
#[case::no_such_fleet(
    "WRENSEAM_FLEET",
    "none.json",
    "start: none.json: No such file or directory (os error 2)\n"
)]
fn errors_in_the_environment(#[case] variable: &str, #[case] value: &str, #[case] expected: &str) {
    let folder = Folder::new("environment");
    let config = folder.write(
        "config.json",
        &format!(r#"{{"listen":"127.0.0.1:7",{CLASS}}}"#),
    );
    let mut command = program();
    command
        .current_dir(&folder.0)
        .env("NODE_CONFIG", &config)
        .env(variable, value);
    assert_eq!(stderr_of_failure(&mut command), expected);
}

/// The texts that a reload logs after `reload: configuration unchanged: `.
#[test]
fn errors_at_a_reload() {
    let folder = Folder::new("reload");
    let text = |path: &Path| {
        std::env::set_var("NODE_CONFIG", path);
        wrenseam::config::Config::discovery_service_now()
            .expect_err("an invalid configuration")
            .to_string()
    };
    let no_board = folder.write("no-board.json", "{}");
    assert_eq!(
        text(&no_board),
        format!("{}: no 'board'", no_board.display())
    );
    let bad_board = folder.write("bad-board.json", r#"{"board":"nowhere"}"#);
    assert_eq!(text(&bad_board), "'board' is not HOST:PORT: nowhere");
    let missing = folder.0.join("missing.json");
    assert_eq!(
        text(&missing),
        format!(
            "{}: No such file or directory (os error 2)",
            missing.display()
        )
    );
    std::env::remove_var("NODE_CONFIG");
    assert_eq!(
        wrenseam::config::Config::discovery_service_now()
            .expect_err("an invalid configuration")
            .to_string(),
        "NODE_CONFIG: environment variable not found"
    );
}
