//! How the control thread notices that the store was restored from an older copy, and tells the other entries of its zone.

use super::range::ROUTES_NAME;
use super::RelayControl;
use quetzalhill_core::ids::StoreEra;
use quetzalhill_core::relay::era::EraChange;
use quetzalhill_core::relay::peers::ListRole;
use quetzalhill_node::relay::follow::FollowMode;
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_store::api::CatalogueStore;
use quetzalhill_wire::relay::RelayNotice;
use std::time::Instant;

impl RelayControl {
    /// Records the highest era that the store's answers have shown, before the answer to a call of `follows` is applied.
    pub(super) fn observe_era(&mut self, follows: &'static str, now: Instant) {
        let era = self.store.era();
        let change = self.fleet.observe_era(era, now);
        self.state.counters.era.record(change, era, follows);
        let EraChange::Restored { .. } = change else {
            return;
        };
        self.list_revision = 0;
        if let Some(until) = self.fleet.era().grace_until() {
            self.evacuations.restart(until);
        }
        self.routes_freshness.record_restore(now);
        self.list_freshness.record_restore(now);
        // The followers of the ranges read them again by themselves where they watch them.
        if follows == ROUTES_NAME && *self.list_mode.borrow() == FollowMode::Poll {
            self.check_list_age(now);
        }
        self.tell_era(now);
        self.publish(now);
    }

    /// Tells the other entries of the zone the era of the store, if it was restored lately and this entry reads for them.
    pub(super) fn tell_era(&mut self, now: Instant) {
        let era = self.fleet.era();
        if !era.is_told(now) || self.peers.role(now) != ListRole::Reader {
            return;
        }
        let notice = RelayNotice::StoreEra(era.era());
        for peer in self.peers.peers() {
            self.send_to_peer(&notice, peer, NoticeKind::StoreEra);
        }
    }

    /// Reads the store if another entry has seen a later era. The answer makes the followers of both ranges read them
    /// again, so that the other range need not be read here too.
    pub(super) fn handle_store_era(&mut self, era: StoreEra, now: Instant) {
        if !self.fleet.hear_era(era, now) {
            return;
        }
        match *self.list_mode.borrow() {
            FollowMode::Poll => self.confirm_endpoints.notify_one(),
            FollowMode::Watch | FollowMode::LongWatch => self.confirm_routes.notify_one(),
        }
    }
}
