//! The control thread of an entry of the relay: routes, endpoints, readiness.

mod endpoints;

use super::counters::set;
use super::settings::RelaySettings;
use super::shared::RelayState;
use super::traffic::{RelaySockets, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use prometheus::Registry;
use quetzalhill_core::ids::{address_of, EndpointId};
use quetzalhill_core::relay::fleet::FleetController;
use quetzalhill_core::relay::routes::{RouteController, RouteOutcome};
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use quetzalhill_node::calls::{self, ArrivedCall, CallReply};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::{confirm, follow, FollowEvent, FollowPlan};
use quetzalhill_node::relay::settings::ENDPOINT_PREFIX;
use quetzalhill_platform::manifest::{self, MANIFEST_KEY};
use quetzalhill_platform::server::{self, ServerCall};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{KeyRange, KeyValue, WatchEvent};
use quetzalhill_store::polled::PolledStore;
use quetzalhill_wire::relay::{KeepaliveNotice, RelayNotice};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::timeout_at;

/// Time between two looks at what has become silent or has to be greeted.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two greetings of an agent that reports; it forgets an entry after three seconds.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Longest age of the load in a published view; a change of belief is published at once.
const LOAD_AGE: Duration = Duration::from_millis(100);

/// Time after the first list for which an entry waits for the reports of its endpoints before it says that it is
/// ready.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Pause between two polls for routes; a change is due everywhere within three seconds.
const ROUTES_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two polls for endpoints. A new endpoint is cold for some seconds and gets its flows a little later.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(1_000);

/// The control thread as the process that starts it sees it.
#[derive(Debug)]
pub(super) struct ControlHandle {
    stop: watch::Sender<StopStage>,
    thread: JoinHandle<()>,
}

/// How far the end of the process has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StopStage {
    Running,
    /// Probes are answered with "not ready", and packets are still forwarded.
    Lingering,
    Stopped,
}

impl ControlHandle {
    /// Makes the instance say that it is not ready.
    pub(super) fn linger(&self) {
        self.stop.send_replace(StopStage::Lingering);
    }

    /// Ends the thread.
    ///
    /// # Errors
    ///
    /// The thread had panicked.
    pub(super) fn stop(self) -> Result<()> {
        self.stop.send_replace(StopStage::Stopped);
        let ended = self.thread.join();
        ended.map_err(|_| anyhow!("the control thread panicked"))
    }
}

/// What the control thread starts with.
pub(super) struct ControlSetup {
    pub(super) settings: RelaySettings,
    pub(super) state: Arc<RelayState>,
    pub(super) sockets: Arc<RelaySockets>,
    pub(super) events: mpsc::Receiver<TrafficEvent>,
    pub(super) registry: Registry,
}

/// Starts the control thread.
///
/// # Errors
///
/// An address cannot be bound, or the thread cannot be started.
pub(super) fn start(setup: ControlSetup) -> Result<ControlHandle> {
    let listeners = [setup.settings.relay.ready, setup.settings.node.metrics];
    let mut bound = Vec::new();
    for address in listeners {
        let listener = TcpListener::bind(address);
        bound.push(listener.with_context(|| format!("address {address}"))?);
    }
    let (stop, stopping) = watch::channel(StopStage::Running);
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
    mut stopping: watch::Receiver<StopStage>,
) -> Result<()> {
    let store = setup.settings.common().open_store().await?;
    let now = Instant::now();
    let core = Rc::new(RefCell::new(RelayControl::new(&setup, store.clone(), now)));
    for listener in listeners {
        let (core, registry) = (core.clone(), setup.registry.clone());
        let handler = Rc::new(move |call| answer(&core, &registry, &call));
        ntex::rt::spawn(calls::serve(listener, handler)).detach();
    }
    let (routes_doubts, list_doubts) = {
        let core = core.borrow();
        (core.routes_doubts.clone(), core.list_doubts.clone())
    };
    let plan = FollowPlan {
        name: "routes",
        range: KeyRange::Key(MANIFEST_KEY.into()),
        pause: ROUTES_PAUSE,
    };
    follow_range(
        &core,
        &store,
        plan,
        routes_doubts,
        RelayControl::follow_routes,
    );
    let plan = FollowPlan {
        name: "endpoints",
        range: KeyRange::Prefix(ENDPOINT_PREFIX.into()),
        pause: ENDPOINTS_PAUSE,
    };
    follow_range(
        &core,
        &store,
        plan,
        list_doubts,
        RelayControl::follow_endpoints,
    );
    let mut events = setup.events;
    loop {
        let tick = core.borrow().ticks;
        tokio::select! {
            changed = stopping.changed() => {
                let stage = *stopping.borrow_and_update();
                if changed.is_err() || stage == StopStage::Stopped {
                    return Ok(());
                }
                core.borrow_mut().stop();
            }
            received = timeout_at(tick.into(), events.recv()) => match received {
                Ok(Some(TrafficEvent::Report(report))) => {
                    core.borrow_mut().take_report(report, Instant::now());
                }
                Ok(Some(TrafficEvent::ListDoubt)) => core.borrow().list_doubts.notify_one(),
                Ok(Some(TrafficEvent::RoutesDoubt)) => core.borrow().routes_doubts.notify_one(),
                Ok(None) => return Ok(()),
                Err(_) => core.borrow_mut().tick(Instant::now()),
            },
        }
    }
}

