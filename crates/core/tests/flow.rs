//! What an agent does with packets of flows that it may not hold.

use quetzalhill_core::flow::{decide, FlowAdmission, FlowContext, FlowOrigin, FlowVerdict};
use std::net::{Ipv4Addr, SocketAddrV4};
use yare::parameterized;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn context(origin: FlowOrigin, admission: FlowAdmission) -> FlowContext {
    FlowContext {
        origin,
        admission,
        hops: 0,
        second: Some(address(2)),
        peer: Some(address(3)),
        local: address(1),
    }
}

/// Guards against a drain that breaks flows or handshakes, and against packets that reach a foreign flow.
#[parameterized(
    local = { FlowOrigin::Local, FlowAdmission::Draining, FlowVerdict::Deliver },
    handshake = { FlowOrigin::Handshake, FlowAdmission::Draining, FlowVerdict::Deliver },
    foreign = { FlowOrigin::Foreign, FlowAdmission::Open, FlowVerdict::Drop },
    invalid = { FlowOrigin::Invalid, FlowAdmission::Open, FlowVerdict::Drop },
    open = { FlowOrigin::Unknown, FlowAdmission::Open, FlowVerdict::Deliver },
    full = { FlowOrigin::Unknown, FlowAdmission::Full, FlowVerdict::Forward(address(2)) },
    draining = { FlowOrigin::Unknown, FlowAdmission::Draining, FlowVerdict::Forward(address(2)) },
)]
fn verdict_follows_origin_and_intake(
    origin: FlowOrigin,
    admission: FlowAdmission,
    expected: FlowVerdict,
) {
    assert_eq!(decide(&context(origin, admission)), expected);
}

/// Guards against packets that circle between agents, or go back to the agent that passes them on.
#[test]
fn packet_is_passed_on_once_and_not_to_itself() {
    let first = context(FlowOrigin::Unknown, FlowAdmission::Draining);
    let passed = FlowContext { hops: 1, ..first };
    assert_eq!(decide(&passed), FlowVerdict::Drop);
    let to_self = FlowContext {
        second: Some(address(1)),
        ..first
    };
    assert_eq!(decide(&to_self), FlowVerdict::Forward(address(3)));
    let alone = FlowContext {
        peer: None,
        ..to_self
    };
    assert_eq!(decide(&alone), FlowVerdict::Drop);
}
