//! The control thread of the agent for opaque flows: announcements of the upstream, reports to entries, registration
//! in the store.

mod probe;
mod reports;

use self::probe::{probe_once, ProbeOutcome};
use super::registration::keep_registered;
use super::settings::RelaySettings;
use super::shared::{AgentState, UpstreamStatus};
use super::traffic::{AgentRelay, AgentSockets, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use ntex::client::Client;
use ntex::time::{sleep, Millis};
use ntex::SharedCfg;
use prometheus::Registry;
use quetzalhill_core::ids::{id_of, IncarnationNumber, UpstreamName};
use quetzalhill_core::relay::fleet::{ListedEndpoint, REPORT_INTERVAL};
use quetzalhill_core::relay::identity::UNKNOWN_INCARNATION;
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::presence::{
    PresenceController, PresenceOutcome, UpstreamAnnouncement,
};
use quetzalhill_core::relay::schedule::RequestScheduler;
use quetzalhill_core::relay::subscribe::SubscriberController;
use quetzalhill_node::calls::{self, ArrivedCall, CallReply};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_platform::announcement;
use quetzalhill_platform::server::{self, ServerCall};
use std::cell::RefCell;
use std::net::{SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;

/// Margin in announcement intervals: an incarnation may have accepted flows for this long before its first announcement
/// arrives, because two announcements may get lost before an upstream counts as lost.
const START_MARGIN_INTERVALS: u32 = 3;

/// Announcement intervals for which an announcement says whether the upstream is cold; one may be lost. A restarted
/// upstream announces itself within one interval.
const ANNOUNCED_INTERVALS: u32 = 2;

/// Health probes per round while announcements are missing. Their number is small because each one occupies a slot
/// of the upstream for a moment.
const PROBES_PER_ROUND: u32 = 2;

/// Pause after each probe.
const PROBE_PAUSE: Millis = Millis(250);

/// A running control thread.
#[derive(Debug)]
pub(super) struct ControlHandle {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Reports the stop to the entries and ends the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread has panicked.
    pub(super) fn stop(self) -> Result<()> {
        self.stop.send_replace(true);
        let ended = self.thread.join();
        ended.map_err(|_| anyhow!("the control thread panicked"))
    }
}

/// Input of [`start`].
pub(super) struct ControlSetup {
    pub(super) settings: RelaySettings,
    pub(super) state: Arc<AgentState>,
    pub(super) sockets: Arc<AgentSockets>,
    /// Delivers held requests whose time has come.
    pub(super) relay: Arc<AgentRelay>,
    pub(super) events: mpsc::Receiver<TrafficEvent>,
    pub(super) registry: Registry,
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the thread cannot be started.
pub(super) fn start(setup: ControlSetup) -> Result<ControlHandle> {
    let relay = &setup.settings.relay;
    let mut bound = Vec::new();
    for address in [
        relay.announcements,
        relay.ready,
        setup.settings.node.metrics,
    ] {
        let listener = TcpListener::bind(address);
        bound.push(listener.with_context(|| format!("binding the address {address}"))?);
    }
    let (stop, stopping) = watch::channel(false);
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let system = ntex::rt::System::build()
                .name("control")
                .build(ntex::rt::DefaultRuntime);
            if let Err(error) = system.block_on(run(setup, bound, stopping)) {
                emit(
                    EventCode::TaskFailed,
                    &[("task", &"control"), ("error", &format!("{error:#}"))],
                );
            }
        })
        .context("starting the control thread")?;
    Ok(ControlHandle { stop, thread })
}

async fn run(
    setup: ControlSetup,
    listeners: Vec<TcpListener>,
    mut stopping: watch::Receiver<bool>,
) -> Result<()> {
    let store = setup.settings.common().open_store().await?;
    let (registration, target) = watch::channel(None);
    let now = Instant::now();
    let control = Rc::new(RefCell::new(AgentControl::new(&setup, registration, now)));
    for listener in listeners {
        let (control, registry) = (control.clone(), setup.registry.clone());
        let handler = Rc::new(move |call| handle_call(&control, &registry, &call));
        ntex::rt::spawn(calls::serve(listener, handler)).detach();
    }
    let era = setup.state.counters.era.clone();
    ntex::rt::spawn(keep_registered(store, target, era)).detach();
    let losses = control.borrow().losses.subscribe();
    ntex::rt::spawn(probe(control.clone(), losses)).detach();
    let mut events = setup.events;
    loop {
        let tick = control.borrow().next_tick;
        let now = Instant::now();
        if tick <= now {
            // Events that never pause must not keep the tick from its work.
            control.borrow_mut().tick(now);
            continue;
        }
        tokio::select! {
            _ = stopping.changed() => {
                control.borrow_mut().stop(Instant::now());
                return Ok(());
            }
            received = timeout_at(tick.into(), events.recv()) => match received {
                Ok(Some(event)) => control.borrow_mut().handle_event(event, Instant::now()),
                Ok(None) => return Ok(()),
                // The tick is due now.
                Err(_) => {}
            },
        }
    }
}

/// Probes the health of the upstream when there are no current announcements: at the start, so that a restarted agent
/// does not have to wait for the next announcement, and each time that announcements stop.
async fn probe(control: Rc<RefCell<AgentControl>>, mut losses: watch::Receiver<u64>) {
    let Ok(client) = Client::builder().build(SharedCfg::default()).await else {
        return;
    };
    loop {
        for _ in 0..PROBES_PER_ROUND {
            let upstream = match control.borrow().probe_target() {
                Some(upstream) => upstream,
                None => break,
            };
            let outcome = probe_once(&client, upstream).await;
            control.borrow_mut().handle_probe(outcome, Instant::now());
            sleep(PROBE_PAUSE).await;
        }
        if losses.changed().await.is_err() {
            return;
        }
    }
}

/// Answers an HTTP call: metrics, readiness, announcement or deregistration.
fn handle_call(
    control: &RefCell<AgentControl>,
    registry: &Registry,
    call: &ArrivedCall,
) -> CallReply {
    if let Some(reply) = calls::answer_metrics(registry, call) {
        return reply;
    }
    let now = Instant::now();
    match server::decode(&call.method, &call.path) {
        ServerCall::Ready => CallReply::text(200, "ready\n"),
        ServerCall::Announce(name) => match announcement::decode(name.clone(), &call.body, now) {
            Ok(announcement) => control.borrow_mut().announce(announcement, now),
            Err(error) => {
                emit(
                    EventCode::AnnouncementRefused,
                    &[("upstream", &name), ("error", &error)],
                );
                CallReply::text(400, error.to_string())
            }
        },
        ServerCall::Deregister(name) => {
            let incarnation = announcement::decode_deregistration(&call.body);
            control.borrow_mut().deregister(&name, incarnation, now)
        }
        ServerCall::Other => CallReply::text(404, "no such page\n"),
    }
}

/// State of the control thread.
struct AgentControl {
    settings: RelaySettings,
    state: Arc<AgentState>,
    sockets: Arc<AgentSockets>,
    relay: Arc<AgentRelay>,
    presence: PresenceController,
    registration: watch::Sender<Option<ListedEndpoint>>,
    /// Counts how often the upstream's announcements stopped; each change starts a round of probes.
    losses: watch::Sender<u64>,
    subscribers: SubscriberController,
    started: u64,
    report_count: u64,
    next_tick: Instant,
    stopping: bool,
}

impl AgentControl {
    fn new(
        setup: &ControlSetup,
        registration: watch::Sender<Option<ListedEndpoint>>,
        now: Instant,
    ) -> Self {
        let relay = &setup.settings.relay;
        let interval = Duration::from_millis(relay.announce_ms);
        let started = unix_millis();
        Self {
            settings: setup.settings.clone(),
            state: Arc::clone(&setup.state),
            sockets: Arc::clone(&setup.sockets),
            relay: Arc::clone(&setup.relay),
            presence: PresenceController::new(relay.service.clone(), interval, started, now),
            registration,
            losses: watch::Sender::new(0),
            subscribers: SubscriberController::default(),
            started,
            report_count: 0,
            next_tick: now + REPORT_INTERVAL,
            stopping: false,
        }
    }

    fn announce(&mut self, announcement: UpstreamAnnouncement, now: Instant) -> CallReply {
        let (name, sequence) = (announcement.name.clone(), announcement.sequence);
        let incarnation = announcement.incarnation;
        let previous = self.incarnation();
        let previous_state = self.presence.state();
        let outcome = self.presence.announce(announcement, now);
        let was_away = matches!(previous_state, UpstreamState::Lost | UpstreamState::Gone);
        if self.incarnation() != previous {
            let restarted_at = self.incarnation_start(now);
            self.state.meter().forget_before(restarted_at);
            self.relay
                .release_after(|scheduler| scheduler.forget_before(restarted_at));
            self.state.health().reset();
        } else if was_away && outcome == PresenceOutcome::Changed {
            self.state.restart_window("silence", now);
        }
        if matches!(
            outcome,
            PresenceOutcome::Confirmed | PresenceOutcome::Changed
        ) {
            self.update_cold(now);
        }
        match outcome {
            PresenceOutcome::Confirmed => {}
            PresenceOutcome::Changed => self.publish_change("announcement", now),
            PresenceOutcome::Late | PresenceOutcome::Foreign => emit(
                EventCode::AnnouncementRefused,
                &[
                    ("upstream", &name),
                    ("incarnation", &incarnation),
                    ("sequence", &sequence),
                    ("outcome", &format!("{outcome:?}")),
                ],
            ),
        }
        match outcome {
            PresenceOutcome::Foreign => CallReply::text(409, "another service\n"),
            _ => CallReply::json(200, server::ACKNOWLEDGEMENT),
        }
    }

    /// Passes the warm-up in the last announcement on to the traffic threads, which limit first packets meanwhile.
    fn update_cold(&self, now: Instant) {
        let Some(record) = self.presence.upstream() else {
            return;
        };
        let interval = Duration::from_millis(self.settings.relay.announce_ms);
        let announced_until = record.received + interval * ANNOUNCED_INTERVALS;
        let seen = self.presence.covers_all_flows(now);
        let cold_until = record.announcement.cold_until;
        self.state
            .cold()
            .announce(cold_until, announced_until, seen, now);
    }

    fn deregister(
        &mut self,
        name: &UpstreamName,
        incarnation: IncarnationNumber,
        now: Instant,
    ) -> CallReply {
        match self.presence.deregister(name, incarnation) {
            PresenceOutcome::Changed => self.publish_change("goodbye", now),
            PresenceOutcome::Confirmed => {}
            PresenceOutcome::Late | PresenceOutcome::Foreign => emit(
                EventCode::AnnouncementRefused,
                &[
                    ("upstream", name),
                    ("incarnation", &incarnation),
                    ("outcome", &"late deregistration"),
                ],
            ),
        }
        CallReply::json(200, server::ACKNOWLEDGEMENT)
    }

    /// Returns the address of the upstream if its state is unknown or its announcements have stopped.
    fn probe_target(&self) -> Option<SocketAddrV4> {
        let state = self.presence.state();
        let probe_needed = matches!(state, UpstreamState::Unknown | UpstreamState::Lost);
        probe_needed.then_some(self.settings.relay.upstream)
    }

    fn handle_probe(&mut self, outcome: ProbeOutcome, now: Instant) {
        let (outcome, cause) = match outcome {
            ProbeOutcome::Healthy => (self.presence.mark_healthy(), "probe"),
            ProbeOutcome::Refused => (self.presence.mark_refused(), "refused"),
            ProbeOutcome::Inconclusive => return,
        };
        if outcome == PresenceOutcome::Changed {
            self.publish_change(cause, now);
        }
    }

    fn handle_event(&mut self, event: TrafficEvent, now: Instant) {
        match event {
            TrafficEvent::Keepalive(entry, notice) => {
                let keepalive = notice.to_keepalive(now);
                let due = self.subscribers.subscribe(id_of(entry), keepalive, now);
                self.send_reports(due.as_slice(), now);
            }
            TrafficEvent::UpstreamRefused => {
                if self.presence.mark_refused() == PresenceOutcome::Changed {
                    self.publish_change("refused", now);
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.next_tick = now + REPORT_INTERVAL;
        self.relay.release_after(|scheduler| scheduler.tick(now));
        if self.presence.tick(now) == PresenceOutcome::Changed {
            self.losses.send_modify(|count| *count += 1);
            return self.publish_change("silence", now);
        }
        self.report(now);
    }

    /// Publishes a change of the upstream's state to the traffic threads, the log, the entries and the registration.
    fn publish_change(&mut self, cause: &str, now: Instant) {
        let state = self.presence.state();
        let status = UpstreamStatus {
            state,
            incarnation: self.incarnation(),
            slots: self
                .presence
                .upstream()
                .map_or(0, |record| record.announcement.slots),
        };
        let previous = self.state.status.swap(Arc::new(status));
        if previous.incarnation != status.incarnation {
            self.state.reset_pace(now);
        }
        if let Some(pace) = self.state.meter().pace() {
            pace.set_slots(status.slots, now);
        }
        if state == UpstreamState::Gone {
            self.relay.release_after(RequestScheduler::release_all);
        }
        let upstream = self.presence.upstream();
        let sequence = upstream.map_or(0, |record| record.announcement.sequence);
        emit(
            EventCode::UpstreamChanged,
            &[
                ("state", &state.name()),
                ("cause", &cause),
                ("incarnation", &status.incarnation),
                ("sequence", &sequence),
                ("covers", &self.presence.covers_all_flows(now)),
            ],
        );
        self.report_change(now);
        let listed = match state {
            UpstreamState::Gone => None,
            UpstreamState::Unknown => return,
            // An upstream whose announcements have stopped may still serve its flows, so that it stays registered.
            UpstreamState::Ready | UpstreamState::Draining | UpstreamState::Lost => {
                Some(self.endpoint())
            }
        };
        self.registration.send_replace(listed);
    }

    fn incarnation(&self) -> IncarnationNumber {
        let upstream = self.presence.upstream();
        upstream.map_or(UNKNOWN_INCARNATION, |record| {
            record.announcement.incarnation
        })
    }

    /// Returns a point in time before which the current incarnation of the upstream cannot have accepted flows. It is
    /// at least [`START_MARGIN_INTERVALS`] announcement intervals ago, because announcements may have been lost and
    /// the clock may have been adjusted.
    fn incarnation_start(&self, now: Instant) -> Instant {
        let age = Duration::from_millis(unix_millis().saturating_sub(self.incarnation()));
        let margin =
            Duration::from_millis(self.settings.relay.announce_ms) * START_MARGIN_INTERVALS;
        now.checked_sub(age.max(margin)).unwrap_or(now)
    }

    fn endpoint(&self) -> ListedEndpoint {
        let relay = &self.settings.relay;
        let upstream = self.presence.upstream();
        ListedEndpoint {
            id: id_of(relay.packets),
            service: relay.service.clone(),
            zone: self.settings.node.zone.clone(),
            incarnation: self.incarnation(),
            slots: upstream.map_or(1, |record| record.announcement.slots),
        }
    }

    fn stop(&mut self, now: Instant) {
        self.stopping = true;
        // Callers would otherwise have to send the held requests again to the next agent.
        self.relay.release_after(RequestScheduler::release_all);
        self.report_change(now);
    }
}

/// Returns the wall clock in Unix milliseconds. It orders the incarnations of the agent, and the age of an upstream's
/// incarnation is computed from it.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
