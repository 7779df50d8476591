//! The control thread of an entry of the relay: follows routes and endpoints, publishes the view, answers readiness probes.

mod endpoints;
mod era;
mod range;
mod routes;

use super::counters::set;
use super::settings::RelaySettings;
use super::shared::RelayState;
use super::traffic::{RelaySockets, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use prometheus::Registry;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::relay::confirm::{ConfirmController, ConfirmQueue, DigestPacer};
use quetzalhill_core::relay::fleet::FleetController;
use quetzalhill_core::relay::freshness::FreshnessController;
use quetzalhill_core::relay::peers::{PeerController, ROLE_TIME};
use quetzalhill_core::relay::routes::RouteController;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use quetzalhill_node::calls::{self, ArrivedCall, CallReply};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::{confirm, follow, FollowEvent, FollowMode, FollowPlan};
use quetzalhill_node::relay::settings::{FollowTimeouts, ENDPOINT_PREFIX};
use quetzalhill_platform::manifest::MANIFEST_KEY;
use quetzalhill_platform::server::{self, ServerCall};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{KeyRange, StoreRevision};
use quetzalhill_store::polled::PolledStore;
use range::{RangeProgress, RangeState, ENDPOINTS_NAME, ROUTES_NAME};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::timeout_at;

/// Time between two checks for silent endpoints and due keepalives.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest age of the load in a published view while reports arrive. A report that changes the state of an endpoint
/// publishes the view at once; one that changes only the load does so when the published load is this old.
const LOAD_AGE: Duration = Duration::from_millis(100);

/// Time for which an entry waits for the reports of its endpoints, from the first list of endpoints on, before it reports
/// that it is ready.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Divisor of the time for a change that gives the pause of the polls for routes after a change. The rest is for a poll
/// that fails, and for the time until the next one.
const ROUTES_PARTS: u32 = 6;

/// The same for the list of endpoints. The pause may be longer than for routes: a new endpoint is cold for some seconds, so
/// that it gets its first flows only a little later.
const ENDPOINTS_PARTS: u32 = 4;

/// Longest pause of the polls for the list of endpoints after a change.
const ENDPOINTS_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Stops and joins a running control thread.
#[derive(Debug)]
pub(super) struct ControlHandle {
    stop: watch::Sender<StopStage>,
    thread: JoinHandle<()>,
}

/// Stage of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StopStage {
    Running,
    /// Probes are answered with "not ready", and packets are still forwarded.
    Lingering,
    Stopped,
}

impl ControlHandle {
    /// Makes the instance answer readiness probes with "not ready".
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

/// Input of [`start`].
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
    let apply = Duration::from_millis(setup.settings.relay.apply_ms);
    let store = setup.settings.common().open_followed_store(apply).await?;
    let now = Instant::now();
    let control = Rc::new(RefCell::new(RelayControl::new(&setup, store.clone(), now)));
    for listener in listeners {
        let (control, registry) = (control.clone(), setup.registry.clone());
        let handler = Rc::new(move |call| answer(&control, &registry, &call));
        ntex::rt::spawn(calls::serve(listener, handler)).detach();
    }
    let (confirm_routes, confirm_endpoints, routes_mode, list_mode) = {
        let control = control.borrow();
        (
            control.confirm_routes.clone(),
            control.confirm_endpoints.clone(),
            control.routes_mode.subscribe(),
            control.list_mode.subscribe(),
        )
    };
    let plan = FollowPlan {
        name: ROUTES_NAME,
        range: KeyRange::Key(MANIFEST_KEY.into()),
        apply,
        pause: routes_pause(apply),
        settle: Duration::ZERO,
        mode: routes_mode,
    };
    follow_range(
        &control,
        &store,
        plan,
        confirm_routes,
        RelayControl::handle_routes_event,
    );
    let plan = FollowPlan {
        name: ENDPOINTS_NAME,
        range: KeyRange::Prefix(ENDPOINT_PREFIX.into()),
        apply,
        pause: endpoints_pause(apply),
        settle: ROLE_TIME + TICK_INTERVAL,
        mode: list_mode,
    };
    follow_range(
        &control,
        &store,
        plan,
        confirm_endpoints,
        RelayControl::handle_endpoints_event,
    );
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
            changed = stopping.changed() => {
                let stage = *stopping.borrow_and_update();
                if changed.is_err() || stage == StopStage::Stopped {
                    return Ok(());
                }
                control.borrow_mut().begin_stop();
            }
            received = timeout_at(tick.into(), events.recv()) => match received {
                Ok(Some(TrafficEvent::Report(report))) => {
                    control.borrow_mut().handle_report(report, Instant::now());
                }
                Ok(Some(TrafficEvent::ListChange(era, notice))) => {
                    control.borrow_mut().handle_list_change(era, notice, Instant::now());
                }
                Ok(Some(TrafficEvent::StoreEra(era))) => {
                    control.borrow_mut().handle_store_era(era, Instant::now());
                }
                Ok(Some(TrafficEvent::ListState(state))) => {
                    control.borrow_mut().handle_list_state(state, Instant::now());
                }
                Ok(Some(TrafficEvent::RoutesState(revision))) => {
                    control.borrow_mut().handle_routes_state(revision, Instant::now());
                }
                Ok(Some(TrafficEvent::Unanswered(id))) => {
                    control.borrow_mut().doubt(id, Instant::now());
                }
                Ok(Some(TrafficEvent::ConfirmRequest(client))) => {
                    control.borrow_mut().handle_confirm_request(client, Instant::now());
                }
                Ok(Some(TrafficEvent::ConfirmAnswer { id, list })) => {
                    control.borrow_mut().handle_confirm_answer(id, list, Instant::now());
                }
                Ok(Some(TrafficEvent::ConfirmEndpoints)) => {
                    control.borrow_mut().confirm_list(Instant::now());
                }
                Ok(Some(TrafficEvent::ConfirmRoutes)) => {
                    control.borrow().confirm_routes.notify_one();
                }
                Ok(None) => return Ok(()),
                Err(_) => control.borrow_mut().tick(Instant::now()),
            },
        }
    }
}

