//! `wrenseam check`: its report and its error messages.
use rstest::rstest;
use std::process::Command;

const CLASS: &str = r#""settings":{"classes":[{"name":"tile-render"}]}"#;

fn settings(more: &str) -> String {
    format!(
        r#"{{"listen":"127.0.0.1:0","settings":{{"classes":[{{"name":"tile-render"}}],{more}}}}}"#
    )
}

#[rstest]
#[case::valid(format!(r#"{{"name":"n1","listen":"127.0.0.1:0",{CLASS}}}"#), true, "n1 would listen on 127.0.0.1:0")]
#[case::not_json("{".to_owned(), false, "check: ")]
#[case::no_address(format!("{{{CLASS}}}"), false, "no address to listen on")]
#[case::bad_discovery_address(format!(r#"{{"listen":"127.0.0.1:0","board":"nowhere",{CLASS}}}"#), false, "'board' is not HOST:PORT")]
#[case::admin_endpoint(format!(r#"{{"name":"n1","listen":"127.0.0.1:0","admin":"127.0.0.1:9901",{CLASS}}}"#), true, "the admin endpoint at 127.0.0.1:9901")]
#[case::bad_admin_address(format!(r#"{{"listen":"127.0.0.1:0","admin":"9901",{CLASS}}}"#), false, "'admin' is not HOST:PORT")]
#[case::admin_endpoint_on_the_clients_address(format!(r#"{{"listen":"127.0.0.1:7","admin":"127.0.0.1:7",{CLASS}}}"#), false, "'admin' is the clients' address")]
#[case::no_classes(r#"{"listen":"127.0.0.1:0"}"#.to_owned(), false, "no classes")]
#[case::text_for_a_number(
    settings(r#""limits":{"max-attempts":"six"}"#),
    true,
    "'limits.max-attempts' is not a number"
)]
#[case::negative(
    settings(r#""rules":{"fall":-1}"#),
    true,
    "'rules.fall' is negative or not finite"
)]
#[case::not_an_object(settings(r#""family-info":7"#), true, "'family-info' is not an object")]
#[case::not_a_list(settings(r#""tenants":{}"#), true, "'tenants' is not a list")]
#[case::tenant_that_is_not_an_object(
    settings(r#""tenants":[7]"#),
    true,
    "'tenants' is not an object"
)]
#[case::text_for_a_boolean(
    settings(r#""limits":{"may-cancel":"yes"}"#),
    true,
    "'limits.may-cancel' is neither"
)]
#[case::unknown_effect(
    r#"{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"c","effect":"idempotent"}]}}"#.to_owned(),
    true,
    "effect 'idempotent' is unknown: the class is treated as not idempotent"
)]
fn check_reports_what_is_wrong(
    #[case] text: String,
    #[case] is_valid: bool,
    #[case] expected: &str,
) {
    let name = format!("wrenseam-check-{}-{expected}.json", std::process::id())
        .replace(['/', ':', '\'', ' '], "-");
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("written");
    let run = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
        .arg("check")
        .arg(&path)
        .output()
        .expect("run");
    std::fs::remove_file(&path).expect("removed");
    let all = String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned();
    assert!(
        run.status.success() == is_valid && all.contains(expected),
        "{all}"
    );
}

/// The sample files that the README and docs/fleet.md name are valid as they are in the repository.
#[test]
fn the_sample_files_under_deploy_are_valid() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    let run = Command::new(env!("CARGO_BIN_EXE_wrenseam"))
        .arg("check")
        .arg(deploy.join("config.json"))
        .arg("--kserve")
        .arg(deploy.join("kserve.json"))
        .arg("--fleet")
        .arg(deploy.join("fleet.json"))
        .output()
        .expect("run");
    let all = String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned();
    assert!(run.status.success(), "{all}");
    assert!(
        all.contains("front-1 would listen on 127.0.0.1:8443"),
        "{all}"
    );
    assert!(!all.contains("taken as not stated"), "{all}");
}
