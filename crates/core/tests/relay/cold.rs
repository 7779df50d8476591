//! Tests of the limit of first packets to cold upstreams.

use crate::support::*;
use crate::surge::{KindPlan, ServicePlan, SurgePlan, SurgeResult, SurgeSimulation};
use proptest::prelude::*;
use quetzalhill_core::relay::chain::{ChainPolicy, RelayChain, RelayDrop, RelayVerdict};
use quetzalhill_core::relay::cold::{ColdGate, ColdPolicy};
use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::packet::PacketKind;
use quetzalhill_core::relay::view::RelayView;
use std::time::{Duration, Instant};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Settings of the first deployment.
const POLICY: ColdPolicy = ColdPolicy {
    overrun: 1.5,
    slack: 5.0,
};

/// Rate of the service in the simulation; the limit that follows is 17.
const RATE: f64 = 8.0;
const LIMIT: usize = 17;

fn chain(now: Instant) -> RelayChain {
    let policy = ChainPolicy {
        cold: Some(POLICY),
        ..ChainPolicy::default()
    };
    RelayChain::with_policy(policy, now)
}

fn cold_view() -> RelayView {
    let mut view = view();
    view.routes.cold_rates.insert(FEED.into(), RATE);
    view
}

/// Returns the most packets in any second, closed at both ends.
fn most_in_a_second(times: &[Duration]) -> usize {
    let mut most = 0;
    for (index, start) in times.iter().enumerate() {
        let within = times[index..]
            .iter()
            .take_while(|at| **at <= *start + SECOND);
        most = most.max(within.count());
    }
    most
}

/// Guards against a limit that is rounded up, is 0, or does not fit into the header of a packet.
#[parameterized(
    usual = { 8.0, 17 },
    fraction = { 3.9, 10 },
    least = { 0.000_1, 5 },
    largest = { 1e9, 255 },
    not_a_number = { f64::NAN, 1 },
)]
fn limit_of_a_rate(rate: f64, expected: u8) {
    assert_eq!(POLICY.limit(rate), expected);
}

/// Guards against a service that never gets a request while it is cold.
#[test]
fn limit_is_at_least_one() {
    let policy = ColdPolicy {
        overrun: 1.0,
        slack: 0.0,
    };
    assert_eq!(policy.limit(0.2), 1);
}

/// Event at an agent, in the model of the property test.
#[derive(Clone, Copy, Debug)]
enum GateEvent {
    /// A first packet arrives, and takes this many milliseconds until it has been sent.
    Packet(u64),
    /// The upstream restarts; its first announcement follows after this many milliseconds.
    Restart(u64),
    /// A packet is refused, as by an upstream that restarts.
    Refused,
    /// The agent restarts beside its upstream.
    AgentRestart,
}

