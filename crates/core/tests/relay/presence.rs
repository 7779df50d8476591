//! Tests of an agent's state of its upstream, and of the decisions that follow from it.

use crate::support::FEED;
use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::packet::PacketKind;
use quetzalhill_core::relay::presence::{
    PresenceController, PresenceOutcome, UpstreamAnnouncement,
};
use std::time::{Duration, Instant};
use yare::parameterized;

const INTERVAL: Duration = Duration::from_millis(770);
const TICK: Duration = Duration::from_millis(400);
const AGENT_START: u64 = 100_000;

fn controller(now: Instant) -> PresenceController {
    PresenceController::new(FEED.into(), INTERVAL, AGENT_START, now)
}

fn announcement(incarnation: u64, sequence: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: "i-1".into(),
        incarnation,
        sequence,
        service: FEED.into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        cold_until: None,
    }
}

/// Guards against a late or repeated announcement that restores an earlier state.
#[test]
fn late_or_repeated_announcement_is_ignored() {
    let now = Instant::now();
    let mut presence = controller(now);
    presence.announce(announcement(5, 3), now);
    let mut draining = announcement(5, 4);
    draining.draining = true;
    assert_eq!(presence.announce(draining, now), PresenceOutcome::Changed);
    for late in [announcement(5, 3), announcement(5, 4), announcement(4, 90)] {
        assert_eq!(presence.announce(late, now), PresenceOutcome::Late);
    }
    assert_eq!(presence.state(), UpstreamState::Draining);
}

/// Guards against an upstream whose announcements are ignored for ever because its clock was set back before it
/// restarted.
#[test]
fn earlier_incarnation_is_accepted_after_silence() {
    let now = Instant::now();
    let mut presence = controller(now);
    presence.announce(announcement(5_000, 7), now);
    let soon = now + INTERVAL;
    assert_eq!(
        presence.announce(announcement(3_000, 1), soon),
        PresenceOutcome::Late
    );
    let later = now + INTERVAL * 2;
    assert_eq!(
        presence.announce(announcement(3_000, 2), later),
        PresenceOutcome::Changed
    );
    let upstream = presence.upstream().expect("an upstream");
    assert_eq!(upstream.announcement.incarnation, 3_000);
}

/// Guards against accepting an announcement of another service that reuses the address.
#[test]
fn announcement_of_another_service_is_refused() {
    let now = Instant::now();
    let mut presence = controller(now);
    let mut foreign = announcement(5, 1);
    foreign.service = "other".into();
    assert_eq!(presence.announce(foreign, now), PresenceOutcome::Foreign);
    assert_eq!(presence.state(), UpstreamState::Unknown);
}

/// Guards against an upstream that counts as lost because its agent was paused, and against one that crashed and
/// stays ready.
#[test]
fn upstream_is_lost_only_after_silence_while_the_agent_runs() {
    let mut now = Instant::now();
    let mut presence = controller(now);
    presence.announce(announcement(5, 1), now);
    presence.tick(now);
    now += Duration::from_secs(9);
    assert_eq!(presence.tick(now), PresenceOutcome::Confirmed);
    let mut ticks = 0;
    while presence.state() == UpstreamState::Ready {
        now += TICK;
        ticks += 1;
        presence.tick(now);
    }
    assert_eq!(presence.state(), UpstreamState::Lost);
    assert!(
        TICK * ticks <= INTERVAL * 3 + TICK,
        "lost after {ticks} ticks"
    );
    assert_eq!(
        presence.announce(announcement(5, 2), now),
        PresenceOutcome::Changed
    );
    assert_eq!(presence.state(), UpstreamState::Ready);
}

/// Guards against resets after the restart of an agent that does not know the open flows of its upstream. Also guards
/// against 30 s without resets after a power failure, when the upstream announced itself before its agent was up.
#[parameterized(
    seen_from_the_first_announcement = { 50_000, 1, true },
    started_just_before_the_agent = { AGENT_START - 36, 3, true },
    older_than_the_agent = { AGENT_START - 1_500, 3, false },
)]
fn all_flows_are_covered_unless_the_upstream_is_older_than_the_agent(
    incarnation: u64,
    sequence: u64,
    covers: bool,
) {
    let now = Instant::now();
    let mut presence = controller(now);
    assert!(!presence.covers_all_flows(now));
    presence.announce(announcement(incarnation, sequence), now);
    assert_eq!(presence.covers_all_flows(now), covers);
    assert!(presence.covers_all_flows(now + Duration::from_secs(30)));
}

