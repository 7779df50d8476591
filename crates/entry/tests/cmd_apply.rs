//! The command `quetzalhill catalogue apply`.

use quetzalhill::catalogue_file::parse;
use quetzalhill::cmd::catalogue::apply::{report, run};
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

/// Guards against a first apply that needs flags, and a second that makes an empty revision.
#[ntex::test]
async fn file_is_applied_once() {
    let (site, settings) = site("apply_once", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    let first = report(&settings, &file, &options()).await.expect("report");
    assert_eq!(
        (first.status, &first.json["revision"]),
        (ExitStatus::Done, &1.into())
    );
    let second = report(&settings, &file, &options()).await.expect("report");
    assert_eq!(second.json["outcome"], "unchanged");
}

/// Guards against an invalid file that reaches the store.
#[ntex::test]
async fn invalid_file_is_not_applied() {
    let (site, settings) = site("apply_invalid", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1), ("b", 1)])
        .expect("file");
    let result = report(&settings, &file, &options()).await.expect("report");
    assert_eq!(result.status, ExitStatus::Invalid);
    assert!(
        result.text.contains("an address of no other service"),
        "{}",
        result.text
    );
    assert_eq!(site.store.counts().writes, 0);
}

/// Guards against removing a service that serves callers without being told to.
#[ntex::test]
async fn guard_refuses_and_its_flag_allows() {
    let (site, settings) = site("apply_guard", 1);
    let both = site
        .write_catalogue_file("1.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    report(&settings, &both, &options()).await.expect("applied");
    site.set_statuses(1, &["a", "b"], 4);
    let one = site
        .write_catalogue_file("2.toml", &[("a", 1)])
        .expect("file");
    let refused = report(&settings, &one, &options()).await.expect("report");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused.text.contains("--allow-no-endpoints"),
        "{}",
        refused.text
    );
    let mut allowed = options();
    allowed.allowed.push(GuardKind::NoEndpoints);
    let done = report(&settings, &one, &allowed).await.expect("report");
    assert_eq!(done.status, ExitStatus::Done);
}

/// Guards against a change that no node would adopt, because the store was restored from an older copy.
#[ntex::test]
async fn fleet_that_is_ahead_refuses() {
    let (site, settings) = site("apply_ahead", 2);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    site.set_statuses(7, &["a"], 1);
    let result = report(&settings, &file, &options()).await.expect("report");
    assert_eq!(result.status, ExitStatus::Refused);
    assert!(result.text.contains("catalogue restore"), "{}", result.text);
    assert_eq!(site.store.counts().writes, 0);
}

/// Guards against a wait that reports success before the nodes have the change, or never ends.
#[ntex::test]
async fn wait_tells_how_many_nodes_have_the_change() {
    let (site, settings) = site("apply_wait", 2);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    let mut waiting = options();
    waiting.wait = Some(Duration::from_millis(500));
    let behind = report(&settings, &file, &waiting).await.expect("report");
    assert_eq!(behind.status, ExitStatus::WaitEnded);
    assert!(
        behind.text.ends_with("in force on 0 of 2 nodes"),
        "{}",
        behind.text
    );
    site.set_statuses(2, &["a"], 1);
    site.nodes[0].set_status(serde_json::json!({ "revision": 1 }));
    let more = site
        .write_catalogue_file("2.toml", &[("a", 1), ("b", 2)])
        .expect("file");
    site.nodes[1].set_status(serde_json::json!({ "revision": 1 }));
    let other = &site;
    let result = ntex::util::join(report(&settings, &more, &waiting), async {
        ntex::time::sleep(ntex::time::Millis(200)).await;
        other.set_statuses(2, &["a", "b"], 1);
    });
    let done = result.await.0.expect("report");
    assert_eq!(
        (done.status, &done.json["in_force"]),
        (ExitStatus::Done, &2.into())
    );
}

/// Guards against a wait that reports success because there was nobody to ask.
#[ntex::test]
async fn wait_without_nodes_is_not_done() {
    let (site, settings) = site("apply_wait_none", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    let mut waiting = options();
    waiting.wait = Some(Duration::from_secs(5));
    let result = report(&settings, &file, &waiting).await.expect("report");
    assert_eq!(result.status, ExitStatus::WaitEnded);
    assert!(result.text.contains("nodes.admin"), "{}", result.text);
}

/// Guards against a lost answer that is reported as a failure.
#[ntex::test]
async fn lost_answer_is_found_to_be_written() {
    let (site, settings) = site("apply_lost", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    site.store.lose_next_answer();
    let result = report(&settings, &file, &options()).await.expect("report");
    assert_eq!(result.json["outcome"], "committed");
    assert_eq!(result.json["revision"], 1);
}

/// Guards against overwriting a colleague's change, and against a loser who is not told whose it was.
#[ntex::test]
async fn loser_of_a_race_learns_who_changed_what() {
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
    report(&settings, &theirs, &other).await.expect("applied");
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

/// Guards against an outage that is reported as success, and against a changed file after any failure.
#[ntex::test]
async fn outage_is_an_error_and_leaves_the_file() {
    let (site, settings) = site("apply_outage", 0);
    let file = site
        .write_catalogue_file("c.toml", &[("a", 1)])
        .expect("file");
    let before = fs::read_to_string(&file).expect("file");
    site.store.set_mode(StandinMode::Unavailable);
    let error = report(&settings, &file, &options())
        .await
        .expect_err("outage");
    assert!(format!("{error:#}").contains("no leader"), "{error:#}");
    assert_eq!(fs::read_to_string(&file).expect("file"), before);
}

/// Guards against a command line that is not understood and still changes something.
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
