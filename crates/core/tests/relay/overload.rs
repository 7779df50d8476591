//! Plays loads for which there is no room or no ready endpoint, with and without admission.

use crate::support::*;
use crate::surge::{KindPlan, ServicePlan, SurgePlan, SurgeResult, SurgeSimulation};
use quetzalhill_core::relay::admit::AdmissionPolicy;
use quetzalhill_core::relay::chain::ChainPolicy;
use std::time::Duration;

const STREAMS: usize = 0;
const URGENT: usize = 1;
const DOWNLOADS: usize = 2;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The first deployment: 47 upstreams of the main service and 12 of the second one, which takes a tenth of the streams.
/// `burst` is a factor on the streams.
fn first_deployment(admission: AdmissionPolicy, burst: f64) -> SurgePlan {
    let service = |name, endpoints| ServicePlan {
        name,
        endpoints,
        slots: 2,
        queue_max: 8,
        cold_rate: None,
    };
    let kind = |shares: &[_], work_ms, target, timeout, rate_per_s| KindPlan {
        shares: shares.to_vec(),
        work_ms,
        target: millis(target),
        timeout: millis(timeout),
        rate_per_s,
        returning: 0,
    };
    SurgePlan {
        policy: ChainPolicy {
            admission,
            ..ChainPolicy::default()
        },
        entries: 23,
        services: vec![service(FEED, 47), service(BATCH, 12)],
        kinds: vec![
            kind(&[(FEED, 9), (BATCH, 1)], 30.0, 250, 1_500, 1_312.0 * burst),
            kind(&[(FEED, 1)], 39.0, 300, 1_500, 375.0),
            kind(&[(BATCH, 1)], 5.0, 800, 4_000, 112.0),
        ],
        length: Duration::from_secs(4),
        start_spread: Duration::ZERO,
        cold_time: Duration::ZERO,
        loss: 0.0,
    }
}

fn play(name: &str, plan: &SurgePlan) -> SurgeResult {
    let result = SurgeSimulation::new(plan.clone(), 7).run();
    let mut shares = Vec::new();
    for (kind, plan) in plan.kinds.iter().enumerate() {
        let in_time = result.share_within(kind, plan.target);
        let answered = result.share_within(kind, plan.timeout);
        shares.push(format!("{in_time:.4}/{answered:.4}"));
    }
    let (refused, verdicts) = (result.queue_refusals, &result.verdicts);
    let admission = plan.policy.admission;
    println!("{name} {admission:?}: within target/timeout {shares:?}, queue refusals {refused}, {verdicts:?}");
    // Whatever the load, a refusal is true.
    assert_eq!(result.false_resets, 0);
    result
}

/// Plays a plan with and without admission.
fn compare(name: &str, plan: impl Fn(AdmissionPolicy) -> SurgePlan) -> (SurgeResult, SurgeResult) {
    let off = play(name, &plan(AdmissionPolicy::Off));
    let on = play(name, &plan(AdmissionPolicy::On));
    (off, on)
}

/// Guards against streams and urgent requests that queue in the main service while the second one, which takes a tenth of
/// the streams, is at a quarter of its capacity; and against downloads that suffer from it.
#[test]
fn burst_of_streams_uses_the_room_of_the_second_service() {
    let (off, on) = compare("burst 1.7", |policy| first_deployment(policy, 1.7));
    assert!(on.count("forced") * 2 < off.count("forced"));
    assert!(on.share_within(URGENT, millis(300)) >= off.share_within(URGENT, millis(300)));
    assert!(on.share_within(DOWNLOADS, millis(800)) >= 0.999);
    let (off, on) = compare("burst 2.6", |policy| first_deployment(policy, 2.6));
    for (kind, target) in [(STREAMS, 250), (URGENT, 300)] {
        let late = |result: &SurgeResult| 1.0 - result.share_within(kind, millis(target));
        assert!(late(&on) < 0.7 * late(&off), "kind {kind}");
    }
    assert!(on.share_within(DOWNLOADS, millis(800)) >= 0.999);
}

/// Guards against weights that do not hold while the service has room.
#[test]
fn weights_hold_at_the_usual_load() {
    let result = play("usual", &first_deployment(AdmissionPolicy::On, 1.0));
    let spilled = result.count("spilled");
    assert!(spilled * 50 < result.latencies.len(), "{spilled}");
}

/// Load: all machines lost power; 1,500 callers return within 50 ms while the agents come up over 200 ms, with upstreams
/// that are cold. Guards against callers that all wait at the endpoints that were ready first, until they give up.
#[test]
fn returning_callers_are_spread_over_endpoints_that_become_ready() {
    let (off, on) = compare("return", |policy| {
        let mut plan = first_deployment(policy, 1.0);
        plan.start_spread = millis(200);
        plan.cold_time = Duration::from_secs(2);
        plan.kinds[STREAMS].returning = 1_200;
        plan.kinds[URGENT].returning = 300;
        // The agents hold what their upstreams have no room for.
        for service in &mut plan.services {
            service.queue_max = 100;
        }
        plan
    });
    for kind in [STREAMS, URGENT] {
        let unanswered = |result: &SurgeResult| 1.0 - result.share_within(kind, millis(1_500));
        assert!(unanswered(&on) < 0.4 * unanswered(&off), "kind {kind}");
    }
    assert!(on.share_within(STREAMS, millis(250)) >= off.share_within(STREAMS, millis(250)));
}

/// Load: a service gets three times what it can serve, and its agents hold up to 600 requests. Guards against callers that
/// wait for an answer which comes after their timeout, and for which the upstream works in vain; and against a refusal that
/// comes late.
#[test]
fn overloaded_service_refuses_what_it_cannot_answer_in_time() {
    let (off, on) = compare("triple", |policy| {
        let mut plan = first_deployment(policy, 1.0);
        plan.services.truncate(1);
        plan.services[0].endpoints = 12;
        plan.services[0].queue_max = 600;
        plan.kinds.truncate(1);
        plan.kinds[STREAMS].shares = vec![(FEED, 1)];
        plan.kinds[STREAMS].rate_per_s = 2_400.0;
        plan.length = Duration::from_secs(6);
        plan
    });
    let answered = |result: &SurgeResult| result.share_within(STREAMS, millis(1_500));
    assert!(answered(&on) > 1.6 * answered(&off));
    assert!(on.count("hopeless") > 0 && off.count("hopeless") == 0);
    assert!(on.longest_refusal < millis(50), "{:?}", on.longest_refusal);
}
