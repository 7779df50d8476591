//! Measures placement by an entry of the relay, with upstreams of equal and of different pace.

use crate::fit::Series;
use crate::meter::mean_microseconds;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::relay::fleet::{EndpointReport, FleetController, ListedEndpoint};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::pace::{EndpointPace, ServiceTime};
use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::place::{choose_endpoint, TriedList};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];

/// Endpoints of the second deployment's main service (docs/load.md).
const TARGET_ENDPOINTS: f64 = 40.0;

const SERVICE: &str = "feed";

/// Measures all quantities and prints their rows.
pub(crate) fn measure() {
    for (pace, placement, build) in [
        (
            false,
            "time of a placement, us",
            "time to build the view, us",
        ),
        (
            true,
            "time of a placement by pace, us",
            "time to build the view with pace, us",
        ),
    ] {
        let mut placements = series(placement);
        let mut builds = series(build);
        for size in SIZES {
            let (place_us, build_us) = measure_size(size, pace);
            placements.points.push((f64::from(size), place_us));
            builds.points.push((f64::from(size), build_us));
        }
        placements.print();
        builds.print();
    }
}

fn series(quantity: &'static str) -> Series {
    Series {
        role: "relay",
        quantity,
        unit: "endpoints of the service",
        target: TARGET_ENDPOINTS,
        points: Vec::new(),
    }
}

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns the time of a placement and of a view in microseconds.
fn measure_size(size: u32, pace: bool) -> (f64, f64) {
    let now = Instant::now();
    let mut fleet = FleetController::new("zone-0".into()).with_pace(pace);
    for number in 0..size {
        fleet.report(report(number, pace, now), now);
    }
    let build = mean_microseconds(100_000 / size, |_| {
        std::hint::black_box(fleet.services(now));
    });
    let services = fleet.services(now);
    let service = &services[SERVICE];
    let tried = TriedList::new();
    let place = mean_microseconds(4_000_000 / size, |call| {
        let flow = FlowAddresses {
            caller: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + call), 1_024),
            service: service_address(),
        };
        let chosen = choose_endpoint(service, flow, &tried, |_| 0, |_| false, now);
        std::hint::black_box(chosen);
    });
    (place, build)
}

fn report(number: u32, pace: bool, now: Instant) -> EndpointReport {
    let address = SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000 + number), 7_000);
    // A quarter of the upstreams takes twice as long as the others.
    let millis = if number.is_multiple_of(4) { 90 } else { 45 };
    let service_times = ServiceTime {
        address: service_address(),
        average: Duration::from_millis(millis),
    };
    EndpointReport {
        endpoint: ListedEndpoint {
            id: id_of(address),
            service: SERVICE.into(),
            zone: format!("zone-{}", number / 2 % 4),
            incarnation: 1,
            slots: 4,
        },
        order: (1, 1),
        state: UpstreamState::Ready,
        stopping: false,
        load: LoadCounts {
            flows: number % 40,
            busy: number % 5,
        },
        addresses: [service_address()].into_iter().collect(),
        coverage: FlowCoverage::Complete,
        cold_until: None,
        digest: None,
        keepalive_sent: None,
        pace: pace.then(|| EndpointPace {
            window: 8,
            service_times: [service_times].into_iter().collect(),
        }),
        expires: now + Duration::from_secs(3_600),
    }
}
