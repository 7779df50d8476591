//! The command `quetzalhill catalogue diff`.

use quetzalhill::cmd::catalogue::submit::SubmitOptions;
use quetzalhill::cmd::catalogue::{apply, diff};
use quetzalhill::cmd::operator::{ExitStatus, OperatorSettings};
use quetzalhill_standins::site::TestSite;

/// Guards against differences that are missing from the report, and against reported differences that do not exist.
#[ntex::test]
async fn file_is_compared_with_the_store() {
    let site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), "diff", 0).expect("site");
    let settings = OperatorSettings::read(&site.config).expect("settings");
    let first = site
        .write_catalogue_file("1.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    let options = SubmitOptions::default();
    apply::execute(&settings, &first, &options)
        .await
        .expect("applied");
    let same = diff::execute(&settings, &first).await.expect("report");
    assert_eq!(same.status, ExitStatus::Done);
    let second = site
        .write_catalogue_file("2.toml", &[("a", 3), ("c", 4)])
        .expect("file");
    let report = diff::execute(&settings, &second).await.expect("report");
    assert_eq!(report.status, ExitStatus::Different);
    let expected = "~ a\n    addresses: 10.0.0.1:1 -> 10.0.0.1:3\n- b\n+ c\n";
    assert_eq!(report.text, expected);
    assert_eq!(report.json["changes"][1]["change"], "removed");
}
