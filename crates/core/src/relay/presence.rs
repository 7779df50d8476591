//! What an agent knows of its upstream from the upstream's announcements.

use crate::ids::{IncarnationNumber, ServiceName, UpstreamName, ZoneName};
use crate::relay::intake::UpstreamState;
use crate::relay::load::IDLE_MAX;
use std::time::{Duration, Instant};

/// Announcement intervals without an announcement after which an upstream counts as lost: two may be missed.
const LOST_INTERVALS: u32 = 3;

/// Announcement intervals of silence after which another life of the upstream is believed although its start looks
/// earlier, as it does when the clock was set back.
const TAKEOVER_INTERVALS: u32 = 2;

/// Highest sequence number of an announcement that may be the first of its life; one may have been lost.
const FIRST_SEQUENCE: u64 = 2;

/// Time for which an agent that is restarted is away at least, in milliseconds; an upstream that started within it
/// before the agent cannot have taken flows through an earlier agent.
const RESTART_MS: u64 = 200;

/// Time after the start of a life during which callers come back with lost flows; twelve seconds is the longest idle
/// time of a flow at an upstream.
const DIGEST_TIME: Duration = Duration::from_secs(12);

/// Longest time between two ticks during which silence counts; an agent that was paused has heard nothing itself.
const TICK_MAX: Duration = Duration::from_millis(1_000);

/// What an upstream says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// Name of the upstream, which a restart may keep.
    pub name: UpstreamName,
    /// When the upstream started, by its own clock, in Unix milliseconds.
    pub incarnation: IncarnationNumber,
    /// Order of the announcements of one life.
    pub sequence: u64,
    /// Service whose requests it answers.
    pub service: ServiceName,
    /// Availability zone in which it runs.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it finishes its flows and will leave.
    pub draining: bool,
    /// Until when it is slow after its start.
    pub cold_until: Option<Instant>,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresenceOutcome {
    /// Nothing changed but the time of the last announcement.
    Confirmed,
    /// A life of the upstream began or its state changed.
    Changed,
    /// A later announcement or life is known already.
    Late,
    /// The announcement is for another service.
    Foreign,
}

/// The upstream as the agent believes it to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// The last announcement.
    pub announcement: UpstreamAnnouncement,
    /// When it arrived.
    pub received: Instant,
}

/// Follows the lives and states of the upstream.
#[derive(Debug)]
pub struct PresenceController {
    service: ServiceName,
    interval: Duration,
    /// Start of the agent by the clock that also dates the lives of the upstream, in Unix milliseconds.
    started: IncarnationNumber,
    upstream: Option<UpstreamRecord>,
    state: UpstreamState,
    /// From when on the agent has seen all open flows of the upstream.
    covers_from: Instant,
    ticked: Instant,
}

impl PresenceController {
    /// Makes a controller for the upstream of `service`, which announces itself every `interval`. The agent started
    /// at `started`, in Unix milliseconds.
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

    /// Returns what is believed of the upstream.
    pub fn state(&self) -> UpstreamState {
        self.state
    }

    /// Returns the last announcement that was believed.
    pub fn upstream(&self) -> Option<&UpstreamRecord> {
        self.upstream.as_ref()
    }

    /// Returns whether the agent has seen all open flows of the upstream: those of a life that began under its eyes,
    /// or those that have not been idle since the agent started.
    pub fn covers(&self, now: Instant) -> bool {
        self.covers_from <= now
    }

    /// Returns whether entries are told which flows the upstream holds: while callers may come back with flows that its
    /// former life lost.
    pub fn reports_digest(&self, now: Instant) -> bool {
        self.covers(now) && now < self.covers_from + DIGEST_TIME
    }

    /// Takes an announcement.
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

    /// Returns whether no earlier agent can have passed flows to this life of the upstream.
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

    /// Notes that a probe found the upstream healthy before any announcement arrived.
    pub fn mark_healthy(&mut self) -> PresenceOutcome {
        if self.state != UpstreamState::Unknown {
            return PresenceOutcome::Late;
        }
        self.state = UpstreamState::Ready;
        PresenceOutcome::Changed
    }

    /// Takes the goodbye of the upstream `name`.
    pub fn deregister(&mut self, name: &UpstreamName) -> PresenceOutcome {
        let upstream = self.upstream.as_ref();
        if upstream.is_some_and(|known| known.announcement.name != *name) {
            return PresenceOutcome::Late;
        }
        self.set_gone()
    }

    /// Notes that the instance reports no process at the address of the upstream.
    ///
    /// An upstream that announces itself is believed more than a refusal, which may be older.
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

    /// Notes the passing of time; called several times in each interval.
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
