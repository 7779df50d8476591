//! The command `quetzalhill check-manifest`, run as a process.

use quetzalhill_core::relay::draft::{
    DraftField, DraftKey, LimitDraft, RouteDraft, RouteKind, RoutesDraft, ServiceDraft, TargetDraft,
};
use quetzalhill_platform::manifest::describe::field_name;
use quetzalhill_platform::standin::draft::manifest_draft;
use quetzalhill_standins::workdir::Workdir;
use serde_json::Value;
use std::net::Ipv4Addr;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

fn workdir(name: &str) -> Workdir {
    Workdir::new(env!("CARGO_TARGET_TMPDIR"), name).expect("folder")
}

fn write(workdir: &Workdir, name: &str, draft: &RoutesDraft) -> String {
    let text = String::from_utf8(manifest_draft(draft)).expect("text");
    workdir.write(name, &text).expect("file")
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quetzalhill"));
    let command = command.arg("check-manifest").args(args);
    command.output().expect("the built command")
}

fn lines(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    text.lines().map(String::from).collect()
}

fn draft(revision: u64) -> RoutesDraft {
    let route = RouteDraft {
        name: "one".into(),
        address: DraftField::Valid(Ipv4Addr::new(198, 18, 0, 1)),
        port: DraftField::Valid(8080),
        kind: DraftField::Valid(RouteKind::Idempotent),
        service: Some("feed".into()),
        timeout: Some(Duration::from_millis(1_500)),
        ..RouteDraft::default()
    };
    let service = ServiceDraft {
        name: "feed".into(),
        health_path: None,
        connections: None,
        protocol: None,
        tls: "false".into(),
        cold_start: Duration::ZERO,
        cold_rate: 0.0,
    };
    RoutesDraft {
        revision: Some(revision),
        routes: vec![route],
        services: vec![service],
        limits: LimitDraft {
            idle_timeout: Some(Duration::from_secs(15)),
            ..LimitDraft::default()
        },
    }
}

