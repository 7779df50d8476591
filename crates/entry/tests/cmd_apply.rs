//! The command `quetzalhill catalogue apply`.

use quetzalhill::catalogue_file::parse;
use quetzalhill::cmd::catalogue::apply::{execute, run};
use quetzalhill::cmd::catalogue::submit::{submit, SubmitOptions};
use quetzalhill::cmd::operator::{ExitStatus, OperatorSettings};
use quetzalhill_core::catalogue::guard::GuardKind;
use quetzalhill_standins::site::TestSite;
use quetzalhill_standins::store::StandinMode;
use quetzalhill_store::catalogue::load::load;
use quetzalhill_store::catalogue::plan::plan_change;
use std::fs;
use std::time::Duration;

fn site(name: &str, nodes: usize) -> (TestSite, OperatorSettings) {
    let site = TestSite::start(env!("CARGO_TARGET_TMPDIR"), name, nodes).expect("site");
    let settings = OperatorSettings::read(&site.config).expect("settings");
    (site, settings)
}

fn options() -> SubmitOptions {
    SubmitOptions {
        author: "ada".into(),
        ..SubmitOptions::default()
    }
}

/// Guards against a first apply that needs flags to override the guards, and against a second apply of the same file
/// that makes an empty revision.
#[ntex::test]
async fn file_is_applied_once() {
    let (site, settings) = site("apply_once", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    let first = execute(&settings, &file, &options()).await.expect("report");
    assert_eq!(
        (first.status, &first.json["revision"]),
        (ExitStatus::Done, &1.into())
    );
    let second = execute(&settings, &file, &options()).await.expect("report");
    assert_eq!(second.json["outcome"], "unchanged");
}

/// Guards against writing an invalid file to the store.
#[ntex::test]
async fn invalid_file_is_not_applied() {
    let (site, settings) = site("apply_invalid", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1), ("b", 1)])
        .expect("file");
    let result = execute(&settings, &file, &options()).await.expect("report");
    assert_eq!(result.status, ExitStatus::Invalid);
    assert!(
        result.text.contains("an address of no other service"),
        "{}",
        result.text
    );
    assert_eq!(site.store.counts().writes, 0);
}

/// Guards against removing a service with ready endpoints without the flag that allows it.
#[ntex::test]
async fn guard_refuses_and_its_flag_allows() {
    let (site, settings) = site("apply_guard", 1);
    let both = site
        .write_catalogue_file("1.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    execute(&settings, &both, &options())
        .await
        .expect("applied");
    site.set_statuses(1, &["a", "b"], 4);
    let one = site
        .write_catalogue_file("2.toml", &[("a", 1)])
        .expect("file");
    let refused = execute(&settings, &one, &options()).await.expect("report");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused.text.contains("--allow-no-endpoints"),
        "{}",
        refused.text
    );
    let mut allowed = options();
    allowed.allowed.push(GuardKind::NoEndpoints);
    let done = execute(&settings, &one, &allowed).await.expect("report");
    assert_eq!(done.status, ExitStatus::Done);
}

/// Guards against a change that the nodes ignore because its revision is lower than theirs. This happens after the
/// store was restored from an older copy.
#[ntex::test]
async fn change_is_refused_while_the_fleet_is_ahead() {
    let (site, settings) = site("apply_ahead", 2);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    site.set_statuses(7, &["a"], 1);
    let result = execute(&settings, &file, &options()).await.expect("report");
    assert_eq!(result.status, ExitStatus::Refused);
    assert!(result.text.contains("catalogue restore"), "{}", result.text);
    assert_eq!(site.store.counts().writes, 0);
}

