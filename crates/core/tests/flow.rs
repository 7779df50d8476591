//! Decision of an agent to deliver, forward or drop a packet.

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

/// Guards against a drain that drops packets of open flows or handshakes, and against the delivery of packets that
/// belong to another endpoint's flow.
#[parameterized(
    local = { FlowOrigin::Local, FlowAdmission::Draining, FlowVerdict::Deliver },
    handshake = { FlowOrigin::Handshake, FlowAdmission::Draining, FlowVerdict::Deliver },
    foreign = { FlowOrigin::Foreign, FlowAdmission::Open, FlowVerdict::Drop },
    invalid = { FlowOrigin::Invalid, FlowAdmission::Open, FlowVerdict::Drop },
    open = { FlowOrigin::Unknown, FlowAdmission::Open, FlowVerdict::Deliver },
    full = { FlowOrigin::Unknown, FlowAdmission::Full, FlowVerdict::Forward(address(2)) },
    draining = { FlowOrigin::Unknown, FlowAdmission::Draining, FlowVerdict::Forward(address(2)) },
)]
fn verdict_follows_origin_and_admission(
    origin: FlowOrigin,
    admission: FlowAdmission,
    expected: FlowVerdict,
) {
    assert_eq!(decide(&context(origin, admission)), expected);
}

/// Guards against packets that loop between agents, and against an agent that forwards a packet to itself.
#[test]
fn packet_is_forwarded_once_and_not_to_itself() {
    let first = context(FlowOrigin::Unknown, FlowAdmission::Draining);
    let forwarded = FlowContext { hops: 1, ..first };
    assert_eq!(decide(&forwarded), FlowVerdict::Drop);
    let to_self = FlowContext {
        second: Some(address(1)),
        ..first
    };
    assert_eq!(decide(&to_self), FlowVerdict::Forward(address(3)));
    let no_peer = FlowContext {
        peer: None,
        ..to_self
    };
    assert_eq!(decide(&no_peer), FlowVerdict::Drop);
}