/// Follows a range of the store, and reads it once more whenever `doubts` is notified.
fn follow_range(
    core: &Rc<RefCell<RelayControl>>,
    store: &PolledStore<PlatformCodec>,
    plan: FollowPlan,
    doubts: Rc<Notify>,
    sink: fn(&mut RelayControl, FollowEvent, Instant),
) {
    let range = plan.range.clone();
    let follower = core.clone();
    let follows = follow(store.clone(), plan, move |event| {
        sink(&mut follower.borrow_mut(), event, Instant::now());
    });
    ntex::rt::spawn(follows).detach();
    let confirmer = core.clone();
    let confirms = confirm(store.clone(), range, doubts, move |event| {
        sink(&mut confirmer.borrow_mut(), event, Instant::now());
    });
    ntex::rt::spawn(confirms).detach();
}

/// Answers a probe of the fabric or a request for the metrics.
fn answer(core: &RefCell<RelayControl>, registry: &Registry, call: &ArrivedCall) -> CallReply {
    if let Some(reply) = calls::answer_metrics(registry, call) {
        return reply;
    }
    match server::decode(&call.method, &call.path) {
        ServerCall::Ready => match core.borrow_mut().is_ready(Instant::now()) {
            true => CallReply::text(200, "ready\n"),
            false => CallReply::text(503, "not ready\n"),
        },
        _ => CallReply::text(404, "no such page\n"),
    }
}

/// Returns the greeting of an entry whose clock started at `epoch`.
fn hello(epoch: Instant, now: Instant, urgent: bool) -> RelayNotice {
    let clock = now.saturating_duration_since(epoch).as_millis();
    RelayNotice::Keepalive(KeepaliveNotice {
        clock_ms: u32::try_from(clock).unwrap_or(u32::MAX),
        urgent,
    })
}

/// Whether a range of the store is known and up to date.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct RangeState {
    loaded: bool,
    current: bool,
    /// When the last read of the whole range began.
    confirmed: Option<Instant>,
}

impl RangeState {
    /// Returns the state after a read of the whole range that began at `read`.
    fn loaded(read: Instant) -> Self {
        Self {
            loaded: true,
            current: true,
            confirmed: Some(read),
        }
    }
}

/// State of the control thread.
struct RelayControl {
    state: Arc<RelayState>,
    sockets: Arc<RelaySockets>,
    store: PolledStore<PlatformCodec>,
    routes: RouteController,
    routes_range: RangeState,
    fleet: FleetController,
    endpoints_range: RangeState,
    /// Endpoints by the key of their record, since a removal names only the key.
    listed: HashMap<String, EndpointId>,
    hellos: HashMap<EndpointId, Instant>,
    settles: Option<Instant>,
    /// Asks for another read of the list of endpoints.
    list_doubts: Rc<Notify>,
    /// Asks for another read of the routes.
    routes_doubts: Rc<Notify>,
    /// Start of the clock in greetings.
    epoch: Instant,
    ticks: Instant,
    published: Instant,
    stopping: bool,
    loaded: bool,
    ready: bool,
}

impl RelayControl {
    fn new(setup: &ControlSetup, store: PolledStore<PlatformCodec>, now: Instant) -> Self {
        Self {
            state: Arc::clone(&setup.state),
            sockets: Arc::clone(&setup.sockets),
            store,
            routes: RouteController::default(),
            routes_range: RangeState::default(),
            fleet: FleetController::new(setup.settings.node.zone.clone()),
            endpoints_range: RangeState::default(),
            listed: HashMap::new(),
            hellos: HashMap::new(),
            settles: None,
            list_doubts: Rc::default(),
            routes_doubts: Rc::default(),
            epoch: now,
            ticks: now + TICK_INTERVAL,
            published: now,
            stopping: false,
            loaded: false,
            ready: false,
        }
    }

    fn follow_routes(&mut self, event: FollowEvent, now: Instant) {
        let before = self.routes_range;
        match event {
            FollowEvent::Loaded { entries, read } => {
                self.routes_range = RangeState::loaded(read);
                for entry in entries {
                    self.take_routes(&entry);
                }
            }
            FollowEvent::Changed(events) => {
                self.routes_range.current = true;
                for event in events {
                    // The catalogue is only ever replaced.
                    if let WatchEvent::Put(entry) = event {
                        self.take_routes(&entry);
                    }
                }
            }
            FollowEvent::Failed => self.routes_range.current = false,
            FollowEvent::Confirming | FollowEvent::Unconfirmed => {}
        }
        if before != self.routes_range {
            self.publish(now);
        }
    }