fn gate_event() -> impl Strategy<Value = GateEvent> {
    prop_oneof![
        60 => (0_u64..30).prop_map(GateEvent::Packet),
        2 => (0_u64..700).prop_map(GateEvent::Restart),
        1 => Just(GateEvent::Refused),
        1 => Just(GateEvent::AgentRestart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Guards against any order of packets, pauses, restarts of the agent and refused packets by which a cold upstream
    /// gets more first packets in a sliding second than the limit.
    #[test]
    fn no_order_of_events_exceeds_the_limit(
        limit in 1_u8..40,
        events in prop::collection::vec((0_u64..120, gate_event()), 1..400),
    ) {
        let start = Instant::now();
        let mut now = start;
        let cold_until = start + Duration::from_secs(3_600);
        let mut gate = ColdGate::new(now);
        let mut sent = Vec::new();
        let mut announced = None;
        for (pause, event) in events {
            now += Duration::from_millis(pause);
            if announced.is_some_and(|at| at <= now) {
                gate.announce(Some(cold_until), now + SECOND, false, now);
                announced = None;
            }
            match event {
                GateEvent::Packet(work) => {
                    if gate.wait(Some(limit), now).is_none() {
                        // The upstream gets the packet at some time between the check and the record.
                        sent.push(now + Duration::from_millis(work / 2) - start);
                        now += Duration::from_millis(work);
                        gate.record(now);
                    }
                }
                GateEvent::Restart(silence) => {
                    announced = Some(now + Duration::from_millis(silence));
                }
                GateEvent::Refused => gate.doubt(),
                GateEvent::AgentRestart => gate = ColdGate::new(now),
            }
        }
        let most = most_in_a_second(&sent);
        prop_assert!(most <= usize::from(limit), "{most} of {limit} in a second");
    }
}

/// Guards against a limit that is exceeded by an agent that restarts while its upstream is cold: it does not know what the
/// earlier one has delivered, so it delivers nothing for a second.
#[test]
fn restarted_agent_counts_the_unseen_second_as_used() {
    let start = Instant::now();
    let mut gate = ColdGate::new(start);
    let cold_until = Some(start + 10 * SECOND);
    assert!(gate.wait(Some(LIMIT as u8), start).is_some());
    gate.announce(cold_until, start + 10 * SECOND, false, start);
    let wait = gate.wait(Some(LIMIT as u8), start).expect("a wait");
    assert!(wait >= SECOND, "{wait:?}");
    assert_eq!(gate.wait(Some(LIMIT as u8), start + wait), None);
    // An agent that saw the start of its upstream knows that there was no earlier one.
    let mut gate = ColdGate::new(start);
    gate.announce(cold_until, start + 10 * SECOND, true, start);
    assert_eq!(gate.wait(Some(LIMIT as u8), start), None);
    // Nor does it matter once the upstream is warm.
    let mut gate = ColdGate::new(start);
    gate.announce(None, start + 10 * SECOND, false, start);
    assert_eq!(gate.wait(Some(LIMIT as u8), start), None);
}

/// Guards against an upstream that counts as warm although it may have restarted: after a refused packet, and when its
/// announcements are overdue.
#[test]
fn upstream_counts_as_cold_until_an_announcement_says_otherwise() {
    let start = Instant::now();
    let mut gate = ColdGate::new(start);
    gate.announce(None, start + SECOND, true, start);
    gate.record(start);
    assert_eq!(gate.wait(Some(1), start), None);
    gate.doubt();
    assert!(gate.wait(Some(1), start).is_some());
    gate.announce(None, start + SECOND, true, start);
    assert_eq!(gate.wait(Some(1), start), None);
    gate.record(start + SECOND);
    assert!(gate.wait(Some(1), start + SECOND).is_some());
}

/// Guards against a restriction of deployments whose entries send no limit.
#[test]
fn packet_without_a_limit_is_not_restricted() {
    let start = Instant::now();
    let mut gate = ColdGate::new(start);
    for _ in 0..500 {
        assert_eq!(gate.wait(None, start), None);
        gate.record(start);
    }
    let now = Instant::now();
    let mut plain = RelayChain::new(now);
    let RelayVerdict::Deliver { targets, .. } = plain.decide(&opening(1), &cold_view(), now) else {
        panic!("not delivered");
    };
    assert_eq!(targets[0].cold_limit, None);
    let RelayVerdict::Deliver { targets, .. } = chain(now).decide(&opening(1), &view(), now) else {
        panic!("not delivered");
    };
    assert_eq!(targets[0].cold_limit, None);
}

/// Guards against a forced flow that exceeds the limit of a cold upstream, and against a wait that ends too early.
#[test]
fn agent_returns_forced_flows_beyond_the_limit() {
    let verdict = decide(&IntakeContext {
        window: None,
        kind: PacketKind::Opening { copies: 0 },
        state: UpstreamState::Ready,
        service_matches: true,
        failing: false,
        forced: true,
        busy: 0,
        slots: 2,
        cold_wait: Some(Duration::from_micros(1_500)),
    });
    let expected = ReturnReason::Cold { wait_ms: 2 };
    assert_eq!(verdict, IntakeVerdict::Return(expected));
}

/// Guards against an entry that sends first packets to endpoints without credit, drops one while another has credit,
/// resets it, or does not place its copy once there is credit again.
#[test]
fn entry_leaves_out_endpoints_without_credit_until_their_time_is_over() {
    let view = cold_view();
    let now = Instant::now();
    let mut chain = chain(now);
    let reason = ReturnReason::Cold { wait_ms: 150 };
    let mut verdict = chain.decide(&opening(1), &view, now);
    let mut tried = Vec::new();
    while let RelayVerdict::Deliver { targets, .. } = &verdict {
        assert_eq!(targets[0].cold_limit, Some(17));
        let key = targets[0].endpoint;
        assert!(!tried.contains(&key));
        tried.push(key);
        verdict = chain.decide_returned(&opening(1), key, reason, &view, now);
    }
    assert_eq!(tried.len(), 7);
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::Cold));
    // Another flow does not try them again.
    let verdict = chain.decide(&opening(2), &view, now + Duration::from_millis(149));
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::Cold));
    let later = now + Duration::from_millis(200);
    let copy = packet(1, PacketKind::Opening { copies: 1 });
    delivered(&chain.decide(&copy, &view, later));
}

