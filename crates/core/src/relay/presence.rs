//! Tracks the state of an agent's upstream from the upstream's announcements.

use crate::ids::{IncarnationNumber, ServiceName, UpstreamName, ZoneName};
use crate::relay::identity::{match_incarnations, IncarnationMatch};
use crate::relay::intake::UpstreamState;
use crate::relay::load::IDLE_MAX;
use std::time::{Duration, Instant};

/// Announcement intervals without an announcement after which an upstream counts as lost; two announcements may be
/// missed.
const LOST_INTERVALS: u32 = 3;

/// Announcement intervals of silence after which an incarnation with an earlier start is accepted. The start looks
/// earlier if the upstream's clock was set back.
const TAKEOVER_INTERVALS: u32 = 2;

/// Highest sequence number that the first received announcement of an incarnation may have for the agent to have seen
/// its start; one announcement may have been lost.
const FIRST_SEQUENCE: u64 = 2;

/// Shortest time for which a restarting agent is away, in milliseconds. An upstream that started less than this
/// before the agent cannot have taken flows through an earlier agent.
const RESTART_MS: u64 = 200;

/// Time after the start of an incarnation during which callers send packets of flows that the previous one lost;
/// flows are idle at an upstream for twelve seconds at most.
const DIGEST_TIME: Duration = Duration::from_secs(12);

/// Longest gap between two ticks that counts as silence of the upstream; after a longer gap the agent itself was
/// paused and received nothing.
const TICK_MAX: Duration = Duration::from_millis(1_000);

/// An announcement that an upstream sends periodically.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// Name of the upstream, which may stay the same across restarts.
    pub name: UpstreamName,
    /// Start of the upstream by its own clock, in Unix milliseconds.
    pub incarnation: IncarnationNumber,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Service whose requests the upstream answers.
    pub service: ServiceName,
    /// Availability zone in which the upstream runs.
    pub zone: ZoneName,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream finishes its open flows and will end.
    pub draining: bool,
    /// End of the time for which the upstream is slow after its start.
    pub cold_until: Option<Instant>,
}

/// Effect of an announcement, probe or tick on the upstream's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresenceOutcome {
    /// The state did not change.
    Confirmed,
    /// The state changed or another incarnation of the upstream began.
    Changed,
    /// The event was ignored, since a later announcement or incarnation is known.
    Late,
    /// The announcement names another service than the agent's.
    Foreign,
}

/// The current incarnation of the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Last accepted announcement.
    pub announcement: UpstreamAnnouncement,
    /// Arrival of the announcement, moved on by pauses of the agent.
    pub received: Instant,
}

/// Tracks the incarnations and states of the upstream.
#[derive(Debug)]
pub struct PresenceController {
    service: ServiceName,
    interval: Duration,
    /// Start of the agent in Unix milliseconds, by the clock that also dates the incarnations of the upstream.
    started: IncarnationNumber,
    upstream: Option<UpstreamRecord>,
    state: UpstreamState,
    /// Point in time from which the agent has seen all open flows of the upstream.
    covers_from: Instant,
    ticked: Instant,
}

impl PresenceController {
    /// Makes a controller for the upstream of `service`, which announces itself every `interval`. `started` is the
    /// start of the agent in Unix milliseconds.
    pub fn new(
        service: ServiceName,
        interval: Duration,
        started: IncarnationNumber,
        now: Instant,
    ) -> Self {
        Self {
            service,
            interval,
            started,
            upstream: None,
            state: UpstreamState::Unknown,
            covers_from: now + IDLE_MAX,
            ticked: now,
        }
    }

    /// Returns the current state of the upstream.
    pub fn state(&self) -> UpstreamState {
        self.state
    }

    /// Returns the last accepted announcement, or `None` before the first one.
    pub fn upstream(&self) -> Option<&UpstreamRecord> {
        self.upstream.as_ref()
    }

    /// Returns whether the agent has seen all open flows of the upstream: either the agent was running when the
    /// incarnation started, or flows opened before the agent started have timed out.
    pub fn covers_all_flows(&self, now: Instant) -> bool {
        self.covers_from <= now
    }

    /// Returns whether reports carry a digest of the upstream's flows. They do while callers may still send packets
    /// of flows that the previous incarnation lost.
    pub fn reports_digest(&self, now: Instant) -> bool {
        self.covers_all_flows(now) && now < self.covers_from + DIGEST_TIME
    }

