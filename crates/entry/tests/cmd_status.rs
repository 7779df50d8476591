//! The command `quetzalhill status`.

use quetzalhill::cmd::operator::{ExitStatus, OperatorSettings};
use quetzalhill::cmd::status::execute;
use quetzalhill_standins::site::{entry_status, TestSite};
use serde_json::json;

/// Guards against a status that does not count nodes without an answer or with an older revision, and against one
/// that needs the store.
#[ntex::test]
async fn unanswered_and_behind_nodes_are_counted_without_the_store() {
    let mut site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), "status", 3).expect("site");
    let settings = OperatorSettings::read(&site.config).expect("settings");
    site.store.stop();
    site.set_statuses(5, &["a"], 2);
    let all = execute(&settings).await;
    assert_eq!(all.status, ExitStatus::Done, "{}", all.text);
    site.nodes[1].set_status(entry_status(4, json!({})));
    site.nodes[2].stop();
    let some = execute(&settings).await;
    assert_eq!(some.status, ExitStatus::Failed);
    assert_eq!(
        (&some.json["silent"], &some.json["behind"]),
        (&1.into(), &1.into())
    );
    assert!(
        some.text
            .ends_with("3 nodes, 1 without answer, 1 behind revision 5"),
        "{}",
        some.text
    );
}

/// Guards against errors in the settings that do not name the file and the key.
#[test]
fn error_in_the_settings_is_named() {
    let site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), "status_settings", 0).expect("site");
    for (text, named) in [
        ("[store]\nurls = []\n", "store.urls is empty"),
        ("[store]\nurls = [\"ftp://x\"]\n", "store.urls is ftp://x"),
        (
            "[store]\nurls = [\"http://x\"]\n[guards]\nshare = 2.0\n",
            "guards.share is 2",
        ),
        ("[store]\nurl = \"http://x\"\n", "url"),
    ] {
        let path = site.workdir.write("bad.toml", text).expect("file");
        let error = OperatorSettings::read(&path).expect_err("invalid settings");
        let shown = format!("{error:#}");
        assert!(
            shown.contains("bad.toml") && shown.contains(named),
            "{shown}"
        );
    }
}