/// Guards against a wait that reports success before the change is in force on all nodes, or never ends.
#[ntex::test]
async fn wait_reports_the_nodes_with_the_change_in_force() {
    let (site, settings) = site("apply_wait", 2);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    let mut waiting = options();
    waiting.wait = Some(Duration::from_millis(500));
    let behind = execute(&settings, &file, &waiting).await.expect("report");
    assert_eq!(behind.status, ExitStatus::WaitTimeout);
    assert!(
        behind.text.ends_with("in force on 0 of 2 nodes"),
        "{}",
        behind.text
    );
    site.set_statuses(2, &["a"], 1);
    site.nodes[0].set_status(serde_json::json!({ "revision": 1 }));
    let next = site
        .write_catalogue_file("2.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    site.nodes[1].set_status(serde_json::json!({ "revision": 1 }));
    let site = &site;
    let result = ntex::util::join(execute(&settings, &next, &waiting), async {
        ntex::time::sleep(ntex::time::Millis(200)).await;
        site.set_statuses(2, &["a", "b"], 1);
    });
    let done = result.await.0.expect("report");
    assert_eq!(
        (done.status, &done.json["in_force"]),
        (ExitStatus::Done, &2.into())
    );
}

/// Guards against a wait that reports success because the settings name no nodes.
#[ntex::test]
async fn wait_without_nodes_is_not_done() {
    let (site, settings) = site("apply_wait_none", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    let mut waiting = options();
    waiting.wait = Some(Duration::from_secs(5));
    let result = execute(&settings, &file, &waiting).await.expect("report");
    assert_eq!(result.status, ExitStatus::WaitTimeout);
    assert!(result.text.contains("nodes.admin"), "{}", result.text);
}

/// Guards against reporting a failure after a commit whose answer from the store was lost.
#[ntex::test]
async fn commit_with_a_lost_answer_is_confirmed() {
    let (site, settings) = site("apply_lost", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    site.store.lose_next_answer();
    let result = execute(&settings, &file, &options()).await.expect("report");
    assert_eq!(result.json["outcome"], "committed");
    assert_eq!(result.json["revision"], 1);
}

/// Guards against overwriting a concurrent change of another operator, and against a message that does not say who
/// changed which services.
#[ntex::test]
async fn lost_race_names_the_other_author_and_services() {
    let (site, settings) = site("apply_race", 0);
    let mine = site
        .write_catalogue_file("mine.toml", &[("a", 1)])
        .expect("file");
    let theirs = site
        .write_catalogue_file("theirs.toml", &[("b", 2)])
        .expect("file");
    let before = fs::read_to_string(&mine).expect("file");
    let store = settings.open_store().await.expect("store");
    let current = load(&store).await.expect("load");
    let services = parse(&mine, &before).expect("valid");
    let planned = plan_change(&current, services, &options().stamp()).expect("plan");
    let mut other = options();
    other.author = "bob".into();
    execute(&settings, &theirs, &other).await.expect("applied");
    let result = submit(&settings, &store, &planned, &options()).await;
    assert_eq!(result.status, ExitStatus::LostRace);
    assert!(
        result.text.starts_with("bob changed b at "),
        "{}",
        result.text
    );
    assert_eq!(result.json["head"]["revision"], 1);
    assert_eq!(fs::read_to_string(&mine).expect("file"), before);
}

/// Guards against reporting success during an outage of the store, and against a command that modifies the file.
#[ntex::test]
async fn outage_is_an_error_and_leaves_the_file() {
    let (site, settings) = site("apply_outage", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    let before = fs::read_to_string(&file).expect("file");
    site.store.set_mode(StandinMode::Unavailable);
    let error = execute(&settings, &file, &options())
        .await
        .expect_err("outage");
    assert!(format!("{error:#}").contains("no leader"), "{error:#}");
    assert_eq!(fs::read_to_string(&file).expect("file"), before);
}

/// Guards against a command that calls the store although its command line is not valid.
#[test]
fn wrong_command_line_changes_nothing() {
    let (site, _) = site("apply_usage", 0);
    let argv = [
        "quetzalhill",
        "catalogue",
        "apply",
        "--no-such-flag",
        "c.toml",
    ];
    let code = run(&argv).expect("usage");
    assert_eq!(
        format!("{code:?}"),
        format!("{:?}", std::process::ExitCode::from(2))
    );
    assert_eq!(site.store.counts().reads, 0);
}
