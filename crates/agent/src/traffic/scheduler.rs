//! Runs the dispatch controller on the traffic thread and executes its actions.
//!
//! The scheduler owns the only [`DispatchController`] of the agent. The task of each request sends it events and
//! receives decisions over a channel.

use crate::handover::control::PeerSocket;
use quetzalhill_core::dispatch::{
    ActionList, DispatchAction, DispatchController, DispatchEvent, RefusalReason, RequestMeta,
};
use quetzalhill_core::ids::{EndpointId, RequestId};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, Notify};

/// Decision of dispatch about one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunDecision {
    /// Send the request to the local upstream.
    Start,
    /// Offer the request to a peer; another decision follows if the peer rejects it.
    HandOver(EndpointId),
    /// Withdraw the offer to a peer.
    Withdraw,
    /// Accept the offer of a peer.
    Accept,
    /// Reject the offer of a peer, possibly after it was accepted.
    Reject,
    /// Respond that the request was not run.
    Refuse(RefusalReason),
}

/// Dispatch of one agent, shared through [`Rc`] by all tasks of the traffic thread.
pub(crate) struct RequestScheduler {
    controller: RefCell<DispatchController>,
    rng: RefCell<SmallRng>,
    decision_senders: RefCell<HashMap<RequestId, mpsc::UnboundedSender<RunDecision>>>,
    in_flight: Cell<u32>,
    timer: Notify,
    peers: Rc<PeerSocket>,
}

impl RequestScheduler {
    /// Creates the scheduler of a controller; its load reports and pulls are sent through `peers`.
    pub(crate) fn new(controller: DispatchController, peers: Rc<PeerSocket>) -> Rc<Self> {
        Rc::new(Self {
            controller: RefCell::new(controller),
            rng: RefCell::new(SmallRng::from_os_rng()),
            decision_senders: RefCell::new(HashMap::new()),
            in_flight: Cell::new(0),
            timer: Notify::new(),
            peers,
        })
    }

    /// Returns the number of requests that are waiting or running.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn queued(&self) -> u16 {
        self.controller.borrow().load(Instant::now()).queued
    }

    /// Returns whether the local upstream is ejected.
    pub(crate) fn is_upstream_ejected(&self) -> bool {
        self.controller.borrow().is_ejected(Instant::now())
    }

    /// Passes an event to dispatch and executes the resulting actions.
    pub(crate) fn handle(self: &Rc<Self>, event: DispatchEvent) {
        let now = Instant::now();
        let actions = {
            let mut rng = self.rng.borrow_mut();
            self.controller.borrow_mut().handle(event, now, &mut rng)
        };
        self.execute(actions);
        self.timer.notify_one();
    }

    /// Submits a caller's request; its end has to be reported through the ticket.
    pub(crate) fn submit(
        self: &Rc<Self>,
        meta: RequestMeta,
    ) -> (RunTicket, mpsc::UnboundedReceiver<RunDecision>) {
        let registered = self.register(meta.id);
        self.handle(DispatchEvent::Arrived(meta));
        registered
    }

    /// Submits a request that a peer offers; `None` if a request with the same ID is already open here.
    pub(crate) fn submit_offer(
        self: &Rc<Self>,
        peer: EndpointId,
        meta: RequestMeta,
    ) -> Option<(RunTicket, mpsc::UnboundedReceiver<RunDecision>)> {
        if self.decision_senders.borrow().contains_key(&meta.id) {
            return None;
        }
        let registered = self.register(meta.id);
        self.handle(DispatchEvent::Offered(peer, meta));
        Some(registered)
    }

    fn register(
        self: &Rc<Self>,
        id: RequestId,
    ) -> (RunTicket, mpsc::UnboundedReceiver<RunDecision>) {
        // A request can receive several decisions, because peers may reject it.
        let (sender, receiver) = mpsc::unbounded_channel();
        let ticket = RunTicket {
            scheduler: self.clone(),
            id,
            open: true,
        };
        self.in_flight.set(self.in_flight.get() + 1);
        self.decision_senders.borrow_mut().insert(id, sender);
        (ticket, receiver)
    }

    /// Fires the timer of the controller at its deadlines; never returns.
    pub(crate) async fn run_timer(self: Rc<Self>) {
        loop {
            let next = self.controller.borrow().next_deadline();
            let changed = self.timer.notified();
            let Some(deadline) = next else {
                changed.await;
                continue;
            };
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(deadline.into()) => {
                    self.handle(DispatchEvent::TimerFired);
                }
            }
        }
    }

    fn execute(self: &Rc<Self>, actions: ActionList) {
        for action in actions {
            match action {
                DispatchAction::Start(id) => self.send_decision(id, RunDecision::Start),
                DispatchAction::Refuse(id, reason) => {
                    self.send_decision(id, RunDecision::Refuse(reason))
                }
                DispatchAction::HandOver(id, peer) => {
                    self.send_decision(id, RunDecision::HandOver(peer))
                }
                DispatchAction::WithdrawOffer(id, _) => {
                    self.send_decision(id, RunDecision::Withdraw)
                }
                DispatchAction::AcceptOffer(id) => self.send_decision(id, RunDecision::Accept),
                DispatchAction::RejectOffer(id) => self.send_decision(id, RunDecision::Reject),
                DispatchAction::SendPull(peer) => self.peers.send_pull(peer),
                DispatchAction::SendLoad(report) => {
                    let controller = self.controller.borrow();
                    self.peers.send_load(report, controller.load_targets());
                }
            }
        }
    }

    fn send_decision(&self, id: RequestId, decision: RunDecision) {
        if let Some(sender) = self.decision_senders.borrow().get(&id) {
            // Sending fails if the request was cancelled; its ticket reports that when it is dropped.
            let _ = sender.send(decision);
        }
    }
}

/// Reports to dispatch how a request ended; dropping the ticket reports a cancellation.
pub(crate) struct RunTicket {
    scheduler: Rc<RequestScheduler>,
    id: RequestId,
    open: bool,
}

impl RunTicket {
    /// Returns the ID of the request.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Reports the result of an offer to a peer.
    pub(crate) fn report_offer(&self, event: DispatchEvent) {
        self.scheduler.handle(event);
    }

    /// Reports the end of the request; `ok` is false if it counts as a failure of the upstream.
    pub(crate) fn finish(mut self, ok: bool) {
        self.open = false;
        let id = self.id;
        self.scheduler.handle(DispatchEvent::Finished { id, ok });
    }

    /// Closes the ticket of a request that dispatch refused, or whose offer it rejected, without sending an event.
    pub(crate) fn close_refused(mut self) {
        self.open = false;
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let scheduler = &self.scheduler;
        scheduler.in_flight.set(scheduler.in_flight.get() - 1);
        scheduler.decision_senders.borrow_mut().remove(&self.id);
        if self.open {
            scheduler.handle(DispatchEvent::Cancelled(self.id));
        }
    }
}
