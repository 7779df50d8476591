//! Decides which entries an agent reports to, and when.
//!
//! Entries place most flows in their own availability zone, so only entries of the agent's zone get frequent reports.
//! All other entries get a report at each change of the upstream's state and a sparse refresh, whose interval grows
//! with their number: an agent sends a bounded number of messages a second, however many entries there are. See
//! docs/coordination.md.

use crate::ids::EntryId;
use crate::relay::fleet::{REPORT_INTERVAL, SILENT_AFTER};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Sparse reports of an agent to all entries of other zones together, per second.
const SPARSE_PER_S: f64 = 8.0;

/// Shortest interval between two sparse reports to one entry.
const SPARSE_INTERVAL_MIN: Duration = Duration::from_secs(2);

/// Intervals after which a sparse report expires; one report may be lost, and the interval grows when entries join.
const SPARSE_INTERVALS: f64 = 2.5;

/// Reports to each entry of another zone after a change of state; the first may be lost, and nobody repeats it.
const CHANGE_REPORTS: u32 = 2;

/// Maximum number of entries that get reports.
const SUBSCRIBERS_MAX: usize = 4_096;

/// Peers named in one report; the reports of a zone's agents together name all of them within a second or two.
const PEERS_PER_REPORT: usize = 3;

/// How often an entry gets reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReportRate {
    /// Every [`REPORT_INTERVAL`], for entries of the agent's availability zone.
    Frequent,
    /// At changes of state and at a sparse refresh, for all other entries.
    Sparse,
}

/// A keepalive of an entry, which subscribes it to reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryKeepalive {
    /// Clock value of the entry in milliseconds; reports return it.
    pub clock_ms: u32,
    /// Whether the entry needs a report at once.
    pub urgent: bool,
    /// How often the entry gets reports.
    pub rate: ReportRate,
    /// End of the subscription, unless another keepalive arrives.
    pub expires: Instant,
}

#[derive(Clone, Copy, Debug)]
struct ReportSubscriber {
    keepalive: EntryKeepalive,
    next_report: Instant,
    /// Reports of the last change of state that are still to be sent.
    change_reports: u32,
}

/// A report that has to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DueReport {
    /// Entry that gets the report.
    pub entry: EntryId,
    /// Clock value of the entry's last keepalive.
    pub clock_ms: u32,
    /// How often the entry gets reports.
    pub rate: ReportRate,
    /// Point in time at which the report expires if no other follows.
    pub expires: Instant,
}

/// Entries named in a report.
pub type PeerList = SmallVec<[EntryId; PEERS_PER_REPORT]>;

/// Tracks the entries that have subscribed to an agent's reports.
#[derive(Debug, Default)]
pub struct SubscriberController {
    subscribers: HashMap<EntryId, ReportSubscriber>,
    /// Counts the lists of peers, so that each list names the next entries.
    peer_lists: usize,
}

impl SubscriberController {
    /// Records a keepalive, and returns the report that the entry has to get at once, if any.
    pub fn subscribe(
        &mut self,
        entry: EntryId,
        keepalive: EntryKeepalive,
        now: Instant,
    ) -> Option<DueReport> {
        let known = self.subscribers.contains_key(&entry);
        if !known && self.subscribers.len() >= SUBSCRIBERS_MAX {
            return None;
        }
        let interval = self.interval(keepalive.rate);
        let subscriber = self.subscribers.entry(entry).or_insert(ReportSubscriber {
            keepalive,
            next_report: now + interval,
            change_reports: 0,
        });
        let expires = subscriber.keepalive.expires.max(keepalive.expires);
        subscriber.keepalive = EntryKeepalive {
            expires,
            ..keepalive
        };
        if known && !keepalive.urgent {
            return None;
        }
        subscriber.next_report = now + interval;
        Some(due_report(entry, &keepalive, interval, now))
    }

    /// Makes a report to every entry due, after a change of the upstream's state.
    pub fn record_change(&mut self, now: Instant) {
        for subscriber in self.subscribers.values_mut() {
            subscriber.next_report = now;
            subscriber.change_reports = match subscriber.keepalive.rate {
                ReportRate::Frequent => 0,
                ReportRate::Sparse => CHANGE_REPORTS,
            };
        }
    }

    /// Returns the reports that are due, and removes the entries whose subscription has expired.
    pub fn take_due(&mut self, now: Instant) -> Vec<DueReport> {
        self.subscribers
            .retain(|_, subscriber| now < subscriber.keepalive.expires);
        let sparse_interval = self.interval(ReportRate::Sparse);
        let mut due = Vec::new();
        for (entry, subscriber) in &mut self.subscribers {
            if now < subscriber.next_report {
                continue;
            }
            let interval = match subscriber.keepalive.rate {
                ReportRate::Frequent => REPORT_INTERVAL,
                ReportRate::Sparse => sparse_interval,
            };
            subscriber.change_reports = subscriber.change_reports.saturating_sub(1);
            subscriber.next_report = match (subscriber.keepalive.rate, subscriber.change_reports) {
                // The next tick of the agent is due, whatever part of the interval the last one was late.
                (ReportRate::Frequent, _) => now,
                (ReportRate::Sparse, 0) => now + interval,
                (ReportRate::Sparse, _) => now + REPORT_INTERVAL / 2,
            };
            due.push(due_report(*entry, &subscriber.keepalive, interval, now));
        }
        due
    }

    /// Returns some entries of the agent's zone, others each time, by which the entries of the zone learn of each other.
    pub fn next_peers(&mut self) -> PeerList {
        let mut peers: Vec<EntryId> = Vec::new();
        for (entry, subscriber) in &self.subscribers {
            if subscriber.keepalive.rate == ReportRate::Frequent {
                peers.push(*entry);
            }
        }
        peers.sort_unstable();
        let start = self.peer_lists.wrapping_mul(PEERS_PER_REPORT);
        self.peer_lists = self.peer_lists.wrapping_add(1);
        let mut list = PeerList::new();
        for offset in 0..PEERS_PER_REPORT.min(peers.len()) {
            list.push(peers[start.wrapping_add(offset) % peers.len()]);
        }
        list
    }

    fn interval(&self, rate: ReportRate) -> Duration {
        if rate == ReportRate::Frequent {
            return REPORT_INTERVAL;
        }
        let is_sparse =
            |subscriber: &&ReportSubscriber| subscriber.keepalive.rate == ReportRate::Sparse;
        let count = self.subscribers.values().filter(is_sparse).count();
        sparse_interval(count, SPARSE_PER_S).max(SPARSE_INTERVAL_MIN)
    }
}

/// Returns the interval at which each of `count` receivers gets a message if all together get `per_s` a second.
pub(crate) fn sparse_interval(count: usize, per_s: f64) -> Duration {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(count) / per_s)
}

fn due_report(
    entry: EntryId,
    keepalive: &EntryKeepalive,
    interval: Duration,
    now: Instant,
) -> DueReport {
    let lifetime = match keepalive.rate {
        ReportRate::Frequent => SILENT_AFTER,
        ReportRate::Sparse => interval.mul_f64(SPARSE_INTERVALS),
    };
    DueReport {
        entry,
        clock_ms: keepalive.clock_ms,
        rate: keepalive.rate,
        expires: now + lifetime,
    }
}
