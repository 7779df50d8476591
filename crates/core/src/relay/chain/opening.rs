//! What a chain remembers of the first packets of a flow: which copy they are, whether one is held, and whether the flow
//! may still be refused. See docs/design/admission.md.

use super::{RelayChain, RelayDrop, RelayVerdict, SUSPECT_TIME};
use crate::ids::EndpointId;
use crate::relay::admit::AdmissionPolicy;
use crate::relay::flows::{FlowRecord, HeldOpening};
use crate::relay::hold::{HoldReason, ReadyWait, HOLD_TIME};
use crate::relay::packet::PacketHead;
use crate::relay::view::ServiceView;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Time after the arrival of an original first packet in which its flow may be refused. The caller's first copy leaves
/// 200 ms after the original, and may be accepted through another entry.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// Time after a first packet in which another one of the same addresses belongs to the same flow; a caller abandons a flow
/// after 1.4 s.
const OPENING_TIME: Duration = Duration::from_secs(2);

impl RelayChain {
    /// Takes note of a first packet, and returns a verdict if it needs no further decision.
    pub(super) fn begin_opening(
        &mut self,
        head: &PacketHead,
        copies: u32,
        now: Instant,
    ) -> Option<RelayVerdict> {
        let record = self.flows.record(head.flow);
        let unanswered = match self.policy.admission {
            AdmissionPolicy::Off => record_opening(record, copies),
            AdmissionPolicy::On => {
                let held = record.held.filter(|held| now <= held.until);
                match held {
                    // A later copy is held or has been placed in place of this one.
                    Some(held) if copies < held.copies => {
                        return Some(RelayVerdict::Drop(RelayDrop::Duplicate));
                    }
                    // The held packet is decided again; endpoints that returned it before may have room by now.
                    Some(held) if copies == held.copies => {
                        place_anew(record);
                        UnansweredList::new()
                    }
                    // The copy takes the place of the held packet, which may still be released.
                    Some(_) => {
                        let until = now + HOLD_TIME;
                        record.held = Some(HeldOpening { copies, until });
                        record_admitted(record, copies, now)
                    }
                    None => record_admitted(record, copies, now),
                }
            }
        };
        self.suspects.retain(|_, until| now < *until);
        self.credits.tick(now);
        for id in unanswered {
            self.suspects.insert(id, now + SUSPECT_TIME);
            self.unanswered.push(id);
        }
        None
    }

    /// Returns the verdict that holds a first packet until another endpoint of `service` is ready, or `None` if the
    /// packet has been held for long enough or the policy does not hold packets.
    pub(super) fn hold_until_ready(
        &mut self,
        head: &PacketHead,
        copies: u32,
        service: &ServiceView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        if self.policy.admission == AdmissionPolicy::Off {
            return None;
        }
        let record = self.flows.record(head.flow);
        let held = record.held.filter(|held| held.copies == copies);
        let until = held.map_or(now + HOLD_TIME, |held| held.until);
        if until <= now {
            return None;
        }
        record.held = Some(HeldOpening { copies, until });
        Some(RelayVerdict::Hold(HoldReason::Ready(ReadyWait {
            service: service.digest,
            ready: service.ready_mark(),
            until,
        })))
    }
}

/// Endpoints that left a first packet unanswered; a flow is placed on one.
pub type UnansweredList = SmallVec<[EndpointId; 2]>;

/// Resets the record for the original first packet of a flow. For a retransmission, returns the endpoints that did not
/// answer the earlier copy.
fn record_opening(record: &mut FlowRecord, copies: u32) -> UnansweredList {
    if copies == 0 {
        *record = FlowRecord {
            placed: record.placed,
            ..FlowRecord::default()
        };
        return UnansweredList::new();
    }
    if std::mem::take(&mut record.cold_returned) {
        // The endpoints that returned the earlier copy may have credit by now.
        place_anew(record);
    }
    record.queried.drain(..).map(|key| key.id).collect()
}

/// Does the same where flows may be refused: the flow is refused only for the first packet that is known of it, so that no
/// copy of it can have been accepted. A copy is always placed anew, since the load has changed.
fn record_admitted(record: &mut FlowRecord, copies: u32, now: Instant) -> UnansweredList {
    let seen = record.opening_seen;
    let is_first = copies == 0 && seen.is_none_or(|seen| seen + OPENING_TIME <= now);
    if copies > 0 {
        place_anew(record);
    }
    let unanswered = record_opening(record, copies);
    record.opening_seen = Some(now);
    record.refusable_until = is_first.then_some(now + REFUSAL_TIME);
    unanswered
}

fn place_anew(record: &mut FlowRecord) {
    record.tried.clear();
    record.busy.clear();
    record.forced = false;
}