    fn take_routes(&mut self, entry: &KeyValue) {
        let routes = match manifest::decode(&entry.value) {
            Ok(routes) => routes,
            Err(error) => {
                emit(
                    EventCode::RoutesInvalid,
                    &[("error", &error), ("store_revision", &entry.mod_revision)],
                );
                return;
            }
        };
        let (revision, count) = (routes.revision, routes.by_address.len());
        if self.routes.adopt(routes) == RouteOutcome::Stale {
            return;
        }
        emit(
            EventCode::RoutesInForce,
            &[
                ("revision", &revision),
                ("routes", &count),
                ("store_revision", &entry.mod_revision),
            ],
        );
        set(&self.state.counters.revision, revision);
        self.publish(Instant::now());
    }

    fn tick(&mut self, now: Instant) {
        self.ticks = now + TICK_INTERVAL;
        self.fleet.tick(now);
        self.greet(now);
        self.publish(now);
        self.update_metrics();
    }

    /// Asks agents to report: those that do from time to time, the others with every tick.
    fn greet(&mut self, now: Instant) {
        let contacts: Vec<(EndpointId, bool)> = self.fleet.endpoints(now).collect();
        let hellos = &mut self.hellos;
        hellos.retain(|id, _| contacts.iter().any(|(contact, _)| contact == id));
        for (id, reports) in contacts {
            let due = hellos.get(&id).is_none_or(|next| *next <= now);
            if reports && !due {
                continue;
            }
            hellos.insert(id, now + HELLO_INTERVAL);
            self.sockets
                .notify(&hello(self.epoch, now, false), address_of(id));
        }
    }

    /// Asks the agents that say which flows their endpoints hold to say so once more.
    fn ask_holders(&self, now: Instant) {
        let hello = hello(self.epoch, now, true);
        for id in self.fleet.digest_reporters(now) {
            self.sockets.notify(&hello, address_of(id));
        }
    }

    fn publish(&mut self, now: Instant) {
        self.published = now;
        let mut former = self.routes.former().clone();
        self.fleet.add_holders(&mut former);
        let view = RelayView {
            routes: self.routes.current().clone(),
            former,
            holders_known: self.fleet.holders_known(),
            services: self.fleet.services(now),
            synced: self.routes_range.current && self.endpoints_range.current,
            routes_read: self.routes_range.confirmed,
            endpoints_read: self.endpoints_range.confirmed,
            oldest_keepalive: self.fleet.oldest_keepalive(now),
            loaded: self.is_loaded(now),
        };
        self.state.view.store(Arc::new(view));
    }

    /// Returns whether routes and endpoints are known well enough to place flows.
    fn is_loaded(&mut self, now: Instant) -> bool {
        let settled =
            self.fleet.all_report(now) || self.settles.is_some_and(|settles| settles <= now);
        let known = self.routes_range.loaded && self.routes.current().revision > 0;
        self.loaded |= known && self.endpoints_range.loaded && settled;
        self.loaded
    }

    fn is_ready(&mut self, now: Instant) -> bool {
        let settled =
            self.fleet.all_report(now) || self.settles.is_some_and(|settles| settles <= now);
        let ready = !self.stopping
            && self.routes_range.loaded
            && self.routes.current().revision > 0
            && self.endpoints_range.loaded
            && settled;
        if ready != self.ready {
            self.ready = ready;
            emit(
                EventCode::EntryReadiness,
                &[
                    ("ready", &ready),
                    ("stopping", &self.stopping),
                    ("revision", &self.routes.current().revision),
                ],
            );
        }
        ready
    }

    fn stop(&mut self) {
        self.stopping = true;
    }

    fn update_metrics(&self) {
        let counters = &self.state.counters;
        set(&counters.flows, self.state.chain().flows());
        let view = self.state.view.load();
        for (status, name) in [
            (EndpointStatus::Ready, "ready"),
            (EndpointStatus::Draining, "draining"),
            (EndpointStatus::Pending, "pending"),
            (EndpointStatus::Silent, "silent"),
        ] {
            let services = view.services.values();
            let endpoints = services.flat_map(|service| &service.endpoints);
            let count = endpoints
                .filter(|endpoint| endpoint.status == status)
                .count();
            set(&counters.endpoints.with_label_values(&[name]), count);
        }
        let calls = self.store.counts();
        for (kind, count) in [("read", calls.reads), ("write", calls.writes)] {
            set(&counters.store_calls.with_label_values(&[kind]), count);
        }
    }
}
