//! Compares the service times of the endpoints of one service.
//!
//! The median of a service is its usual pace, so that neither the nominal pace of an upstream nor an unusual one has to
//! be known. See docs/design/pace.md.

use crate::relay::pace::EndpointPace;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Endpoints with a measured time below which an address is not compared; of two, none is the usual one.
const ENDPOINTS_MIN: usize = 3;

/// Factors that count as 1. Averages vary by a tenth, and placement of like endpoints has to be as without factors.
const EQUAL_RANGE: RangeInclusive<f64> = 0.75..=1.33;

/// Least and greatest factor; beyond them, a wrong measurement would do more harm than a right one does good.
const FACTOR_MIN: f64 = 0.25;
const FACTOR_MAX: f64 = 8.0;

/// Returns for each pace its factor: the service times over the medians of their addresses, or `None` if no address of
/// the endpoint can be compared. Takes time linear in the number of endpoints.
pub fn compare_paces(paces: &[Option<&EndpointPace>]) -> Vec<Option<f64>> {
    let mut by_address: HashMap<SocketAddrV4, Vec<Duration>> = HashMap::new();
    for pace in paces.iter().flatten() {
        for time in &pace.service_times {
            by_address
                .entry(time.address)
                .or_default()
                .push(time.average);
        }
    }
    let mut medians: HashMap<SocketAddrV4, Duration> = HashMap::new();
    for (address, mut times) in by_address {
        if times.len() < ENDPOINTS_MIN {
            continue;
        }
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        medians.insert(address, *median);
    }
    let mut factors = Vec::with_capacity(paces.len());
    for pace in paces {
        factors.push(pace.and_then(|pace| factor_of(pace, &medians)));
    }
    factors
}

/// Returns the sum of the service times over the sum of the medians, so that each address weighs as much as its work.
fn factor_of(pace: &EndpointPace, medians: &HashMap<SocketAddrV4, Duration>) -> Option<f64> {
    let (mut own, mut usual) = (0.0, 0.0);
    for time in &pace.service_times {
        let Some(median) = medians.get(&time.address) else {
            continue;
        };
        own += time.average.as_secs_f64();
        usual += median.as_secs_f64();
    }
    if usual <= 0.0 {
        return None;
    }
    let factor = own / usual;
    match EQUAL_RANGE.contains(&factor) {
        true => Some(1.0),
        false => Some(factor.clamp(FACTOR_MIN, FACTOR_MAX)),
    }
}