/// Returns the pause of the polls for routes after a change, so that one call returns several changes.
fn routes_pause(apply: Duration) -> Duration {
    apply / ROUTES_PARTS
}

/// Returns the pause of the polls for the list of endpoints after a change.
fn endpoints_pause(apply: Duration) -> Duration {
    ENDPOINTS_PAUSE_MAX.min(apply / ENDPOINTS_PARTS)
}

/// Makes the controller that notices that no entry of the zone has told of an answer for longer than a reader takes that
/// polls after `pause`, with a store that takes half of the time that a call may take.
fn new_freshness(apply: Duration, pause: Duration, now: Instant) -> FreshnessController {
    let timeouts = FollowTimeouts::new(apply);
    let limit = pause + timeouts.poll + timeouts.call / 2;
    FreshnessController::new(limit, rand::random(), now)
}

/// Follows a range of the store, and reads it again whenever `confirm_requests` is notified.
fn follow_range(
    control: &Rc<RefCell<RelayControl>>,
    store: &PolledStore<PlatformCodec>,
    plan: FollowPlan,
    confirm_requests: Rc<Notify>,
    sink: fn(&mut RelayControl, FollowEvent, Instant),
) {
    let range = plan.range.clone();
    let follow_control = control.clone();
    let follows = follow(store.clone(), plan, move |event| {
        sink(&mut follow_control.borrow_mut(), event, Instant::now());
    });
    ntex::rt::spawn(follows).detach();
    let confirm_control = control.clone();
    let confirms = confirm(store.clone(), range, confirm_requests, move |event| {
        sink(&mut confirm_control.borrow_mut(), event, Instant::now());
    });
    ntex::rt::spawn(confirms).detach();
}

/// Answers a readiness probe of the fabric or a request for the metrics.
fn answer(control: &RefCell<RelayControl>, registry: &Registry, call: &ArrivedCall) -> CallReply {
    if let Some(reply) = calls::answer_metrics(registry, call) {
        return reply;
    }
    match server::decode(&call.method, &call.path) {
        ServerCall::Ready => match control.borrow_mut().is_ready(Instant::now()) {
            true => CallReply::text(200, "ready\n"),
            false => CallReply::text(503, "not ready\n"),
        },
        _ => CallReply::text(404, "no such page\n"),
    }
}

/// State of the control thread: what it read from the store and what agents reported.
struct RelayControl {
    state: Arc<RelayState>,
    sockets: Arc<RelaySockets>,
    store: PolledStore<PlatformCodec>,
    routes: RouteController,
    routes_range: RangeState,
    routes_progress: RangeProgress,
    fleet: FleetController,
    endpoints_range: RangeState,
    endpoints_progress: RangeProgress,
    /// Highest store revision of the list that is known, in the store's current era.
    list_revision: StoreRevision,
    peers: PeerController,
    routes_freshness: FreshnessController,
    list_freshness: FreshnessController,
    confirm: ConfirmController,
    digest_pacer: DigestPacer,
    /// Requests of other entries to confirm the list.
    confirm_clients: ConfirmQueue,
    /// How the routes are followed, by the role of this entry.
    routes_mode: watch::Sender<FollowMode>,
    /// How the list is followed, by the role of this entry.
    list_mode: watch::Sender<FollowMode>,
    /// End of the wait for first reports; unset before the first list of endpoints.
    settle_deadline: Option<Instant>,
    /// Requests another read of the list of endpoints.
    confirm_endpoints: Rc<Notify>,
    /// Requests another read of the routes.
    confirm_routes: Rc<Notify>,
    /// Start of the clock in keepalives.
    epoch: Instant,
    next_tick: Instant,
    last_published: Instant,
    stopping: bool,
    loaded: bool,
    ready: bool,
}

