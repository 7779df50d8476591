//! Load of an upstream from the packets of its flows.

use crate::support::*;
use quetzalhill_core::relay::load::{LoadMeter, IDLE_MAX};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use std::time::{Duration, Instant};

fn data(number: u16) -> PacketHead {
    PacketHead {
        data_len: 100,
        ..established(number)
    }
}

/// Guards against a load that does not see requests, or sees them after their answer.
#[test]
fn request_counts_until_its_answer() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    meter.answered(&packet(1, PacketKind::Accepting), now);
    assert_eq!((meter.counts(now).flows, meter.counts(now).busy), (1, 0));
    // The request of a new flow is on its way.
    assert_eq!(meter.pressure(now), 1);
    assert_eq!(meter.pressure(now + Duration::from_millis(60)), 0);
    meter.delivered(&data(1), now);
    assert_eq!(meter.pressure(now + Duration::from_millis(60)), 1);
    assert_eq!(meter.counts(now).busy, 1);
    let later = now + Duration::from_millis(30);
    assert_eq!(meter.answered(&established(1), later), None);
    assert_eq!(
        meter.answered(&data(1), later),
        Some(Duration::from_millis(30))
    );
    assert_eq!(meter.counts(later).busy, 0);
    assert_eq!(meter.addresses().as_slice(), [service_address()]);
}

/// Guards against flows that count for ever.
#[test]
fn ended_and_idle_flows_do_not_count() {
    let now = Instant::now();
    let mut meter = LoadMeter::default();
    for number in 1..=3 {
        meter.answered(&packet(number, PacketKind::Accepting), now);
    }
    meter.answered(&packet(1, PacketKind::Ending), now);
    meter.delivered(&packet(2, PacketKind::Reset), now);
    assert_eq!(meter.counts(now).flows, 1);
    assert_eq!(meter.counts(now + IDLE_MAX).flows, 0);
}
