//! The admin pages, and the limit on the number of metric series.

use ntex::client::Client;
use prometheus::Registry;
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_node::admin::{serve, AdminPages};
use quetzalhill_node::metrics::{OutcomeLabel, RequestMetrics, OWNERS_MAX};
use quetzalhill_node::status::NodeStatus;
use serde_json::{json, to_value};
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

async fn get(client: &Client, url: String) -> (u16, String) {
    let response = client.get(url).send().await.expect("answer");
    let body = response.body().await.expect("body");
    let text = String::from_utf8(body.to_vec()).expect("text");
    (response.status().as_u16(), text)
}

/// Guards against a missing page, and against a readiness page that does not follow its callback.
#[ntex::test]
async fn pages_answer_from_their_callbacks() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let base = format!("http://{}", listener.local_addr().expect("address"));
    let registry = Registry::new();
    let metrics = RequestMetrics::new(&registry).expect("metrics");
    let ready = Rc::new(Cell::new(false));
    let flag = ready.clone();
    let status = NodeStatus {
        zone: "west-1".into(),
        revision: 7,
        ..NodeStatus::default()
    };
    let pages = AdminPages {
        registry,
        healthy: Rc::new(|| true),
        ready: Rc::new(move || flag.get()),
        status: Rc::new(move || to_value(&status).expect("status")),
        catalogue: Rc::new(|| json!({ "revision": 7, "services": {} })),
    };
    ntex::rt::spawn(async move { serve(listener, pages).await }).detach();
    let client = Client::new().await;
    assert_eq!(get(&client, format!("{base}/healthz")).await.0, 200);
    assert_eq!(get(&client, format!("{base}/readyz")).await.0, 503);
    ready.set(true);
    assert_eq!(get(&client, format!("{base}/readyz")).await.0, 200);
    let (_, text) = get(&client, format!("{base}/status")).await;
    let received: NodeStatus = serde_json::from_str(&text).expect("status");
    assert_eq!((received.revision, received.zone.as_str()), (7, "west-1"));
    let owner = "Lucky Slip".to_string();
    metrics.set_owners([&owner].into_iter());
    let latency = Duration::from_millis(3);
    metrics.observe(
        TrafficClass::Urgent,
        &owner,
        OutcomeLabel::Answered,
        latency,
    );
    let (code, text) = get(&client, format!("{base}/metrics")).await;
    assert_eq!(code, 200);
    assert!(text.contains("owner=\"Lucky Slip\""), "{text}");
    assert_eq!(get(&client, format!("{base}/none")).await.0, 404);
}

/// Guards against a number of series that grows with the owners that callers name or that a catalogue holds. Series of owners that
/// leave the catalogue must be removed.
#[test]
fn series_are_bounded() {
    let registry = Registry::new();
    let metrics = RequestMetrics::new(&registry).expect("metrics");
    let owners: Vec<String> = (0..1_000)
        .map(|number| format!("owner{number:04}"))
        .collect();
    metrics.set_owners(owners.iter());
    for owner in &owners {
        let latency = Duration::from_millis(1);
        metrics.observe(TrafficClass::Bulk, owner, OutcomeLabel::Answered, latency);
    }
    let series = |registry: &Registry| -> usize {
        registry
            .gather()
            .iter()
            .map(|family| family.get_metric().len())
            .sum()
    };
    assert_eq!(series(&registry), 2 * (OWNERS_MAX + 1));
    metrics.set_owners(owners[..1].iter());
    assert_eq!(series(&registry), 2 * 2);
}
