//! The relay's entry with real sockets: the packets that agents get.
//!
//! The tests play the agents, the caller and the store.

mod search;
mod site;

use quetzalhill_core::relay::terms::FlowTerms;
use site::{deliver_header, EntrySite, SiteOptions};
use std::time::Duration;

const TERMS: FlowTerms = FlowTerms {
    priority: 2,
    target: Duration::from_millis(248),
    timeout: Duration::from_millis(1_536),
};

/// Guards against an agent that cannot order requests because the terms of their route do not reach it, and against
/// headers that older agents cannot read where the setting is off or the route states no terms.
#[yare::parameterized(
    scheduled = { 0, true, Some(TERMS), Some(TERMS) },
    setting_off = { 1, false, Some(TERMS), None },
    no_terms = { 2, true, None, None },
)]
fn terms_reach_the_agent_where_the_setting_is_on(
    number: u8,
    schedule: bool,
    stated: Option<FlowTerms>,
    terms: Option<FlowTerms>,
) {
    let site = EntrySite::start(&SiteOptions {
        number,
        schedule,
        terms: stated,
        zones: &["zone-a"],
    });
    assert_eq!(site.place_flow(), deliver_header(false, terms));
    site.stop();
}
