//! The commands `quetzalhill catalogue history`, `show` and `rollback`, on a store with the same three changes.

use quetzalhill::catalogue_file::parse;
use quetzalhill::cmd::catalogue::submit::SubmitOptions;
use quetzalhill::cmd::catalogue::{apply, history, rollback, show};
use quetzalhill::cmd::operator::{ExitStatus, OperatorSettings};
use quetzalhill_core::catalogue::guard::GuardKind;
use quetzalhill_standins::site::TestSite;

async fn site_with_changes(name: &str) -> (TestSite, OperatorSettings, SubmitOptions) {
    let site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), name, 0).expect("site");
    let settings = OperatorSettings::read(&site.config).expect("settings");
    let options = SubmitOptions {
        author: "ada".into(),
        allowed: vec![GuardKind::UnknownUse],
        wait: None,
    };
    for (file, services) in [
        ("1.toml", &[("a", 1), ("b", 2)][..]),
        ("2.toml", &[("a", 1)][..]),
        ("3.toml", &[("a", 3)][..]),
    ] {
        let file = site.write_catalogue_file(file, services).expect("file");
        let report = apply::execute(&settings, &file, &options)
            .await
            .expect("report");
        assert_eq!(report.status, ExitStatus::Done, "{}", report.text);
    }
    (site, settings, options)
}

/// Guards against a history without the authors or the changed services.
#[ntex::test]
async fn history_lists_the_newest_changes_first() {
    let (_site, settings, _) = site_with_changes("history").await;
    let report = history::execute(&settings, 2).await.expect("report");
    let list = report.json.as_array().expect("list");
    assert_eq!(list.len(), 2);
    assert_eq!(
        (&list[0]["revision"], &list[0]["author"]),
        (&3.into(), &"ada".into())
    );
    assert_eq!(list[1]["changes"][0]["service"], "b");
    assert!(report
        .text
        .lines()
        .next()
        .is_some_and(|line| line.contains("ada")));
}

/// Guards against a printed catalogue that cannot be applied again.
#[ntex::test]
async fn shown_catalogue_is_a_valid_file() {
    let (_site, settings, _) = site_with_changes("show").await;
    let report = show::execute(&settings).await.expect("report");
    assert!(
        report.text.starts_with("# revision 3, by ada at "),
        "{}",
        report.text
    );
    let services = parse("shown.toml", &report.text).expect("valid");
    assert_eq!(services.len(), 1);
    assert_eq!(report.json["catalogue"]["services"]["a"]["number"], 1);
}

/// Guards against a rollback that does not restore all services and fields, and against one that bypasses the guards.
#[ntex::test]
async fn rollback_restores_the_old_content() {
    let (_site, settings, options) = site_with_changes("rollback").await;
    let guarded = SubmitOptions::default();
    let refused = rollback::execute(&settings, 1, &guarded)
        .await
        .expect("report");
    assert_eq!(refused.status, ExitStatus::Refused);
    let report = rollback::execute(&settings, 1, &options)
        .await
        .expect("report");
    assert_eq!(
        (report.status, &report.json["revision"]),
        (ExitStatus::Done, &4.into())
    );
    let shown = show::execute(&settings).await.expect("report");
    let services = &shown.json["catalogue"]["services"];
    assert_eq!(services["a"]["addresses"][0], "10.0.0.1:1");
    assert_eq!(services["b"]["number"], 2);
    let again = rollback::execute(&settings, 1, &options)
        .await
        .expect("report");
    assert_eq!(again.json["outcome"], "unchanged");
    let error = rollback::execute(&settings, 9, &options)
        .await
        .expect_err("unknown");
    assert!(error.to_string().contains("revision 9"), "{error}");
}