/// Guards against a sound manifest that does not end with 0, and against differences that count as findings.
#[test]
fn sound_manifest_exits_with_0() {
    let workdir = workdir("check_manifest_sound");
    let old = write(&workdir, "old.json", &draft(7));
    let new = write(&workdir, "new.json", &draft(8));
    let output = run(&[&new]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(lines(&output.stdout), [format!("{new}: no findings")]);
    let output = run(&[&new, "--in-force", &old]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let revision = field_name(DraftKey::Revision);
    let expected = [
        format!("{new}: no findings"),
        format!("{new}: change: manifest: {revision} changes from 7 to 8"),
    ];
    assert_eq!(lines(&output.stdout), expected);
}

/// A draft with an error, a warning, and a route that has moved; the name of the route breaks the line.
fn faulty() -> RoutesDraft {
    let mut draft = draft(7);
    draft.routes[0].name = "one\ntwo".into();
    draft.routes[0].timeout = Some(Duration::ZERO);
    draft.routes[0].service = None;
    draft.routes[0].targets = Some(vec![TargetDraft {
        service: "batch".into(),
        weight: 1,
    }]);
    draft
}

/// Guards against findings without the file, the item, the key, the value or what is allowed, against several lines for
/// one finding, and against a wrong exit status.
#[test]
fn findings_exit_with_1() {
    let workdir = workdir("check_manifest_findings");
    let old = write(&workdir, "old.json", &draft(7));
    let new = write(&workdir, "new.json", &faulty());
    let output = run(&[&new, "--in-force", &old]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let route = r#"route "one\ntwo""#;
    let revision = field_name(DraftKey::Revision);
    let (name, service) = (field_name(DraftKey::Name), field_name(DraftKey::Service));
    let (targets, timeout) = (field_name(DraftKey::Targets), field_name(DraftKey::Timeout));
    let expected = [
        format!("error: manifest: {revision} is 7; allowed: a whole number above 7, the version in force"),
        format!(r#"error: {route}: {targets} is "batch"; allowed: a service that is listed under services"#),
        format!("error: {route}: {timeout} is 0; allowed: above 0"),
        format!(r#"warning: service "feed": {name} is "feed"; allowed: a service that a route names"#),
        format!(r#"change: {route}: {name} changes from "one" to "one\ntwo""#),
        format!(r#"change: {route}: {service} changes from "feed" to absent"#),
        format!(r#"change: {route}: {targets} changes from absent to [{{"service":"batch","weight":1}}]"#),
        format!("change: {route}: {timeout} changes from 1500 to 0"),
        format!(r#"change: {route}: new flows move from ["feed"] to ["batch"]; open flows stay with the former services"#),
    ];
    let expected: Vec<String> = expected
        .iter()
        .map(|line| format!("{new}: {line}"))
        .collect();
    assert_eq!(lines(&output.stdout), expected);
    assert_eq!(output.stderr, b"");
}

/// Guards against JSON that is not one object, or lacks a part of a finding or of a difference.
#[test]
fn json_is_one_object() {
    let workdir = workdir("check_manifest_json");
    let old = write(&workdir, "old.json", &draft(7));
    let new = write(&workdir, "new.json", &faulty());
    let output = run(&[&new, "--in-force", &old, "--json"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let report: Value = serde_json::from_slice(&output.stdout).expect("one object");
    let finding = &report["findings"][2];
    assert_eq!(finding["file"], new.as_str());
    assert_eq!(finding["severity"], "error");
    assert_eq!(finding["kind"], "timeout");
    assert_eq!(finding["item"]["name"], "one\ntwo");
    assert_eq!(finding["item"]["number"], 1);
    assert_eq!(finding["key"], field_name(DraftKey::Timeout));
    assert_eq!(finding["value"], 0);
    assert_eq!(finding["allowed"], "above 0");
    let change = &report["changes"][1];
    assert_eq!(change["change"], "changed");
    assert_eq!(
        (&change["old"], &change["new"]),
        (&"feed".into(), &Value::Null)
    );
    assert_eq!(report["changes"][4]["change"], "moved");
    let output = run(&[&write(&workdir, "sound.json", &draft(1)), "--json"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(lines(&output.stdout), [r#"{"changes":[],"findings":[]}"#]);
}

/// Nesting depth beyond the recursion limit of the JSON decoder.
const DEEP: usize = 100_000;

/// Number of odd files so far.
static ODD_CASES: AtomicUsize = AtomicUsize::new(0);

fn nested() -> String {
    format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP))
}

/// Returns a sound manifest with `value` in place of its revision.
fn with_revision(value: &str) -> String {
    let text = String::from_utf8(manifest_draft(&draft(7))).expect("text");
    let name = field_name(DraftKey::Revision);
    let altered = text.replace(&format!("{name:?}:7"), &format!("{name:?}:{value}"));
    assert!(altered != text || value == "7");
    altered
}

/// Returns a sound manifest with a further field.
fn with_unknown(value: &str) -> String {
    with_revision("7").replacen('{', &format!("{{\"unknown\":{value},"), 1)
}

/// Guards against a panic, several lines, or a wrong exit status for a file that is no manifest, as new manifest or as the
/// one in force.
#[parameterized(
    empty = { String::new() },
    not_json = { "revision: 7".into() },
    other_type = { "[]".into() },
    deep = { nested() },
    deep_in_unknown_field = { with_unknown(&nested()) },
    number_too_large = { with_revision("18446744073709551616") },
    number_infinite = { with_unknown("1e999") },
    number_negative = { with_revision("-1") },
    field_twice = { with_revision(&format!("7,{:?}:7", field_name(DraftKey::Revision))) },
    long_text = { with_revision(&format!("\"{}\"", "x\\n".repeat(300_000))) },
    one_megabyte = { with_revision("7") + &" ".repeat(1 << 20) },
)]
fn unreadable_file_exits_with_2(text: String) {
    // The cases run at the same time, each in its own folder.
    let number = ODD_CASES.fetch_add(1, Ordering::Relaxed);
    let workdir = workdir(&format!("check_manifest_odd_{number}"));
    let odd = workdir.write("odd.json", &text).expect("file");
    let sound = write(&workdir, "sound.json", &draft(7));
    for args in [
        vec![odd.as_str()],
        vec![&sound, "--in-force", &odd, "--json"],
    ] {
        let output = run(&args);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        let message = lines(&output.stderr);
        assert_eq!(message.len(), 1, "{message:?}");
        assert!(message[0].contains("odd.json"), "{message:?}");
        assert!(message[0].len() < 1_000, "{message:?}");
        assert_eq!(output.stdout, b"");
    }
}

/// Guards against a missing file or a folder that passes the check.
#[test]
fn missing_file_exits_with_2() {
    let workdir = workdir("check_manifest_missing");
    let sound = write(&workdir, "sound.json", &draft(7));
    let folder = env!("CARGO_TARGET_TMPDIR");
    for args in [
        vec!["none.json"],
        vec![folder],
        vec![&sound, "--in-force", "none.json"],
    ] {
        let output = run(&args);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        assert_eq!(lines(&output.stderr).len(), 1, "{output:?}");
    }
}
