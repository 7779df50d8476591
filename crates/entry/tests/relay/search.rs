//! The search for the holder of a flow that has moved to the entry.

use crate::site::{deliver_header, EntrySite, SiteOptions, TIME_LIMIT};
use quetzalhill_core::relay::packet::PacketKind;
use quetzalhill_wire::relay::{ClaimNotice, RelayNotice};
use std::time::Instant;

/// Flow of the test; other flows are placed while the entry starts.
const FLOW: u16 = 2_000;

/// Index of the agent in another zone, which the search asks after both agents of the zone.
const FAR: usize = 2;

/// Guards against a flow that does not reach its upstream because one agent of the first round is lost, while the caller
/// sends nothing more (review/8), and against copies of its packets once the agent of the holder has claimed it.
#[test]
fn search_goes_on_without_a_lost_agent_until_the_holder_claims_the_flow() {
    let site = EntrySite::start(&SiteOptions {
        number: 3,
        schedule: false,
        terms: None,
        zones: &["zone-a", "zone-a", "zone-b"],
    });
    site.place_flow();
    site.send(FLOW, PacketKind::Established);
    let query = deliver_header(true, None);
    assert_eq!(site.wait(0, FLOW), query);
    assert_eq!(site.wait(1, FLOW), query);
    // The other agent of the zone has lost power.
    site.return_packet(1, FLOW);
    assert_eq!(site.wait(FAR, FLOW), query);
    let claim = RelayNotice::FlowClaim(ClaimNotice::new(site.flow(FLOW), 1));
    site.notify_from(FAR, &claim);
    // A packet that the entry reads before the claim still goes to the lost agent.
    let started = Instant::now();
    loop {
        assert!(started.elapsed() < TIME_LIMIT, "the claim has no effect");
        site.send(FLOW, PacketKind::Established);
        assert_eq!(site.wait(FAR, FLOW), deliver_header(false, None));
        if site.next(0).is_none() && site.next(1).is_none() {
            break;
        }
    }
    site.stop();
}
