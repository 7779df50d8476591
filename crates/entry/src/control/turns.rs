//! The loop of the control thread: one event at a time, then what follows from it.

use super::metrics::EntryMetrics;
use super::state::ControlState;
use crate::reader::ReaderInput;
use crate::shared::SharedState;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::RevisionNumber;
use quetzalhill_core::member::controller::{ActionList, MemberAction};
use quetzalhill_core::member::message::OutgoingMessage;
use quetzalhill_core::member::routes::build_table;
use quetzalhill_core::replicate::{AdoptOutcome, CatalogueChange};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::fetch;
use quetzalhill_node::keys::KeyWatch;
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::key::KeyRing;
use quetzalhill_wire::packet::DATAGRAM_MAX;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Time between two updates of the metrics and of the zone's live entries for the store reader.
const CHORE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at the modification times of the key files.
pub(super) const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The loop and what only it uses.
pub(super) struct ControlLoop {
    pub(super) shared: Arc<SharedState>,
    pub(super) socket: UdpSocket,
    pub(super) state: Rc<RefCell<ControlState>>,
    pub(super) metrics: EntryMetrics,
    /// What the store reader learns.
    pub(super) reader: watch::Sender<ReaderInput>,
    pub(super) published: (u64, RevisionNumber),
    pub(super) rng: SmallRng,
    pub(super) fetched: mpsc::Sender<Option<CatalogueChange>>,
    pub(super) next_chores: Instant,
    pub(super) keys: KeyWatch,
    pub(super) next_key_check: Instant,
}

