//! Tests of the flows that are reset when their upstream has restarted.

use crate::support::*;
use proptest::prelude::*;
use quetzalhill_core::relay::open_flows::{OpenFlow, OpenFlows, RecordedFlows, ZoneFlows};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use std::time::{Duration, Instant};

const HELD: Duration = Duration::from_millis(3_100);

fn holder(incarnation: u64) -> EndpointKey {
    EndpointKey { id: 7, incarnation }
}

/// Records two packets of a flow at `holder`, of which the second acknowledges an answer.
fn use_flow(flows: &mut OpenFlows, port: u16, holder: EndpointKey, now: Instant) {
    flows.record_delivered(&established(port), holder, now);
    let answered = PacketHead {
        acknowledged: established(port).acknowledged + 600,
        ..established(port)
    };
    flows.record_delivered(&answered, holder, now);
}

fn ending(port: u16) -> PacketHead {
    PacketHead {
        kind: PacketKind::Ending,
        ..established(port)
    }
}

/// Load: an upstream restarts while callers keep flows to it. Guards against requests that are lost on flows which are
/// known to have ended, and against the reset of flows that the upstream opened since.
#[test]
fn flows_of_earlier_incarnations_are_reset_once() {
    let now = Instant::now();
    let mut flows = OpenFlows::default();
    use_flow(&mut flows, 1, holder(100), now);
    use_flow(&mut flows, 2, holder(200), now);
    use_flow(
        &mut flows,
        3,
        EndpointKey {
            id: 8,
            incarnation: 100,
        },
        now,
    );
    let later = now + HELD;
    let ended = flows.take_ended(7, 200, later);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].flow, established(1).flow);
    assert!(flows.take_ended(7, 200, later).is_empty());
    assert_eq!(flows.snapshot(later).len(), 2);
}

/// Guards against the reset of flows that are not certainly at the endpoint: its incarnation is not known, the flow has
/// only just been sent there, an endpoint returned a packet of it, or a late account names an earlier incarnation.
#[test]
fn flows_in_doubt_are_not_reset() {
    let now = Instant::now();
    let mut flows = OpenFlows::default();
    use_flow(&mut flows, 1, holder(0), now);
    use_flow(&mut flows, 2, holder(100), now);
    flows.remove(established(2).flow);
    use_flow(&mut flows, 3, holder(100), now);
    flows.record_delivered(&ending(3), holder(100), now);
    use_flow(&mut flows, 4, holder(100), now);
    flows.record_delivered(&opening(4), holder(100), now);
    use_flow(&mut flows, 5, holder(300), now);
    let later = now + HELD;
    use_flow(&mut flows, 6, holder(100), later);
    assert!(flows.take_ended(7, 200, later).is_empty());
}

/// Guards against the reset of a flow that a restarted upstream has taken before its first announcement: the entry still
/// believes in the former incarnation. The restart is known within three seconds.
#[test]
fn flow_opened_before_the_restart_is_known_is_not_reset() {
    let now = Instant::now();
    let mut flows = OpenFlows::default();
    use_flow(&mut flows, 1, holder(100), now);
    let known = now + Duration::from_millis(2_700);
    use_flow(&mut flows, 1, holder(100), known);
    assert!(flows.take_ended(7, 200, known).is_empty());
}

/// Guards against the reset of a flow whose packets went to an endpoint that did not answer, so that another one may
/// hold it.
#[test]
fn unanswered_flow_is_not_reset() {
    let now = Instant::now();
    let mut flows = OpenFlows::default();
    flows.record_delivered(&established(1), holder(100), now);
    flows.record_delivered(&established(1), holder(100), now + HELD);
    assert!(flows.take_ended(7, 200, now + HELD).is_empty());
}

/// Load: everything loses power. Guards against a record that resets flows before their upstream is known to have
/// restarted, more than once, or long after the start, when callers may use the same ports again.
#[test]
fn recorded_flows_wait_for_their_upstream() {
    let now = Instant::now();
    let open = OpenFlow {
        flow: established(1).flow,
        holder: holder(100),
        acknowledged: 5,
    };
    let mut recorded = RecordedFlows::new(now);
    recorded.load(vec![open]);
    assert!(recorded.take_ended(|_| None, now).is_empty());
    assert!(recorded.take_ended(|_| Some(100), now).is_empty());
    assert_eq!(recorded.take_ended(|_| Some(101), now), [open]);
    assert!(recorded.take_ended(|_| Some(101), now).is_empty());
    recorded.load(vec![open]);
    let late = now + Duration::from_secs(11);
    assert!(recorded.take_ended(|_| Some(101), late).is_empty());
}

/// Guards against a record that keeps flows of an entry that has ended, or grows without bound.
#[test]
fn zone_record_is_bounded_and_current() {
    let now = Instant::now();
    let mut zone = ZoneFlows::default();
    for port in 1..=30_000 {
        let open = OpenFlow {
            flow: established(port).flow,
            holder: holder(100),
            acknowledged: 5,
        };
        zone.record(vec![open], now);
    }
    assert!(zone.named(now).len() <= 20_000);
    assert!(zone.named(now + Duration::from_secs(4)).is_empty());
}

proptest! {
    /// Guards against an order of packets and restarts by which a flow of the incarnation that runs is reset. A flow's
    /// holder in the model is the last endpoint to which its packets were sent alone and that did not return one.
    #[test]
    fn no_flow_of_the_running_incarnation_is_reset(
        events in prop::collection::vec((0_u8..5, 1_u16..4, 0_u64..600), 1..60),
    ) {
        let mut now = Instant::now();
        let mut running = 100;
        let mut flows = OpenFlows::default();
        for (event, port, wait) in events {
            now += Duration::from_millis(wait);
            match event {
                0 | 1 => flows.record_delivered(&established(port), holder(running), now),
                2 => flows.remove(established(port).flow),
                3 => running += 100,
                _ => {
                    for open in flows.take_ended(7, running, now) {
                        prop_assert!(open.holder.incarnation < running);
                    }
                }
            }
        }
    }
}
