//! Carries out the decisions of dispatch on the traffic thread.
//!
//! The scheduler is the one owner of the [`DispatchController`]; requests tell it what happened and wait for what
//! it decides.

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

/// What dispatch decided for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunDecision {
    /// Send it to the local upstream.
    Start,
    /// Offer it to a peer; another decision follows if the peer does not take it.
    HandOver(EndpointId),
    /// Take back the offer to a peer.
    Withdraw,
    /// Tell the peer that offered it that it is taken.
    Accept,
    /// Tell the peer that offered it that it is not taken or given back.
    Reject,
    /// Answer that it was not run.
    Refuse(RefusalReason),
}

/// Owns dispatch; used through [`Rc`] by all tasks of the traffic thread.
pub(crate) struct RequestScheduler {
    controller: RefCell<DispatchController>,
    rng: RefCell<SmallRng>,
    decision_senders: RefCell<HashMap<RequestId, mpsc::UnboundedSender<RunDecision>>>,
    in_flight: Cell<u32>,
    timer: Notify,
    peers: Rc<PeerSocket>,
}

impl RequestScheduler {
    /// Takes over a controller; `peers` carries its load reports and pulls.
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

    /// Returns how many requests wait or run.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns how many requests wait.
    pub(crate) fn queued(&self) -> u16 {
        self.controller.borrow().load(Instant::now()).queued
    }

    /// Returns whether dispatch avoids the local upstream.
    pub(crate) fn is_upstream_ejected(&self) -> bool {
        self.controller.borrow().is_ejected(Instant::now())
    }

    /// Tells dispatch what happened and carries out what it decides.
    pub(crate) fn handle(self: &Rc<Self>, event: DispatchEvent) {
        let now = Instant::now();
        let actions = {
            let mut rng = self.rng.borrow_mut();
            self.controller.borrow_mut().handle(event, now, &mut rng)
        };
        self.execute(actions);
        self.timer.notify_one();
    }

    /// Gives a caller's request to dispatch; the ticket tells dispatch how the request ended.
    pub(crate) fn submit(
        self: &Rc<Self>,
        meta: RequestMeta,
    ) -> (RunTicket, mpsc::UnboundedReceiver<RunDecision>) {
        let registered = self.register(meta.id);
        self.handle(DispatchEvent::Arrived(meta));
        registered
    }

    /// Gives a request that a peer offers to dispatch; `None` if the request is here already.
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
        // Dispatch decides on a request several times if peers do not take it.
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

    /// Fires the controller's timer; runs until the system stops.
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
            // A request that was cancelled meanwhile tells dispatch so itself.
            let _ = sender.send(decision);
        }
    }
}

/// Tells dispatch how a request ended; a dropped ticket counts as cancelled.
pub(crate) struct RunTicket {
    scheduler: Rc<RequestScheduler>,
    id: RequestId,
    open: bool,
}

impl RunTicket {
    /// Returns the identity of the request.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Tells dispatch what became of an offer to a peer.
    pub(crate) fn report_offer(&self, event: DispatchEvent) {
        self.scheduler.handle(event);
    }

    /// Reports that the request ended; `ok` is what it says of the upstream's health.
    pub(crate) fn finish(mut self, ok: bool) {
        self.open = false;
        let id = self.id;
        self.scheduler.handle(DispatchEvent::Finished { id, ok });
    }

    /// Ends the ticket of a request that dispatch refused.
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
