//! Tests of an agent's decision on the packets of entries.

use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::packet::PacketKind;
use yare::parameterized;

/// Guards against an announcement with an absurd number of slots that ends the agent's traffic thread, or makes an
/// idle upstream look busy, when the number is multiplied.
#[parameterized(
    usual = { 2, 3, true },
    busy = { 2, 4, false },
    doubled_to_zero = { 1 << 31, 3, true },
    largest = { u32::MAX, 3, true },
)]
fn new_flow_at_an_upstream_with_slots(slots: u32, busy: u32, delivered: bool) {
    let verdict = decide(&IntakeContext {
        kind: PacketKind::Opening { copies: 0 },
        state: UpstreamState::Ready,
        service_matches: true,
        failing: false,
        forced: false,
        busy,
        slots,
        cold_wait: None,
        window: None,
    });
    let expected = match delivered {
        true => IntakeVerdict::Deliver,
        false => IntakeVerdict::Return(ReturnReason::Busy { requests: busy }),
    };
    assert_eq!(verdict, expected);
}
