//! The command `quetzalhill catalogue restore`.

use quetzalhill::cmd::catalogue::submit::SubmitOptions;
use quetzalhill::cmd::catalogue::{apply, restore, show};
use quetzalhill::cmd::operator::{ExitStatus, OperatorSettings};
use quetzalhill_standins::site::TestSite;

/// Guards against permanently losing changes when the store is restored from an older copy: the nodes still have
/// them in force.
#[ntex::test]
async fn catalogue_of_the_nodes_is_written_back() {
    let site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), "restore", 1).expect("site");
    let settings = OperatorSettings::read(&site.config).expect("settings");
    let options = SubmitOptions::default();
    let first = site
        .write_catalogue_file("1.toml", &[("a", 1)])
        .expect("file");
    apply::execute(&settings, &first, &options)
        .await
        .expect("applied");
    let old_revision = site.store.revision();
    let second = site
        .write_catalogue_file("2.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    apply::execute(&settings, &second, &options)
        .await
        .expect("applied");
    let shown = show::execute(&settings).await.expect("report");
    site.nodes[0].set_catalogue(shown.json["catalogue"].clone());
    site.set_statuses(2, &["a", "b"], 1);

    let unchanged = restore::execute(&settings, &options).await.expect("report");
    assert_eq!(unchanged.json["outcome"], "unchanged");
    site.store.roll_back(old_revision);
    let refused = apply::execute(&settings, &second, &options)
        .await
        .expect("report");
    assert_eq!(refused.status, ExitStatus::Refused);
    let report = restore::execute(&settings, &options).await.expect("report");
    assert_eq!(
        (report.status, &report.json["revision"]),
        (ExitStatus::Done, &3.into())
    );
    let shown = show::execute(&settings).await.expect("report");
    assert_eq!(shown.json["catalogue"]["services"]["b"]["number"], 2);
}

/// Guards against writing an empty catalogue when no node answers.
#[ntex::test]
async fn restore_without_an_answering_node_writes_nothing() {
    let mut site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), "restore_none", 1).expect("site");
    let settings = OperatorSettings::read(&site.config).expect("settings");
    site.nodes[0].stop();
    let error = restore::execute(&settings, &SubmitOptions::default()).await;
    assert!(error
        .expect_err("no node")
        .to_string()
        .contains("nodes.admin"));
    assert_eq!(site.store.counts().writes, 0);
}
