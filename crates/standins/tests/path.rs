//! Tests requests from callers through fabric, entries and agents to upstreams, on loopback.

use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_standins::caller::{CallOutcome, CallRequest, CallerStandin};
use quetzalhill_standins::deployment::DeploymentPlan;
use quetzalhill_standins::testbed::Testbed;
use quetzalhill_standins::workload::{next_id, SessionPool};

const PLAN: &str = r#"
name = "path"
zones = ["a"]
entries = 2

[service.feed]
owner = "bakery"
class = "urgent"
endpoints = 2
slots = 4
# A single agent may receive all requests, and its queue must not refuse any.
limits = { queue = 1000, in_flight = 1000 }
"#;

/// Guards against requests that wait while another request opens a connection to the upstream: 2 % of requests exceeded
/// their deadline when the HTTP client had no limit on connections.
#[test]
fn concurrent_requests_are_all_answered() {
    let plan: DeploymentPlan = toml::from_str(PLAN).expect("valid plan");
    let testbed = Testbed::start(plan, DispatchPolicy::Pooled, 1).expect("testbed starts");
    testbed.wait_all_ready().expect("nodes ready");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let outcomes = runtime.block_on(async {
        let caller = CallerStandin::new(&testbed.certificate.root).expect("caller");
        let address = testbed
            .service_address("feed")
            .expect("service in the plan");
        let pool = SessionPool::open(&caller, address, 8)
            .await
            .expect("sessions");
        let mut calls = Vec::new();
        for number in 0..400 {
            let session = pool.pick(number).await.expect("session");
            let request = CallRequest {
                id: next_id(),
                service: "feed".into(),
                ms: 1,
                bytes: 100,
                keyed: number % 2 == 0,
                timeout_ms: Some(30_000),
                ..CallRequest::default()
            };
            calls.push(tokio::spawn(async move { session.call(&request).await }));
        }
        let mut outcomes = Vec::new();
        for call in calls {
            outcomes.push(call.await.expect("no panic"));
        }
        outcomes
    });
    let failed: Vec<_> = outcomes
        .iter()
        .filter(|&outcome| *outcome != CallOutcome::Whole)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(testbed.duplicate_runs(), 0);
}
