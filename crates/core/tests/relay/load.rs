//! Tests of the load of an upstream, measured from the packets of its flows.

use crate::support::*;
use quetzalhill_core::relay::digest::{fingerprint_of, DIGEST_MAX};
use quetzalhill_core::relay::load::{LoadMeter, RequestOutcome, IDLE_MAX};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use std::time::{Duration, Instant};

fn data(number: u16) -> PacketHead {
    PacketHead {
        data_len: 100,
        ..established(number)
    }
}

/// Guards against a load that does not count requests in progress, or still counts them after their response.
#[test]
fn request_is_counted_until_its_response() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    meter.record_sent(&packet(1, PacketKind::Accepting), now);
    assert_eq!((meter.counts(now).flows, meter.counts(now).busy), (1, 0));
    // The first request of a new flow counts although it has not arrived.
    assert_eq!(meter.pending_requests(now), 1);
    assert_eq!(meter.pending_requests(now + Duration::from_millis(60)), 0);
    meter.record_delivered(&data(1), now);
    assert_eq!(meter.pending_requests(now + Duration::from_millis(60)), 1);
    assert_eq!(meter.counts(now).busy, 1);
    let later = now + Duration::from_millis(30);
    assert_eq!(meter.record_sent(&established(1), later), None);
    assert_eq!(
        meter.record_sent(&data(1), later),
        Some(RequestOutcome::Answered(Duration::from_millis(30)))
    );
    assert_eq!(meter.counts(later).busy, 0);
    let addresses = meter.addresses();
    assert_eq!(addresses.list.as_slice(), [service_address()]);
    assert!(addresses.complete);
}

/// Guards against ended, reset or idle flows that are counted for ever.
#[test]
fn ended_and_idle_flows_are_not_counted() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    for number in 1..=3 {
        meter.record_sent(&packet(number, PacketKind::Accepting), now);
    }
    meter.record_sent(&packet(1, PacketKind::Ending), now);
    meter.record_delivered(&packet(2, PacketKind::Reset), now);
    assert_eq!(meter.counts(now).flows, 1);
    assert_eq!(meter.counts(now + IDLE_MAX).flows, 0);
}

/// Guards against a digest without a flow whose last data the upstream still retransmits; an entry would reset the
/// flow.
#[test]
fn digest_contains_open_and_ending_flows() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    for number in 1..=3 {
        meter.record_sent(&packet(number, PacketKind::Accepting), now);
    }
    meter.record_sent(&packet(1, PacketKind::Ending), now);
    meter.record_sent(&packet(2, PacketKind::Reset), now);
    let digest = meter.digest().expect("a few flows");
    assert!(digest.contains(fingerprint_of(flow(1))));
    assert!(!digest.contains(fingerprint_of(flow(2))));
    assert!(digest.contains(fingerprint_of(flow(3))));
    assert_eq!(meter.counts(now).flows, 1);
    let later = now + Duration::from_secs(11);
    meter.counts(later);
    let digest = meter.digest().expect("a few flows");
    assert!(!digest.contains(fingerprint_of(flow(1))));
}

/// Guards against a truncated digest that is taken for complete.
#[test]
fn more_flows_than_the_maximum_have_no_digest() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    let most = u16::try_from(DIGEST_MAX).expect("fits");
    for number in 0..=most {
        assert!(meter.digest().is_some());
        meter.record_sent(&packet(number, PacketKind::Accepting), now);
    }
    assert!(meter.digest().is_none());
}

/// Guards against an upstream that looks busy for half a minute after a crash, because of requests that it lost.
#[test]
fn flows_of_an_earlier_incarnation_are_not_counted() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    meter.record_sent(&packet(1, PacketKind::Accepting), now);
    meter.record_delivered(&data(1), now);
    let born = now + Duration::from_secs(5);
    meter.record_sent(&packet(2, PacketKind::Accepting), born);
    meter.forget_before(born);
    assert_eq!((meter.counts(born).flows, meter.counts(born).busy), (1, 0));
}

/// Guards against the first request of a new flow that is counted twice while it waits at the agent, which counts it
/// itself: new flows would be returned as busy too early.
#[test]
fn held_request_is_not_expected_any_more() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    meter.record_sent(&packet(1, PacketKind::Accepting), now);
    assert_eq!(meter.pending_requests(now), 1);
    meter.record_held(flow(1));
    assert_eq!(meter.pending_requests(now), 0);
    meter.record_delivered(&data(1), now);
    assert_eq!(meter.pending_requests(now), 1);
}

/// Guards against flows that are neither counted nor named in a report which claims to account for all of them: an entry
/// would reset them.
#[test]
fn flows_beyond_the_maximum_make_a_report_incomplete() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    let accepting = |number| packet(number, PacketKind::Accepting);
    for number in 0..8_192 {
        meter.record_sent(&accepting(number), now);
    }
    assert!(meter.addresses().complete);
    meter.record_sent(&accepting(8_192), now);
    let later = now + Duration::from_secs(1);
    for number in 100..=8_191 {
        meter.record_delivered(&packet(number, PacketKind::Reset), later);
    }
    // The digest would fit, but lacks the last flow.
    assert_eq!(meter.counts(later).flows, 100);
    assert!(!meter.addresses().complete);
    assert!(meter.digest().is_none());
    meter.record_sent(&established(1), now + IDLE_MAX);
    meter.counts(now + IDLE_MAX);
    assert!(meter.addresses().complete);
    assert!(meter.digest().is_some());
}

/// Guards against an agent that claims a flow whose first packet its upstream has accepted too, but which opened at another
/// one: packets would go to the wrong upstream.
#[test]
fn accepted_flow_is_held_once_the_upstream_sends_more() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    assert!(!meter.holds(flow(1)));
    meter.record_sent(&packet(1, PacketKind::Accepting), now);
    meter.record_delivered(&data(1), now);
    assert!(!meter.holds(flow(1)));
    meter.record_sent(&established(1), now);
    assert!(meter.holds(flow(1)));
    // An agent that started later has seen no acceptance.
    meter.record_sent(&data(2), now);
    assert!(meter.holds(flow(2)));
    meter.record_sent(&packet(2, PacketKind::Reset), now);
    assert!(!meter.holds(flow(2)));
}