/// Guards against a flow that is forced on a busy endpoint without credit while another busy one has credit.
#[test]
fn flow_is_forced_only_on_an_endpoint_with_credit() {
    let view = cold_view();
    let now = Instant::now();
    let mut chain = chain(now);
    let mut verdict = chain.decide(&opening(1), &view, now);
    let mut busy = Vec::new();
    for requests in [4, 5, 6] {
        let key = delivered(&verdict);
        busy.push(key);
        let reason = ReturnReason::Busy { requests };
        verdict = chain.decide_returned(&opening(1), key, reason, &view, now);
    }
    assert_eq!(delivered(&verdict), busy[0]);
    let reason = ReturnReason::Cold { wait_ms: 150 };
    verdict = chain.decide_returned(&opening(1), busy[0], reason, &view, now);
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::Cold));
    let verdict = chain.decide(&opening(2), &view, now);
    assert_ne!(delivered(&verdict), busy[0]);
}

/// Guards against an endpoint that is left out after its upstream has restarted, whose credit is a new one.
#[test]
fn new_incarnation_has_credit() {
    let mut view = cold_view();
    let feed = view.services.get_mut(FEED).expect("feed");
    feed.endpoints.truncate(1);
    let now = Instant::now();
    let mut chain = chain(now);
    let key = delivered(&chain.decide(&opening(1), &view, now));
    let reason = ReturnReason::Cold { wait_ms: 900 };
    let verdict = chain.decide_returned(&opening(1), key, reason, &view, now);
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::Cold));
    let feed = view.services.get_mut(FEED).expect("feed");
    feed.endpoints[0].incarnation = INCARNATION + 1;
    delivered(&chain.decide(&opening(2), &view, now));
}

/// 23 entries place on endpoints that have just become cold; a part of the packets is lost, so that copies follow.
fn play_cold(cold: Option<ColdPolicy>, seed: u64) -> SurgeResult {
    let plan = SurgePlan {
        policy: ChainPolicy {
            cold,
            ..ChainPolicy::default()
        },
        entries: 23,
        services: vec![ServicePlan {
            name: FEED,
            endpoints: 12,
            slots: 2,
            queue_max: 8,
            cold_rate: Some(RATE),
        }],
        kinds: vec![KindPlan {
            shares: vec![(FEED, 1)],
            work_ms: 30.0,
            target: Duration::from_millis(250),
            timeout: Duration::from_millis(1_500),
            rate_per_s: 600.0,
            returning: 400,
        }],
        length: 4 * SECOND,
        start_spread: Duration::from_millis(200),
        cold_time: 3 * SECOND,
        loss: 0.03,
    };
    SurgeSimulation::new(plan, seed).run()
}

/// Guards against endpoints that get more first packets in a sliding second than their limit, and against credit that
/// stays unused while callers wait.
#[test]
fn entries_together_stay_below_the_limit_and_use_the_credit() {
    for seed in 0..3 {
        let limited = play_cold(Some(POLICY), seed);
        let free = play_cold(None, seed);
        let mut used = 0;
        for times in &limited.first_packets {
            let cold: Vec<Duration> = times
                .iter()
                .copied()
                .filter(|at| *at < 3 * SECOND)
                .collect();
            let most = most_in_a_second(&cold);
            assert!(most <= LIMIT, "{most} of {LIMIT} in a second");
            used += cold.len();
        }
        // Three seconds less the spread of the starts, for 12 endpoints.
        let share = used as f64 / (12.0 * LIMIT as f64 * 2.8);
        let most = free
            .first_packets
            .iter()
            .map(|times| most_in_a_second(times))
            .max();
        println!(
            "seed {seed}: used {share:.3} of the credit, without a limit {most:?} in a second"
        );
        assert!(share >= 0.9, "{share}");
        assert!(most > Some(2 * LIMIT), "the load does not reach the limit");
    }
}
