//! The command `quetzalhill check-settings`.

use quetzalhill::cmd::check_settings::check_file;
use quetzalhill_standins::workdir::Workdir;
use yare::parameterized;

const RELAY: &str = r#"
[node]
name = "edge-1"
zone = "a"
metrics = "127.0.0.1:9000"
[store]
address = "127.0.0.1:9001"
[relay]
packets = "127.0.0.1:9002"
agents = "127.0.0.1:9003"
ready = "127.0.0.1:9004"
"#;

/// Guards against errors for a valid file, and against an error without the file, the key or the allowed values.
#[parameterized(
    valid = { "", None },
    apply = { "apply_ms = 100", Some("relay.apply_ms is 100; allowed: 600 to 60000 milliseconds") },
    linger = { "linger_ms = 90000", Some("relay.linger_ms is 90000; allowed: 0 to 60000 milliseconds") },
    unknown = { "speed = 1", Some("unknown field `speed`") },
)]
fn file_is_checked(line: &str, expected_error: Option<&str>) {
    let name = format!("check-settings-{}", line.len());
    let workdir = Workdir::new(env!("CARGO_TARGET_TMPDIR"), &name).expect("folder");
    let path = workdir
        .write("edge.toml", &format!("{RELAY}{line}\n"))
        .expect("file");
    let outcome = check_file(&path);
    match expected_error {
        None => outcome.expect("a valid file"),
        Some(expected) => {
            let error = format!("{:#}", outcome.expect_err("an invalid file"));
            assert!(error.contains(expected), "{error}");
            assert!(error.contains("edge.toml"), "{error}");
        }
    }
}