impl ControlLoop {
    /// Runs until `stop` changes; then the other entries hear that this one leaves.
    pub(super) async fn run(
        mut self,
        mut snapshots: watch::Receiver<Arc<CatalogueSnapshot>>,
        mut stop: watch::Receiver<bool>,
        mut reload: watch::Receiver<()>,
        mut changes: mpsc::Receiver<Option<CatalogueChange>>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An ICMP error of an earlier send shows up here and concerns one peer only.
                    if let Ok((size, from)) = received {
                        self.receive(&buffer[..size], from).await;
                    }
                }
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let snapshot = CatalogueSnapshot::clone(&snapshots.borrow_and_update());
                    let revision = snapshot.revision;
                    let outcome = self.state.borrow_mut().catalogue.adopt(snapshot);
                    self.adopted(revision, outcome);
                }
                Some(change) = changes.recv() => self.take_change(change),
                Ok(()) = reload.changed() => self.reload_keys(),
                _ = stop.changed() => {
                    let actions = self.state.borrow_mut().member.leave(&mut self.rng);
                    self.perform(actions).await;
                    return Ok(());
                }
                () = tokio::time::sleep_until(deadline.into()) => {
                    let now = Instant::now();
                    let actions = self.state.borrow_mut().member.tick(now, &mut self.rng);
                    self.perform(actions).await;
                }
            }
            self.start_fetch();
            self.publish();
            self.finish_turn();
        }
    }

    fn next_deadline(&self) -> Instant {
        let state = self.state.borrow();
        let member = state.member.next_deadline().min(self.next_chores);
        let catalogue = state.catalogue.next_deadline();
        catalogue.map_or(member, |deadline| deadline.min(member))
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else {
            return;
        };
        // CAST: Datagram lengths fit 64 bits on every supported target.
        self.metrics.received.inc_by(datagram.len() as u64);
        let ring = self.shared.ring.load_full();
        let Ok(ControlMessage::Member(message)) = ControlMessage::open(&ring, datagram) else {
            return;
        };
        let now = Instant::now();
        let actions = self
            .state
            .borrow_mut()
            .member
            .receive(from, *message, now, &mut self.rng);
        self.perform(actions).await;
    }

    async fn perform(&mut self, actions: ActionList) {
        for action in actions {
            match action {
                MemberAction::Send(outgoing) => self.send(outgoing).await,
                MemberAction::CatalogueSeen(peer, stamp) => {
                    self.state.borrow_mut().catalogue.add_source(peer, stamp);
                }
            }
        }
    }

    fn take_change(&mut self, change: Option<CatalogueChange>) {
        let revision = change.as_ref().map_or(0, |change| change.revision);
        let now = Instant::now();
        let outcome = self
            .state
            .borrow_mut()
            .catalogue
            .finish_fetch(change, now, &mut self.rng);
        self.adopted(revision, outcome);
    }

    fn adopted(&mut self, revision: RevisionNumber, outcome: AdoptOutcome) {
        let mut state = self.state.borrow_mut();
        let stamp = state.catalogue.stamp();
        match outcome {
            AdoptOutcome::InForce => {
                emit(EventCode::CatalogueInForce, &[("revision", &revision)]);
                state.member.set_stamp(stamp);
            }
            AdoptOutcome::Invalid(reason) => emit(
                EventCode::CatalogueInvalid,
                &[("revision", &revision), ("error", &reason)],
            ),
            AdoptOutcome::Stale => emit(
                EventCode::CatalogueStale,
                &[("revision", &revision), ("in_force", &stamp.revision)],
            ),
            // Counted by the controller and repeated by it.
            AdoptOutcome::Mismatch => {}
        }
    }

    fn start_fetch(&mut self) {
        let now = Instant::now();
        let action = self.state.borrow_mut().catalogue.tick(now, &mut self.rng);
        let ring = self.shared.ring.load_full();
        fetch::start(action, None, ring, self.fetched.clone());
    }

    /// Publishes catalogue and route table if one of them has changed.
    fn publish(&mut self) {
        let state = self.state.borrow();
        let snapshot = state.catalogue.snapshot().clone();
        let current = (state.member.change_count(), snapshot.revision);
        if self.published == current {
            return;
        }
        let unreachable: Vec<_> = state.member.unreachable_zones().cloned().collect();
        let table = build_table(&snapshot, state.member.endpoints(), &unreachable);
        self.shared.routes.store(Arc::new(table));
        if self.published.1 != snapshot.revision {
            self.shared.catalogue.store(snapshot.clone());
            self.reader.send_modify(|input| input.in_force = snapshot);
        }
        self.published = current;
    }

    fn finish_turn(&mut self) {
        let now = Instant::now();
        self.state.borrow_mut().turned_at = now;
        if self.next_chores > now {
            return;
        }
        self.next_chores = now + CHORE_INTERVAL;
        if self.next_key_check <= now {
            self.next_key_check = now + KEY_CHECK_INTERVAL;
            self.check_keys();
        }
        let state = self.state.borrow();
        self.metrics.refresh(&state, &self.shared);
        let live = state.member.live_in_zone();
        self.reader.send_if_modified(|input| {
            let differs = input.live_entries != live;
            input.live_entries = live;
            differs
        });
    }

    fn check_keys(&mut self) {
        if let Some(result) = self.keys.check() {
            self.take_keys(result);
        }
    }

    fn reload_keys(&mut self) {
        let result = self.keys.reload();
        self.take_keys(result);
    }

    /// Brings read keys into force; keys that are not valid leave those in force.
    fn take_keys(&mut self, result: anyhow::Result<KeyRing>) {
        match result {
            Ok(ring) => {
                let number = ring.current().number();
                self.shared.ring.store(Arc::new(ring));
                emit(EventCode::KeysReloaded, &[("key", &number)]);
            }
            Err(error) => {
                let error = format!("{error:#}");
                emit(EventCode::KeysInvalid, &[("error", &error)]);
            }
        }
    }

    async fn send(&self, outgoing: OutgoingMessage) {
        let ring = self.shared.ring.load_full();
        let message = ControlMessage::Member(Box::new(outgoing.message));
        let Ok(datagram) = message.seal(&ring) else {
            return;
        };
        // CAST: Datagram lengths fit 64 bits on every supported target.
        self.metrics.sent.inc_by(datagram.len() as u64);
        // A datagram that can't be sent counts as lost; every exchange is repeated.
        let _ = self.socket.send_to(&datagram, outgoing.to).await;
    }
}