    /// Applies an announcement, unless it is for another service or older than the last one.
    pub fn announce(
        &mut self,
        announcement: UpstreamAnnouncement,
        now: Instant,
    ) -> PresenceOutcome {
        if announcement.service != self.service {
            return PresenceOutcome::Foreign;
        }
        if self.is_late(&announcement, now) {
            return PresenceOutcome::Late;
        }
        let state = match announcement.draining {
            true => UpstreamState::Draining,
            false => UpstreamState::Ready,
        };
        let same_incarnation = self.upstream.as_ref().is_some_and(|known| {
            known.announcement.incarnation == announcement.incarnation
                && known.announcement.name == announcement.name
        });
        if !same_incarnation && self.has_seen_start(&announcement) {
            self.covers_from = now;
        }
        let changed = !same_incarnation || state != self.state;
        self.state = state;
        self.upstream = Some(UpstreamRecord {
            announcement,
            received: now,
        });
        match changed {
            true => PresenceOutcome::Changed,
            false => PresenceOutcome::Confirmed,
        }
    }

    /// Returns whether no earlier agent can have delivered flows to this incarnation of the upstream.
    fn has_seen_start(&self, announcement: &UpstreamAnnouncement) -> bool {
        announcement.sequence <= FIRST_SEQUENCE
            || announcement.incarnation.saturating_add(RESTART_MS) >= self.started
    }

    fn is_late(&self, announcement: &UpstreamAnnouncement, now: Instant) -> bool {
        let Some(known) = &self.upstream else {
            return false;
        };
        let last = &known.announcement;
        if announcement.incarnation == last.incarnation && announcement.name == last.name {
            return announcement.sequence <= last.sequence;
        }
        if announcement.incarnation > last.incarnation {
            return false;
        }
        let ended = matches!(self.state, UpstreamState::Gone | UpstreamState::Lost);
        let silent = now.saturating_duration_since(known.received);
        !ended && silent < self.interval * TAKEOVER_INTERVALS
    }

    /// Marks the upstream as ready after a successful health probe, if it has not announced itself yet.
    pub fn mark_healthy(&mut self) -> PresenceOutcome {
        if self.state != UpstreamState::Unknown {
            return PresenceOutcome::Late;
        }
        self.state = UpstreamState::Ready;
        PresenceOutcome::Changed
    }

    /// Marks the upstream as gone because `incarnation` of the upstream `name` deregistered; ignored if another one runs
    /// by now. A restarted upstream may have the same name, and an agent that was paused may read the calls of both in
    /// any order.
    pub fn deregister(
        &mut self,
        name: &UpstreamName,
        incarnation: IncarnationNumber,
    ) -> PresenceOutcome {
        if let Some(known) = &self.upstream {
            let last = &known.announcement;
            let relation = match_incarnations(last.incarnation, incarnation);
            if last.name != *name || relation == IncarnationMatch::Other {
                return PresenceOutcome::Late;
            }
        }
        self.set_gone()
    }

    /// Marks the upstream as gone because the instance refused a packet or probe: no process uses the upstream's
    /// address.
    ///
    /// The refusal is ignored while the upstream announces itself, since it may be older than the last announcement.
    pub fn mark_refused(&mut self) -> PresenceOutcome {
        match self.state {
            UpstreamState::Unknown | UpstreamState::Lost => self.set_gone(),
            UpstreamState::Ready | UpstreamState::Draining | UpstreamState::Gone => {
                PresenceOutcome::Confirmed
            }
        }
    }

    fn set_gone(&mut self) -> PresenceOutcome {
        let changed = self.state != UpstreamState::Gone;
        self.state = UpstreamState::Gone;
        match changed {
            true => PresenceOutcome::Changed,
            false => PresenceOutcome::Confirmed,
        }
    }

    /// Marks the upstream as lost if its announcements are overdue. Has to be called several times per announcement
    /// interval.
    pub fn tick(&mut self, now: Instant) -> PresenceOutcome {
        let gap = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        let Some(known) = &mut self.upstream else {
            return PresenceOutcome::Confirmed;
        };
        if gap > TICK_MAX {
            known.received += gap;
        }
        let silent = now.saturating_duration_since(known.received);
        let active = matches!(self.state, UpstreamState::Ready | UpstreamState::Draining);
        if !active || silent < self.interval * LOST_INTERVALS {
            return PresenceOutcome::Confirmed;
        }
        self.state = UpstreamState::Lost;
        PresenceOutcome::Changed
    }
}
