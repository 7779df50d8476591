//! SWIM probes of other entries, direct and through third entries.

use super::controller::{
    send, ActionList, MemberController, FIRST_CONTACT, PING_UPDATE_BUDGET, PROBE_INTERVAL,
};
use super::message::{EntryStatus, MemberMessage, MemberUpdate};
use crate::ids::EntryId;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for a direct answer before the target is probed indirectly.
const DIRECT_LIMIT: Duration = Duration::from_millis(300);

/// Entries through which a target is probed indirectly.
const INDIRECT_PROBERS: usize = 3;

#[derive(Debug)]
enum ProbeKind {
    Own {
        /// When the indirect probes are due; none after they were sent.
        indirect_at: Option<Instant>,
    },
    Relayed {
        origin: EntryId,
        number: u32,
    },
}

#[derive(Debug)]
struct OpenProbe {
    target: EntryId,
    kind: ProbeKind,
    fail_at: Instant,
}

/// Probes without an answer, and the entries of the own zone that remain in this round.
#[derive(Debug, Default)]
pub(super) struct ProbeState {
    last_number: u32,
    open: BTreeMap<u32, OpenProbe>,
    round: Vec<EntryId>,
}

impl ProbeState {
    /// Returns when an open probe next has to be sent indirectly or fails.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let deadlines = self.open.values().map(|probe| match probe.kind {
            ProbeKind::Own {
                indirect_at: Some(deadline),
            } => deadline.min(probe.fail_at),
            _ => probe.fail_at,
        });
        deadlines.min()
    }

    fn open(&mut self, probe: OpenProbe) -> u32 {
        self.last_number = self.last_number.wrapping_add(1).max(FIRST_CONTACT + 1);
        self.open.insert(self.last_number, probe);
        self.last_number
    }
}

impl MemberController {
    /// Starts a probe of the next entry of the own zone and, from a bridge, of some entries of other zones.
    pub(super) fn start_probes(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        actions: &mut ActionList,
    ) {
        if self.probes.round.is_empty() {
            let zone = self.own_record.zone.clone();
            let live = self.entries.live_in(&zone).map(|record| record.id);
            self.probes.round = live.collect();
            self.probes.round.shuffle(rng);
        }
        let mut targets = self.zone_targets(rng);
        targets.extend(self.probes.round.pop());
        for target in targets {
            let live = |status| status != EntryStatus::Left;
            if !self
                .entries
                .slots
                .get(&target)
                .is_some_and(|slot| live(slot.status))
            {
                continue;
            }
            let number = self.probes.open(OpenProbe {
                target,
                kind: ProbeKind::Own {
                    indirect_at: Some(now + self.health.scale(DIRECT_LIMIT)),
                },
                fail_at: now + self.health.scale(PROBE_INTERVAL).mul_f64(0.95),
            });
            let message = self.ping(number, target);
            actions.push(send(target, message));
        }
    }

    /// Chooses one live entry in each of up to `ZONE_FANOUT` other zones, if this entry is a bridge of its own zone.
    fn zone_targets(&self, rng: &mut SmallRng) -> Vec<EntryId> {
        if !self.entries.is_bridge(&self.own_record) {
            return Vec::new();
        }
        let mut zones = self.entries.other_zones(&self.own_record.zone);
        zones.shuffle(rng);
        let mut targets = Vec::new();
        for zone in zones.iter().take(super::controller::ZONE_FANOUT) {
            targets.extend(self.entries.choose(zone, self.own_record.id, 1, rng));
        }
        targets
    }

    /// Builds a ping; if the target is suspected, the first update is the suspicion, so that the target can refute it.
    fn ping(&mut self, number: u32, target: EntryId) -> MemberMessage {
        let mut head = self.head(PING_UPDATE_BUDGET);
        if let Some(update) = self.suspicion_of(target) {
            head.updates.insert(0, update);
        }
        MemberMessage::Ping(number, head)
    }

    fn suspicion_of(&self, target: EntryId) -> Option<MemberUpdate> {
        let slot = self.entries.slots.get(&target)?;
        if slot.status != EntryStatus::Suspect {
            return None;
        }
        Some(MemberUpdate::Entry {
            record: slot.record.clone(),
            status: EntryStatus::Suspect,
            by: self.own_record.id,
            remaining_s: 0,
        })
    }

    /// Sends indirect probes to targets that have not answered, and suspects targets that no probe reached in time.
    pub(super) fn tick_probes(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        actions: &mut ActionList,
    ) {
        let mut indirect = Vec::new();
        let mut failed = Vec::new();
        for (&number, probe) in &mut self.probes.open {
            if probe.fail_at <= now {
                failed.push(number);
                continue;
            }
            let ProbeKind::Own { indirect_at } = &mut probe.kind else {
                continue;
            };
            if indirect_at.is_some_and(|deadline| deadline <= now) {
                *indirect_at = None;
                indirect.push((number, probe.target));
            }
        }
        for (number, target) in indirect {
            let zone = self.own_record.zone.clone();
            for prober in self.entries.choose(&zone, target, INDIRECT_PROBERS, rng) {
                let message = MemberMessage::PingReq(number, target, self.bare_head());
                actions.push(send(prober, message));
            }
        }
        for number in failed {
            let Some(probe) = self.probes.open.remove(&number) else {
                continue;
            };
            if matches!(probe.kind, ProbeKind::Relayed { .. }) {
                continue;
            }
            self.health.worsen();
            self.suspect_entry(probe.target, self.own_record.id, true, now);
        }
    }

    /// Closes the probe that an `Ack` answers; the answer to a probe on behalf of another entry is sent to that entry.
    pub(super) fn close_probe(&mut self, number: u32, target: EntryId, actions: &mut ActionList) {
        let Some(probe) = self.probes.open.get(&number) else {
            return;
        };
        if probe.target != target {
            return;
        }
        match probe.kind {
            ProbeKind::Own { .. } => self.health.improve(),
            ProbeKind::Relayed { origin, number } => {
                let message = MemberMessage::Ack(number, target, self.bare_head());
                actions.push(send(origin, message));
            }
        }
        self.probes.open.remove(&number);
    }

    /// Probes `target` on behalf of `origin`, whose probe has this number.
    pub(super) fn relay_probe(
        &mut self,
        number: u32,
        target: EntryId,
        origin: EntryId,
        now: Instant,
        actions: &mut ActionList,
    ) {
        let own = self.probes.open(OpenProbe {
            target,
            kind: ProbeKind::Relayed { origin, number },
            fail_at: now + PROBE_INTERVAL,
        });
        let message = self.ping(own, target);
        actions.push(send(target, message));
    }
}
