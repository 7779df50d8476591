//! The control thread of an agent of the relay: announcements, reports, registration.

use super::registration::keep_registered;
use super::settings::RelaySettings;
use super::shared::{AgentState, UpstreamBelief};
use super::traffic::{AgentSockets, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::Client;
use ntex::time::{sleep, timeout, Millis};
use ntex::SharedCfg;
use prometheus::Registry;
use quetzalhill_core::ids::{id_of, IncarnationNumber};
use quetzalhill_core::relay::fleet::{EndpointReport, ListedEndpoint, REPORT_INTERVAL};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::presence::{
    PresenceController, PresenceOutcome, UpstreamAnnouncement,
};
use quetzalhill_node::calls::{self, ArrivedCall, CallReply};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_platform::announcement;
use quetzalhill_platform::server::{self, ServerCall};
use quetzalhill_wire::relay::{RelayNotice, ReportNotice};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;

/// Time after its last greeting for which an entry gets reports; entries greet once a second.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Entries that get reports; more than any site of today has.
const CONTACTS_MAX: usize = 256;

/// Announcement intervals before the first announcement of a life in which it may have taken flows already; two
/// announcements may be lost before an upstream counts as lost.
const BORN_INTERVALS: u32 = 3;

/// Health probes while announcements are missing; each takes a slot of the upstream for a moment.
const PROBES: u32 = 2;

/// Time between the probes.
const PROBE_PAUSE: Millis = Millis(250);

/// Longest wait for the answer to a probe; an upstream that is overloaded answers late.
const PROBE_LIMIT: Millis = Millis(500);

/// The control thread as the process that starts it sees it.
#[derive(Debug)]
pub(super) struct ControlHandle {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Tells the entries that the agent ends, and ends the thread.
    ///
    /// # Errors
    ///
    /// The thread had panicked.
    pub(super) fn stop(self) -> Result<()> {
        self.stop.send_replace(true);
        let ended = self.thread.join();
        ended.map_err(|_| anyhow!("the control thread panicked"))
    }
}

/// What the control thread starts with.
pub(super) struct ControlSetup {
    pub(super) settings: RelaySettings,
    pub(super) state: Arc<AgentState>,
    pub(super) sockets: Arc<AgentSockets>,
    pub(super) events: mpsc::Receiver<TrafficEvent>,
    pub(super) registry: Registry,
}

/// Starts the control thread.
///
/// # Errors
///
/// An address cannot be bound, or the thread cannot be started.
pub(super) fn start(setup: ControlSetup) -> Result<ControlHandle> {
    let relay = &setup.settings.relay;
    let mut bound = Vec::new();
    for address in [
        relay.announcements,
        relay.ready,
        setup.settings.node.metrics,
    ] {
        let listener = TcpListener::bind(address);
        bound.push(listener.with_context(|| format!("address {address}"))?);
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
    let (wanted, registered) = watch::channel(None);
    let now = Instant::now();
    let core = Rc::new(RefCell::new(AgentControl::new(&setup, wanted, now)));
    for listener in listeners {
        let (core, registry) = (core.clone(), setup.registry.clone());
        let handler = Rc::new(move |call| answer(&core, &registry, &call));
        ntex::rt::spawn(calls::serve(listener, handler)).detach();
    }
    ntex::rt::spawn(keep_registered(store, registered)).detach();
    let doubts = core.borrow().doubts.subscribe();
    ntex::rt::spawn(probe(core.clone(), doubts)).detach();
    let mut events = setup.events;
    loop {
        let tick = core.borrow().ticks;
        tokio::select! {
            _ = stopping.changed() => {
                core.borrow_mut().stop(Instant::now());
                return Ok(());
            }
            received = timeout_at(tick.into(), events.recv()) => match received {
                Ok(Some(event)) => core.borrow_mut().take_event(event, Instant::now()),
                Ok(None) => return Ok(()),
                Err(_) => core.borrow_mut().tick(Instant::now()),
            },
        }
    }
}

/// Asks the upstream whether it is healthy while announcements do not say so: at the start, so that an agent that
/// restarts need not wait for one, and when they stop.
async fn probe(core: Rc<RefCell<AgentControl>>, mut doubts: watch::Receiver<u64>) {
    let Ok(client) = Client::builder().build(SharedCfg::default()).await else {
        return;
    };
    loop {
        for _ in 0..PROBES {
            let upstream = match core.borrow().doubted_upstream() {
                Some(upstream) => upstream,
                None => break,
            };
            let outcome = probe_once(&client, upstream).await;
            core.borrow_mut().probed(outcome, Instant::now());
            sleep(PROBE_PAUSE).await;
        }
        if doubts.changed().await.is_err() {
            return;
        }
    }
}

/// What a probe found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeOutcome {
    Healthy,
    /// No process listens at the address.
    Refused,
    /// Neither is known; announcements have to tell.
    Unclear,
}

async fn probe_once(client: &Client, upstream: SocketAddrV4) -> ProbeOutcome {
    let url = format!("http://{upstream}{}", server::HEALTH_PATH);
    let request = client.get(url).address(upstream.into()).force_close();
    match timeout(PROBE_LIMIT, request.send()).await {
        Ok(Ok(response)) if response.status().is_success() => ProbeOutcome::Healthy,
        Ok(Err(ClientError::Connect(ConnectError::Disconnected(Some(error)))))
            if error.kind() == ErrorKind::ConnectionRefused =>
        {
            ProbeOutcome::Refused
        }
        _ => ProbeOutcome::Unclear,
    }
}

/// Answers an announcement, a probe or a request for the metrics.
fn answer(core: &RefCell<AgentControl>, registry: &Registry, call: &ArrivedCall) -> CallReply {
    if let Some(reply) = calls::answer_metrics(registry, call) {
        return reply;
    }
    let now = Instant::now();
    match server::decode(&call.method, &call.path) {
        ServerCall::Ready => CallReply::text(200, "ready\n"),
        ServerCall::Announce(name) => match announcement::decode(name.clone(), &call.body, now) {
            Ok(announcement) => core.borrow_mut().announce(announcement, now),
            Err(error) => {
                emit(
                    EventCode::AnnouncementRefused,
                    &[("upstream", &name), ("error", &error)],
                );
                CallReply::text(400, error.to_string())
            }
        },
        ServerCall::Deregister(name) => core.borrow_mut().goodbye(&name, now),
        ServerCall::Other => CallReply::text(404, "no such page\n"),
    }
}

/// An entry that gets reports.
#[derive(Clone, Copy, Debug)]
struct EntryContact {
    /// Clock of its last greeting.
    greeted_ms: u32,
    /// Until when it gets reports.
    expires: Instant,
}

/// State of the control thread.
struct AgentControl {
    settings: RelaySettings,
    state: Arc<AgentState>,
    sockets: Arc<AgentSockets>,
    presence: PresenceController,
    wanted: watch::Sender<Option<ListedEndpoint>>,
    /// Counts the times that the upstream fell silent, each of which is followed by probes.
    doubts: watch::Sender<u64>,
    contacts: HashMap<SocketAddrV4, EntryContact>,
    started: u64,
    reports: u64,
    ticks: Instant,
    stopping: bool,
}

impl AgentControl {
    fn new(
        setup: &ControlSetup,
        wanted: watch::Sender<Option<ListedEndpoint>>,
        now: Instant,
    ) -> Self {
        let relay = &setup.settings.relay;
        let interval = Duration::from_millis(relay.announce_ms);
        let started = wall_millis();
        Self {
            settings: setup.settings.clone(),
            state: Arc::clone(&setup.state),
            sockets: Arc::clone(&setup.sockets),
            presence: PresenceController::new(relay.service.clone(), interval, started, now),
            wanted,
            doubts: watch::Sender::new(0),
            contacts: HashMap::new(),
            started,
            reports: 0,
            ticks: now + REPORT_INTERVAL,
            stopping: false,
        }
    }

    fn announce(&mut self, announcement: UpstreamAnnouncement, now: Instant) -> CallReply {
        let (name, sequence) = (announcement.name.clone(), announcement.sequence);
        let incarnation = announcement.incarnation;
        let former = self.incarnation();
        let outcome = self.presence.announce(announcement, now);
        if self.incarnation() != former {
            self.state.meter().forget_before(self.born(now));
            self.state.health().reset();
        }
        match outcome {
            PresenceOutcome::Confirmed => {}
            PresenceOutcome::Changed => self.changed("announcement", now),
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

    fn goodbye(&mut self, name: &str, now: Instant) -> CallReply {
        if self.presence.deregister(&name.to_string()) == PresenceOutcome::Changed {
            self.changed("goodbye", now);
        }
        CallReply::json(200, server::ACKNOWLEDGEMENT)
    }

    /// Returns the address of the upstream if nothing is known of it or it has fallen silent.
    fn doubted_upstream(&self) -> Option<SocketAddrV4> {
        let state = self.presence.state();
        let doubted = matches!(state, UpstreamState::Unknown | UpstreamState::Lost);
        doubted.then_some(self.settings.relay.upstream)
    }

    fn probed(&mut self, outcome: ProbeOutcome, now: Instant) {
        let (outcome, cause) = match outcome {
            ProbeOutcome::Healthy => (self.presence.mark_healthy(), "probe"),
            ProbeOutcome::Refused => (self.presence.mark_refused(), "refused"),
            ProbeOutcome::Unclear => return,
        };
        if outcome == PresenceOutcome::Changed {
            self.changed(cause, now);
        }
    }

    fn take_event(&mut self, event: TrafficEvent, now: Instant) {
        match event {
            TrafficEvent::Hello(entry, hello) => {
                let known = self.contacts.contains_key(&entry);
                if !known && self.contacts.len() >= CONTACTS_MAX {
                    return;
                }
                let contact = EntryContact {
                    greeted_ms: hello.clock_ms,
                    expires: now + CONTACT_TIME,
                };
                self.contacts.insert(entry, contact);
                if !known || hello.urgent {
                    self.report_to(&[(entry, contact)], now);
                }
            }
            TrafficEvent::Refused => {
                if self.presence.mark_refused() == PresenceOutcome::Changed {
                    self.changed("refused", now);
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.ticks = now + REPORT_INTERVAL;
        if self.presence.tick(now) == PresenceOutcome::Changed {
            self.doubts.send_modify(|count| *count += 1);
            return self.changed("silence", now);
        }
        self.report(now);
    }

    /// Spreads a change of what is believed of the upstream.
    fn changed(&mut self, cause: &str, now: Instant) {
        let state = self.presence.state();
        let belief = UpstreamBelief {
            state,
            incarnation: self.incarnation(),
            slots: self
                .presence
                .upstream()
                .map_or(0, |known| known.announcement.slots),
        };
        self.state.belief.store(Arc::new(belief));
        let upstream = self.presence.upstream();
        let sequence = upstream.map_or(0, |known| known.announcement.sequence);
        emit(
            EventCode::UpstreamChanged,
            &[
                ("state", &state.name()),
                ("cause", &cause),
                ("incarnation", &belief.incarnation),
                ("sequence", &sequence),
                ("covers", &self.presence.covers_all_flows(now)),
            ],
        );
        self.report(now);
        let listed = match state {
            UpstreamState::Gone => None,
            UpstreamState::Unknown => return,
            // An upstream that is lost for a moment keeps its flows.
            UpstreamState::Ready | UpstreamState::Draining | UpstreamState::Lost => {
                Some(self.endpoint())
            }
        };
        self.wanted.send_replace(listed);
    }

    fn incarnation(&self) -> IncarnationNumber {
        let upstream = self.presence.upstream();
        upstream.map_or(0, |known| known.announcement.incarnation)
    }

    /// Returns a moment before which the present life of the upstream held no flows. Announcements may have been lost
    /// and clocks may have been set, so that the moment is not later than some announcements ago.
    fn born(&self, now: Instant) -> Instant {
        let age = Duration::from_millis(wall_millis().saturating_sub(self.incarnation()));
        let margin = Duration::from_millis(self.settings.relay.announce_ms) * BORN_INTERVALS;
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
            slots: upstream.map_or(1, |known| known.announcement.slots),
        }
    }

    fn report(&mut self, now: Instant) {
        self.contacts.retain(|_, contact| now < contact.expires);
        let contacts = self.contacts.iter();
        let entries: Vec<_> = contacts
            .map(|(entry, contact)| (*entry, *contact))
            .collect();
        self.report_to(&entries, now);
    }

    fn report_to(&mut self, entries: &[(SocketAddrV4, EntryContact)], now: Instant) {
        let (load, addresses, digest) = {
            let mut meter = self.state.meter();
            let tells = self.presence.reports_digest(now);
            let digest = tells.then(|| meter.digest()).flatten();
            (meter.counts(now), meter.addresses(), digest)
        };
        let counters = &self.state.counters;
        counters.flows.set(load.flows.into());
        counters.busy.set(load.busy.into());
        self.reports += 1;
        let upstream = self.presence.upstream();
        let report = EndpointReport {
            endpoint: self.endpoint(),
            order: (self.started, self.reports),
            state: self.presence.state(),
            stopping: self.stopping,
            load,
            addresses,
            covers_all_flows: self.presence.covers_all_flows(now),
            cold_until: upstream.and_then(|known| known.announcement.cold_until),
            digest: digest.map(Arc::new),
            keepalive_sent: None,
        };
        for (entry, contact) in entries {
            let notice = ReportNotice::new(&report, contact.greeted_ms, now);
            self.sockets.notify(&RelayNotice::Report(notice), *entry);
        }
    }

    fn stop(&mut self, now: Instant) {
        self.stopping = true;
        self.report(now);
    }
}

/// Returns the wall clock in milliseconds, which orders the lives of the agent.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
