//! Terms of a flow and the cold limit, packed into the 32-bit detail of a deliver header.
//!
//! From the lowest bit: forced (1), priority (3), target in units of 8 ms (10), timeout in units of 64 ms (10), cold limit (8).
//! A target of 0 with a timeout of 0 and the lowest priority stands for no terms, and a cold limit of 0 for none.

use super::RelayHeader;
use quetzalhill_core::ids::ServiceDigest;
use quetzalhill_core::relay::terms::FlowTerms;
use std::time::Duration;

const TARGET_UNIT_MS: u32 = 8;
const TIMEOUT_UNIT_MS: u32 = 64;

/// Largest value of the ten bits for a target or timeout.
const UNITS_MAX: u32 = 0x3ff;

const PRIORITY_SHIFT: u32 = 1;
const TARGET_SHIFT: u32 = 4;
const TIMEOUT_SHIFT: u32 = 14;
const COLD_SHIFT: u32 = 24;

pub(super) fn encode_terms(forced: bool, terms: Option<FlowTerms>, cold_limit: Option<u8>) -> u32 {
    let terms = terms.unwrap_or_default();
    let priority = u32::from(terms.priority.min(FlowTerms::LOWEST_PRIORITY));
    u32::from(forced)
        | priority << PRIORITY_SHIFT
        | units(terms.target, TARGET_UNIT_MS) << TARGET_SHIFT
        | units(terms.timeout, TIMEOUT_UNIT_MS) << TIMEOUT_SHIFT
        | u32::from(cold_limit.unwrap_or(0)) << COLD_SHIFT
}

pub(super) fn decode_terms(service: ServiceDigest, detail: u32) -> RelayHeader {
    let target = (detail >> TARGET_SHIFT & UNITS_MAX) * TARGET_UNIT_MS;
    let timeout = (detail >> TIMEOUT_SHIFT & UNITS_MAX) * TIMEOUT_UNIT_MS;
    let priority = (detail >> PRIORITY_SHIFT) as u8 & FlowTerms::LOWEST_PRIORITY;
    let terms = FlowTerms {
        priority,
        target: Duration::from_millis(target.into()),
        timeout: Duration::from_millis(timeout.into()),
    };
    let cold_limit = (detail >> COLD_SHIFT) as u8;
    RelayHeader::Deliver {
        service,
        forced: detail & 1 != 0,
        terms: (terms != FlowTerms::default()).then_some(terms),
        cold_limit: (cold_limit != 0).then_some(cold_limit),
    }
}

/// Rounds up, so that a caller's time is never taken for shorter than it is.
fn units(time: Duration, unit_ms: u32) -> u32 {
    let units = time.as_millis().div_ceil(unit_ms.into());
    u32::try_from(units).unwrap_or(u32::MAX).min(UNITS_MAX)
}
