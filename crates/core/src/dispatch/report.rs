//! Content and timing of load reports.

use super::message::{ActionList, DispatchAction, DispatchPolicy, LoadReport};
use super::DispatchController;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant};

/// Shortest time between two reports.
///
/// Reporting every change of the free slots, at most every 250 µs, took twice as many messages and gave the same p99.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time between two reports of an agent with running or queued requests.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two reports of an idle agent.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time constant of the moving average of the utilization, in seconds.
const UTILIZATION_SECONDS: f64 = 1.0;

/// State between load reports: the last report, the next due time and the utilization.
#[derive(Debug, Default)]
pub(super) struct ReportState {
    last: Option<(LoadReport, Instant)>,
    /// When the next report is due.
    due: Option<Instant>,
    /// Moving average of the share of slots in use, from 0 to 1.
    utilization: f64,
    last_sample: Option<(Instant, f64)>,
}

impl ReportState {
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.due
    }

    /// Updates the moving average with the share in use since the last call, and stores the current share.
    fn update_utilization(&mut self, share: f64, now: Instant) {
        if let Some((at, before)) = self.last_sample {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            let decay = (-elapsed / UTILIZATION_SECONDS).exp();
            self.utilization = before + (self.utilization - before) * decay;
        }
        self.last_sample = Some((now, share));
    }
}

impl DispatchController {
    /// Returns the current load, as reported to peers.
    pub fn load(&self, now: Instant) -> LoadReport {
        // CAST: The queue is bounded by the catalogue's limits; larger values saturate before the cast.
        let queued = self.queue.len().min(usize::from(u16::MAX)) as u16;
        // CAST: At most `slots` requests run.
        let running = self.running.len().min(usize::from(u16::MAX)) as u16;
        let long_allowed = self.pool_admits_long(now);
        let oldest = self
            .queue
            .oldest(|request| request.offered_by.is_none() && (long_allowed || !request.long));
        let startable = self.startable_count(now).min(usize::from(u16::MAX));
        // CAST: The value is clamped to the range of u16.
        let startable = startable as u16;
        let age = oldest.map_or(0, |request| {
            let waited = now.saturating_duration_since(request.meta.arrived);
            u32::try_from(waited.as_micros()).unwrap_or(u32::MAX).max(1)
        });
        let accepting = !self.draining && !self.upstream_unavailable && !self.is_ejected(now);
        LoadReport {
            free_slots: match accepting {
                true => self.slots.saturating_sub(running).saturating_sub(startable),
                false => 0,
            },
            running,
            queued,
            waiting_class: oldest.map_or_else(Default::default, |request| request.meta.class),
            oldest_us: age,
            long_running: self.long_running(),
            busy_permille: self.busy_permille(),
            accepting,
        }
    }

    /// Returns the moving average of the share of slots in use, in thousandths.
    pub(super) fn busy_permille(&self) -> u16 {
        // CAST: The value is clamped to 1,000.
        (self.report.utilization * 1_000.0).clamp(0.0, 1_000.0) as u16
    }

    /// Sends a load report if a relevant change or the longest interval makes one due, else schedules the next.
    pub(super) fn send_report(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        actions: &mut ActionList,
    ) {
        // CAST: At most `slots` requests run, far below 2^52.
        let share = self.running.len() as f64 / f64::from(self.slots.max(1));
        self.report.update_utilization(share, now);
        let on_change = match self.policy {
            DispatchPolicy::Pooled => true,
            DispatchPolicy::LeastReported => false,
            DispatchPolicy::Random | DispatchPolicy::RoundRobin | DispatchPolicy::Local => return,
        };
        if self.peers.views.is_empty() {
            self.report.due = None;
            return;
        }
        let report = self.load(now);
        let due = match self.report.last {
            None => now,
            Some((last, at)) if on_change && is_relevant_change(&last, &report) => {
                at + MIN_INTERVAL
            }
            Some((_, at)) if report.running + report.queued > 0 => at + BUSY_INTERVAL,
            Some((_, at)) => at + IDLE_INTERVAL,
        };
        if due > now {
            self.report.due = Some(due);
            return;
        }
        self.peers.draw_targets(rng);
        self.report.last = Some((report, now));
        self.report.due = Some(now + BUSY_INTERVAL);
        actions.push(DispatchAction::SendLoad(report));
    }
}

/// Returns whether the change is relevant for the decisions of peers and worth a report before the interval ends.
fn is_relevant_change(last: &LoadReport, report: &LoadReport) -> bool {
    (last.free_slots > 0) != (report.free_slots > 0)
        || last.accepting != report.accepting
        || last.waiting_class != report.waiting_class
        || (last.oldest_us > 0) != (report.oldest_us > 0)
        || last.long_running != report.long_running
}