impl RelayControl {
    fn new(setup: &ControlSetup, store: PolledStore<PlatformCodec>, now: Instant) -> Self {
        let apply = Duration::from_millis(setup.settings.relay.apply_ms);
        let routes_pause = routes_pause(apply);
        Self {
            state: Arc::clone(&setup.state),
            sockets: Arc::clone(&setup.sockets),
            store,
            routes: RouteController::default(),
            routes_range: RangeState::default(),
            routes_progress: RangeProgress::new(ROUTES_NAME),
            fleet: FleetController::new(setup.settings.node.zone.clone()),
            endpoints_range: RangeState::default(),
            endpoints_progress: RangeProgress::new(ENDPOINTS_NAME),
            list_revision: 0,
            peers: PeerController::new(id_of(setup.settings.relay.agents), now),
            routes_freshness: new_freshness(apply, routes_pause, now).with_pause(routes_pause),
            list_freshness: new_freshness(apply, endpoints_pause(apply), now),
            confirm: ConfirmController::default(),
            digest_pacer: DigestPacer::default(),
            confirm_clients: ConfirmQueue::default(),
            routes_mode: watch::Sender::new(FollowMode::Watch),
            list_mode: watch::Sender::new(FollowMode::Watch),
            settle_deadline: None,
            confirm_endpoints: Rc::default(),
            confirm_routes: Rc::default(),
            epoch: now,
            next_tick: now + TICK_INTERVAL,
            last_published: now,
            stopping: false,
            loaded: false,
            ready: false,
        }
    }

    fn tick(&mut self, now: Instant) {
        self.next_tick = now + TICK_INTERVAL;
        self.fleet.tick(now);
        if self.fleet.take_grace_end(now) {
            self.confirm_endpoints.notify_one();
        }
        self.update_role(now);
        self.check_list_age(now);
        self.check_routes_age(now);
        if self.confirm.tick(now) {
            self.confirm_endpoints.notify_one();
        }
        if self.confirm.is_wanted() {
            self.confirm_list(now);
        }
        match self.digest_pacer.due() {
            Some(due) if due <= now => self.request_digests(now),
            Some(due) => self.next_tick = self.next_tick.min(due),
            None => {}
        }
        self.send_keepalives(now);
        self.publish(now);
        self.update_metrics(now);
    }

    fn publish(&mut self, now: Instant) {
        self.last_published = now;
        self.log_incarnations();
        let mut former = self.routes.former().clone();
        self.fleet.add_holders(&mut former);
        let view = RelayView {
            routes: self.routes.current().clone(),
            former,
            holders_known: self.fleet.holders_known(),
            services: self.fleet.services(now),
            synced: self.routes_range.current
                && self.endpoints_range.current
                && !self.fleet.era().is_grace(now),
            routes_read: self.routes_range.read,
            routes_confirmed: self.routes_progress.confirmed(),
            endpoints_read: self.endpoints_range.read,
            oldest_keepalive: self.fleet.oldest_keepalive(now),
            loaded: self.is_loaded(now),
        };
        self.state.view.store(Arc::new(view));
    }

    /// Returns whether flows can be placed: routes and endpoints are loaded, and all endpoints have reported or the wait for
    /// them is over. Once true, it stays true.
    fn is_loaded(&mut self, now: Instant) -> bool {
        let settled = self.fleet.all_report(now)
            || self.settle_deadline.is_some_and(|deadline| deadline <= now);
        let known = self.routes_range.loaded && self.routes.current().revision > 0;
        self.loaded |= known && self.endpoints_range.loaded && settled;
        self.loaded
    }

    fn is_ready(&mut self, now: Instant) -> bool {
        let settled = self.fleet.all_report(now)
            || self.settle_deadline.is_some_and(|deadline| deadline <= now);
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

    fn begin_stop(&mut self) {
        self.stopping = true;
    }

    fn update_metrics(&self, now: Instant) {
        let counters = &self.state.counters;
        self.routes_progress.update_metrics(now, counters);
        self.endpoints_progress.update_metrics(now, counters);
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
