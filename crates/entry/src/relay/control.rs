//! The control thread of an entry of the relay: follows routes and endpoints, publishes the view, answers readiness probes.

mod endpoints;
mod era;
mod evacuations;
mod open_flows;
mod publish;
mod range;
mod routes;

use super::settings::RelaySettings;
use super::shared::RelayState;
use super::traffic::{RelaySockets, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use open_flows::keep_flow_record;
use prometheus::Registry;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::relay::confirm::{ConfirmController, ConfirmQueue, DigestPacer};
use quetzalhill_core::relay::evacuation::EvacuationController;
use quetzalhill_core::relay::fleet::FleetController;
use quetzalhill_core::relay::freshness::FreshnessController;
use quetzalhill_core::relay::open_flows::{RecordedFlows, ZoneFlows};
use quetzalhill_core::relay::peers::{PeerController, ROLE_TIME};
use quetzalhill_core::relay::routes::RouteController;
use quetzalhill_node::calls::{self, ArrivedCall, CallReply};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::{confirm, follow, FollowEvent, FollowMode, FollowPlan};
use quetzalhill_node::relay::settings::{FollowTimeouts, ENDPOINT_PREFIX};
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

/// Time between two checks while the view is not loaded. Agents start at the same time as the entry after a loss of power,
/// and miss keepalives until then.
const LOADING_INTERVAL: Duration = Duration::from_millis(50);

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
    let apply = setup.settings.relay.apply_time();
    let store = setup.settings.common().open_followed_store(apply).await?;
    let now = Instant::now();
    let control = Rc::new(RefCell::new(RelayControl::new(&setup, store.clone(), now)));
    for listener in listeners {
        let (control, registry) = (control.clone(), setup.registry.clone());
        let handler = Rc::new(move |call| answer(&control, &registry, &call));
        ntex::rt::spawn(calls::serve(listener, handler)).detach();
    }
    let (routes, confirm_routes, confirm_endpoints, routes_mode, list_mode) = {
        let control = control.borrow();
        (
            control.operator_range(),
            control.confirm_routes.clone(),
            control.confirm_endpoints.clone(),
            control.routes_mode.subscribe(),
            control.list_mode.subscribe(),
        )
    };
    let plan = FollowPlan {
        name: ROUTES_NAME,
        range: routes,
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
    if setup.settings.relay.reset_ended {
        let zone = setup.settings.node.zone.clone();
        ntex::rt::spawn(keep_flow_record(control.clone(), store.clone(), zone)).detach();
    }
    let mut events = setup.events;
    loop {
        let wake = control.borrow().next_wake();
        let now = Instant::now();
        if wake <= now {
            // Events that never pause must not keep the tick from its work.
            control.borrow_mut().wake(now);
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
            received = timeout_at(wake.into(), events.recv()) => match received {
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
                Ok(Some(TrafficEvent::OperatorState(state))) => {
                    control.borrow_mut().handle_operator_state(state, Instant::now());
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
                Ok(Some(TrafficEvent::OpenFlows(flows))) => {
                    control.borrow_mut().handle_open_flows(flows, Instant::now());
                }
                Ok(Some(TrafficEvent::ConfirmRoutes)) => {
                    control.borrow().confirm_routes.notify_one();
                }
                Ok(None) => return Ok(()),
                Err(_) => control.borrow_mut().wake(Instant::now()),
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
    evacuations: EvacuationController,
    /// Whether the evacuations of zones are read with the routes.
    follows_evacuations: bool,
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
    /// Whether flows are reset as soon as their upstream is known to have restarted.
    reset_ended: bool,
    zone_flows: ZoneFlows,
    recorded_flows: RecordedFlows,
    /// When the open flows are named to the entry that reads for the zone.
    next_naming: Instant,
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
    /// When the view has to be published because of reports that it does not contain.
    publish_due: Option<Instant>,
    last_published: Instant,
    stopping: bool,
    loaded: bool,
    ready: bool,
}

impl RelayControl {
    fn new(setup: &ControlSetup, store: PolledStore<PlatformCodec>, now: Instant) -> Self {
        let apply = setup.settings.relay.apply_time();
        let routes_pause = routes_pause(apply);
        Self {
            state: Arc::clone(&setup.state),
            sockets: Arc::clone(&setup.sockets),
            store,
            routes: RouteController::default(),
            evacuations: EvacuationController::default(),
            follows_evacuations: setup.settings.relay.evacuations,
            routes_range: RangeState::default(),
            routes_progress: RangeProgress::new(ROUTES_NAME),
            fleet: FleetController::new(setup.settings.node.zone.clone())
                .with_pace(setup.settings.relay.pace),
            endpoints_range: RangeState::default(),
            endpoints_progress: RangeProgress::new(ENDPOINTS_NAME),
            list_revision: 0,
            peers: PeerController::new(id_of(setup.settings.relay.agents), now),
            routes_freshness: new_freshness(apply, routes_pause, now).with_pause(routes_pause),
            list_freshness: new_freshness(apply, endpoints_pause(apply), now),
            confirm: ConfirmController::default(),
            digest_pacer: DigestPacer::default(),
            confirm_clients: ConfirmQueue::default(),
            reset_ended: setup.settings.relay.reset_ended,
            zone_flows: ZoneFlows::default(),
            recorded_flows: RecordedFlows::new(now),
            next_naming: now,
            routes_mode: watch::Sender::new(FollowMode::Watch),
            list_mode: watch::Sender::new(FollowMode::Watch),
            settle_deadline: None,
            confirm_endpoints: Rc::default(),
            confirm_routes: Rc::default(),
            epoch: now,
            next_tick: now + TICK_INTERVAL,
            publish_due: None,
            last_published: now,
            stopping: false,
            loaded: false,
            ready: false,
        }
    }

    /// Returns when [`RelayControl::wake`] has to be called at the latest.
    fn next_wake(&self) -> Instant {
        self.publish_due
            .map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// Does the work that is due.
    fn wake(&mut self, now: Instant) {
        if self.next_tick <= now {
            return self.tick(now);
        }
        if self.publish_due.is_some_and(|due| due <= now) {
            self.publish(now);
        }
    }

    fn tick(&mut self, now: Instant) {
        self.next_tick = now
            + match self.loaded {
                true => TICK_INTERVAL,
                false => LOADING_INTERVAL,
            };
        self.fleet.tick(now);
        if self.fleet.take_grace_end(now) {
            self.confirm_endpoints.notify_one();
        }
        self.tick_evacuations(now);
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
        self.reset_recorded_flows(now);
        self.name_open_flows(now);
        self.publish(now);
        self.update_metrics(now);
    }

    fn begin_stop(&mut self) {
        self.stopping = true;
    }
}
