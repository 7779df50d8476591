//! What an agent does with packets of flows that it may not hold.

use quetzalhill_core::flow::{decide, FlowFacts, FlowIntake, FlowOrigin, FlowVerdict};
use std::net::{Ipv4Addr, SocketAddrV4};
use yare::parameterized;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn facts(origin: FlowOrigin, intake: FlowIntake) -> FlowFacts {
    FlowFacts {
        origin,
        intake,
        hops: 0,
        second: Some(address(2)),
        peer: Some(address(3)),
        own: address(1),
    }
}

/// Guards against a drain that breaks flows or handshakes, and against packets that reach a foreign flow.
#[parameterized(
    own = { FlowOrigin::Own, FlowIntake::Draining, FlowVerdict::Deliver },
    handshake = { FlowOrigin::Handshake, FlowIntake::Draining, FlowVerdict::Deliver },
    foreign = { FlowOrigin::Foreign, FlowIntake::Open, FlowVerdict::Drop },
    invalid = { FlowOrigin::Invalid, FlowIntake::Open, FlowVerdict::Drop },
    open = { FlowOrigin::Unknown, FlowIntake::Open, FlowVerdict::Deliver },
    full = { FlowOrigin::Unknown, FlowIntake::Full, FlowVerdict::Forward(address(2)) },
    draining = { FlowOrigin::Unknown, FlowIntake::Draining, FlowVerdict::Forward(address(2)) },
)]
fn verdict_follows_origin_and_intake(
    origin: FlowOrigin,
    intake: FlowIntake,
    expected: FlowVerdict,
) {
    assert_eq!(decide(&facts(origin, intake)), expected);
}

/// Guards against packets that circle between agents, or go back to the agent that passes them on.
#[test]
fn packet_is_passed_on_once_and_not_to_itself() {
    let first = facts(FlowOrigin::Unknown, FlowIntake::Draining);
    let passed = FlowFacts { hops: 1, ..first };
    assert_eq!(decide(&passed), FlowVerdict::Drop);
    let to_self = FlowFacts {
        second: Some(address(1)),
        ..first
    };
    assert_eq!(decide(&to_self), FlowVerdict::Forward(address(3)));
    let alone = FlowFacts {
        peer: None,
        ..to_self
    };
    assert_eq!(decide(&alone), FlowVerdict::Drop);
}