/// Guards against the deregistration of an earlier upstream that ends the present one.
#[test]
fn deregistration_of_an_earlier_upstream_is_ignored() {
    let now = Instant::now();
    let mut presence = controller(now);
    presence.announce(announcement(5, 1), now);
    assert_eq!(presence.deregister(&"i-0".into(), 0), PresenceOutcome::Late);
    assert_eq!(
        presence.deregister(&"i-1".into(), 0),
        PresenceOutcome::Changed
    );
    assert_eq!(presence.state(), UpstreamState::Gone);
}

/// Guards against a running upstream that counts as gone because the deregistration of its earlier incarnation, under
/// the same name, is read after its own announcement, as by an agent that was paused.
#[parameterized(
    earlier = { 5, PresenceOutcome::Late, UpstreamState::Ready },
    present = { 6, PresenceOutcome::Changed, UpstreamState::Gone },
    not_named = { 0, PresenceOutcome::Changed, UpstreamState::Gone },
)]
fn deregistration_ends_only_its_own_incarnation(
    incarnation: u64,
    expected: PresenceOutcome,
    state: UpstreamState,
) {
    let now = Instant::now();
    let mut presence = controller(now);
    presence.announce(announcement(5, 9), now);
    presence.announce(announcement(6, 1), now);
    let outcome = presence.deregister(&"i-1".into(), incarnation);
    assert_eq!((outcome, presence.state()), (expected, state));
}

/// Guards against a packet for one service that reaches an upstream of another, and against new flows for an upstream
/// that is not ready. Packets of open flows reach their upstream until it has ended.
#[parameterized(
    wrong_service = { UpstreamState::Ready, false, true, Some(ReturnReason::WrongService) },
    wrong_service_open_flow = { UpstreamState::Ready, false, false, Some(ReturnReason::WrongService) },
    ready = { UpstreamState::Ready, true, true, None },
    draining = { UpstreamState::Draining, true, true, Some(ReturnReason::NotReady) },
    draining_open_flow = { UpstreamState::Draining, true, false, None },
    unknown = { UpstreamState::Unknown, true, true, Some(ReturnReason::NotReady) },
    unknown_open_flow = { UpstreamState::Unknown, true, false, None },
    lost = { UpstreamState::Lost, true, true, Some(ReturnReason::NotReady) },
    lost_open_flow = { UpstreamState::Lost, true, false, None },
    gone_open_flow = { UpstreamState::Gone, true, false, Some(ReturnReason::NotHeld) },
)]
fn intake(
    state: UpstreamState,
    service_matches: bool,
    opening: bool,
    returned: Option<ReturnReason>,
) {
    let kind = match opening {
        true => PacketKind::Opening { copies: 0 },
        false => PacketKind::Established,
    };
    let expected = returned.map_or(IntakeVerdict::Deliver, IntakeVerdict::Return);
    let context = IntakeContext {
        kind,
        state,
        service_matches,
        failing: false,
        forced: false,
        busy: 0,
        slots: 4,
        cold_wait: None,
        window: None,
    };
    assert_eq!(decide(&context), expected);
}

/// Load: a peak. Guards against new flows that queue at one upstream while others have free slots, against open flows
/// that are returned as busy, and against a check that acts before the slots are known.
#[parameterized(
    free = { 7, 4, false, true, None },
    busy = { 8, 4, false, true, Some(ReturnReason::Busy { requests: 8 }) },
    busy_but_forced = { 8, 4, true, true, None },
    busy_open_flow = { 8, 4, false, false, None },
    slots_unknown = { 8, 0, false, true, None },
)]
fn new_flow_is_returned_by_a_busy_upstream(
    busy: u32,
    slots: u32,
    forced: bool,
    opening: bool,
    returned: Option<ReturnReason>,
) {
    let kind = match opening {
        true => PacketKind::Opening { copies: 0 },
        false => PacketKind::Established,
    };
    let context = IntakeContext {
        kind,
        state: UpstreamState::Ready,
        service_matches: true,
        failing: false,
        forced,
        busy,
        slots,
        cold_wait: None,
        window: None,
    };
    let expected = returned.map_or(IntakeVerdict::Deliver, IntakeVerdict::Return);
    assert_eq!(decide(&context), expected);
}

/// Guards against an endpoint whose upstream has ended and that keeps entries from resetting flows, and against a
/// refusal that ends an upstream which announces itself.
#[test]
fn refused_probe_does_not_end_an_announced_upstream() {
    let now = Instant::now();
    let mut presence = controller(now);
    assert_eq!(presence.mark_refused(), PresenceOutcome::Changed);
    assert_eq!(presence.state(), UpstreamState::Gone);
    presence.announce(announcement(5, 1), now);
    assert_eq!(presence.mark_refused(), PresenceOutcome::Confirmed);
    assert_eq!(presence.state(), UpstreamState::Ready);
}
