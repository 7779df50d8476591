//! Tests of the ejection of an upstream that claims to be healthy and resets its requests.

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict};
use quetzalhill_core::relay::health::AnswerHealth;
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::load::{LoadMeter, RequestOutcome};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::{Duration, Instant};

fn health() -> AnswerHealth {
    AnswerHealth::new(SmallRng::seed_from_u64(1))
}

fn answered() -> RequestOutcome {
    RequestOutcome::Answered(Duration::from_millis(20))
}

/// Guards against an upstream that looks idle because it fails at once and so gets more and more flows (scale-1 of
/// the grown Lucky Slip), and against one that is never tried again.
#[test]
fn upstream_that_resets_its_requests_is_ejected_for_a_while() {
    let now = Instant::now();
    let mut health = health();
    for _ in 0..4 {
        assert!(!health.record(RequestOutcome::Reset, now));
    }
    assert!(health.takes_flows(now));
    assert!(health.record(RequestOutcome::Reset, now));
    assert!(!health.takes_flows(now));
    let later = now + Duration::from_secs(3);
    assert!(health.takes_flows(later));
    // One more failure while probing ejects the upstream again.
    assert!(health.record(RequestOutcome::Reset, later));
    assert!(!health.takes_flows(later));
    health.reset();
    assert!(health.takes_flows(later));
}

/// Guards against the ejection of an upstream for single resets among many answers.
#[test]
fn occasional_resets_do_not_eject_an_upstream() {
    let now = Instant::now();
    let mut health = health();
    for round in 0..200 {
        let outcome = match round % 4 {
            0 => RequestOutcome::Reset,
            _ => answered(),
        };
        assert!(!health.record(outcome, now));
    }
}

/// Guards against counting the reset of an idle flow as a failed request, and against not counting the reset of a
/// busy one.
#[test]
fn reset_of_an_idle_flow_is_not_a_failed_request() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    let reset = |number| packet(number, PacketKind::Reset);
    meter.record_sent(&packet(1, PacketKind::Accepting), now);
    assert_eq!(meter.record_sent(&reset(1), now), None);
    meter.record_sent(&packet(2, PacketKind::Accepting), now);
    let request = PacketHead {
        data_len: 100,
        ..established(2)
    };
    meter.record_delivered(&request, now);
    assert_eq!(
        meter.record_sent(&reset(2), now),
        Some(RequestOutcome::Reset)
    );
}

/// Guards against a service without endpoints because all its upstreams fail, and against queueing at a failing
/// upstream while others are only busy.
#[test]
fn failing_upstream_is_chosen_last() {
    let view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let mut verdict = chain.decide(&opening(61), &view, now);
    let mut queried = Vec::new();
    let reasons = [
        ReturnReason::Failing,
        ReturnReason::Busy { requests: 9 },
        ReturnReason::Failing,
    ];
    for reason in reasons {
        let key = delivered(&verdict);
        queried.push(key);
        verdict = chain.decide_returned(&opening(61), key, reason, &view, now);
    }
    assert_eq!(delivered(&verdict), queried[1]);
    let mut verdict = chain.decide(&opening(62), &view, now);
    for _ in 0..3 {
        let key = delivered(&verdict);
        verdict = chain.decide_returned(&opening(62), key, ReturnReason::Failing, &view, now);
    }
    let RelayVerdict::Deliver { targets, .. } = verdict else {
        panic!("no endpoint takes the flow");
    };
    assert!(targets[0].forced);
}
