//! The command `quetzalhill catalogue check`.

use quetzalhill::cmd::catalogue::check::execute;
use quetzalhill::cmd::operator::ExitStatus;
use quetzalhill_standins::workdir::Workdir;

fn workdir(name: &str) -> Workdir {
    Workdir::new(env!("CARGO_TARGET_TMPDIR"), name).expect("folder")
}

/// Guards against errors for a valid file.
#[test]
fn valid_file_is_done() {
    let workdir = workdir("check_valid");
    let text = "[service.a]\nowner = \"o\"\naddresses = [\"10.0.0.1:1\"]\n";
    let file = workdir.write("c.toml", text).expect("file");
    let report = execute(&file).expect("report");
    assert_eq!(report.status, ExitStatus::Done);
    assert_eq!(report.json["services"], 1);
}

/// Guards against a check that stops at the first error or reports no line number.
#[test]
fn every_error_is_listed_with_its_line() {
    let workdir = workdir("check_invalid");
    let text = "[service.a]\nowner = 1\naddresses = [\"x\"]\nspeed = 1\n";
    let file = workdir.write("c.toml", text).expect("file");
    let report = execute(&file).expect("report");
    assert_eq!(report.status, ExitStatus::Invalid);
    let errors = report.json["errors"].as_array().expect("list").clone();
    let mut lines: Vec<u64> = errors.iter().filter_map(|e| e["line"].as_u64()).collect();
    lines.sort_unstable();
    assert_eq!(lines, [2, 3, 4]);
    assert!(report
        .text
        .contains("c.toml:2: service.a.owner is 1; allowed: a string"));
}

/// Guards against a missing file that passes the check, and against an error without its path.
#[test]
fn missing_file_is_an_error_that_names_it() {
    let error = execute("none.toml").expect_err("no file");
    assert!(error.to_string().contains("none.toml"));
}
