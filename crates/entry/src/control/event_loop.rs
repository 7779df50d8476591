//! The event loop of the control thread. After each event it starts catalogue fetches that are due and publishes a
//! changed catalogue or route table.

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

/// Interval of the updates of the metrics and of the catalogue reader's list of live entries.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks of the modification times of the key files.
pub(super) const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The event loop, with the state that only it uses.
pub(super) struct ControlLoop {
    pub(super) shared: Arc<SharedState>,
    pub(super) socket: UdpSocket,
    pub(super) state: Rc<RefCell<ControlState>>,
    pub(super) metrics: EntryMetrics,
    /// Input of the catalogue reader.
    pub(super) reader: watch::Sender<ReaderInput>,
    /// Change count of the membership and catalogue revision from which the published route table was built.
    pub(super) published: (u64, RevisionNumber),
    pub(super) rng: SmallRng,
    /// Cloned for each fetch, which sends its result to the loop through it; `None` if it failed.
    pub(super) fetched: mpsc::Sender<Option<CatalogueChange>>,
    pub(super) next_update: Instant,
    pub(super) keys: KeyWatch,
    pub(super) next_key_check: Instant,
}

impl ControlLoop {
    /// Runs until `stop` changes, and then announces to the other entries that this one leaves. Also ends if the
    /// sender of `snapshots` is gone.
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
                    // Errors are ignored: the kernel reports ICMP errors of earlier sends here, and each concerns
                    // only one peer.
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
                    self.handle_outcome(revision, outcome);
                }
                Some(change) = changes.recv() => self.finish_fetch(change),
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
            self.finish_iteration();
        }
    }

    fn next_deadline(&self) -> Instant {
        let state = self.state.borrow();
        let member = state.member.next_deadline().min(self.next_update);
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

    fn finish_fetch(&mut self, change: Option<CatalogueChange>) {
        let revision = change.as_ref().map_or(0, |change| change.revision);
        let now = Instant::now();
        let outcome = self
            .state
            .borrow_mut()
            .catalogue
            .finish_fetch(change, now, &mut self.rng);
        self.handle_outcome(revision, outcome);
    }

    fn handle_outcome(&mut self, revision: RevisionNumber, outcome: AdoptOutcome) {
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
            // A fetch failed or its result did not match its digest. The controller counts it and retries.
            AdoptOutcome::Mismatch => {}
        }
    }

    fn start_fetch(&mut self) {
        let now = Instant::now();
        let action = self.state.borrow_mut().catalogue.tick(now, &mut self.rng);
        let ring = self.shared.ring.load_full();
        fetch::start(action, None, ring, self.fetched.clone());
    }

    /// Publishes the route table if the membership or the catalogue has changed, and a changed catalogue to the
    /// other threads and the catalogue reader.
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

    fn finish_iteration(&mut self) {
        let now = Instant::now();
        self.state.borrow_mut().last_iteration = now;
        if self.next_update > now {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        if self.next_key_check <= now {
            self.next_key_check = now + KEY_CHECK_INTERVAL;
            self.check_keys();
        }
        let state = self.state.borrow();
        self.metrics.refresh(&state, &self.shared);
        let live_entries = state.member.live_in_zone();
        self.reader.send_if_modified(|input| {
            let differs = input.live_entries != live_entries;
            input.live_entries = live_entries;
            differs
        });
    }

    fn check_keys(&mut self) {
        if let Some(result) = self.keys.check() {
            self.apply_keys(result);
        }
    }

    fn reload_keys(&mut self) {
        let result = self.keys.reload();
        self.apply_keys(result);
    }

    /// Replaces the key ring. If the key files are not valid, the current key ring stays.
    fn apply_keys(&mut self, result: anyhow::Result<KeyRing>) {
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
        // A datagram that cannot be sent counts as lost; the membership protocol repeats every exchange.
        let _ = self.socket.send_to(&datagram, outgoing.to).await;
    }
}
