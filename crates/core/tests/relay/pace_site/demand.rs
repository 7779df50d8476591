//! Demand of the callers of the simulated site.

use super::{urgent_address, CallerFlow, EventKind, PaceSite, CLIENT_DELAY, ENTRIES, ZONES};
use crate::support::service_address;
use quetzalhill_core::relay::packet::FlowAddresses;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Requests per second of the main service.
const STREAMS_PER_S: f64 = 1_040.0;
const URGENT_PER_S: f64 = 330.0;

/// Requests of a long flow.
const STREAMS_PER_FLOW: u32 = 4;

/// Swing of the demand of a zone, and its period; the zones are a quarter of it out of step.
const SWING: f64 = 0.55;
const SWING_S: f64 = 15.0;

fn address_of_flow(number: usize, urgent: bool) -> FlowAddresses {
    let number = u32::try_from(number).expect("fits");
    let caller = Ipv4Addr::from(0x6440_0000 + number / 50_000);
    let port = u16::try_from(1_024 + number % 50_000).expect("fits");
    FlowAddresses {
        caller: SocketAddrV4::new(caller, port),
        service: match urgent {
            true => urgent_address(),
            false => service_address(),
        },
    }
}

impl PaceSite {
    /// Opens flows up to the time of the next event, at a rate that swings by zone.
    pub(super) fn draw_arrivals(&mut self) {
        for index in 0..self.next_arrivals.len() {
            let (mut at, zone, urgent) = self.next_arrivals[index];
            let per_s = match urgent {
                true => URGENT_PER_S,
                false => STREAMS_PER_S / f64::from(STREAMS_PER_FLOW),
            };
            // CAST: The number of zones is small.
            let most = self.options.load * per_s * (1.0 + SWING) / ZONES as f64;
            while at <= self.now {
                at += self.exponential(1_000.0 / most);
                // CAST: The number of zones is small.
                let phase = at.duration_since(self.start).as_secs_f64() / SWING_S
                    + zone as f64 / ZONES as f64;
                let rate = 1.0 + SWING * (phase * std::f64::consts::TAU).sin();
                if self.rng.random_range(0.0..1.0) < rate / (1.0 + SWING) {
                    self.open(at, zone, urgent);
                }
            }
            self.next_arrivals[index] = (at, zone, urgent);
        }
    }

    pub(super) fn exponential(&mut self, mean_ms: f64) -> Duration {
        let share = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln();
        Duration::from_secs_f64(share * mean_ms / 1_000.0)
    }

    fn open(&mut self, at: Instant, zone: usize, urgent: bool) {
        let number = self.flows.len();
        let entries = (ENTRIES - zone).div_ceil(ZONES);
        self.flows.push(CallerFlow {
            addresses: address_of_flow(number, urgent),
            entry: zone + ZONES * self.rng.random_range(0..entries),
            endpoint: usize::MAX,
            incarnation: 0,
            requests_left: match urgent {
                true => 1,
                false => STREAMS_PER_FLOW,
            },
            acknowledged: 1,
            sent: at,
            work_ms: 0.0,
            is_outlier: false,
        });
        self.push(at + CLIENT_DELAY, EventKind::Opening, number);
    }
}
