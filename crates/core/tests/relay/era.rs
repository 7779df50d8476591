//! Tests of what entries know after the store was restored from an older copy.

use crate::support::{id, FEED};
use proptest::prelude::*;
use quetzalhill_core::ids::{RevisionNumber, StoreEra, StoreRevision};
use quetzalhill_core::relay::era::{EraChange, EraController, RESTORE_GRACE};
use quetzalhill_core::relay::fleet::{
    FleetController, ListChange, ListEffect, ListRead, ListRecord, ListedEndpoint,
};
use quetzalhill_core::relay::freshness::FreshnessController;
use quetzalhill_core::relay::routes::{RouteController, RouteSet};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longer than an endpoint that is not listed and does not report is kept.
const LAPSED: Duration = Duration::from_secs(3);

/// Numbers of the endpoints of the model.
const ENDPOINTS: u8 = 4;

const SECOND: Duration = Duration::from_secs(1);

fn listed(number: u8, incarnation: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id(number),
        service: FEED.into(),
        zone: "a".into(),
        incarnation,
        slots: 4,
    }
}

fn written(era: StoreEra, revision: StoreRevision, number: u8) -> ListChange {
    ListChange {
        era,
        revision,
        effect: ListEffect::Written(listed(number, 1)),
    }
}

fn removed(era: StoreEra, revision: StoreRevision, number: u8) -> ListChange {
    ListChange {
        era,
        revision,
        effect: ListEffect::Removed(id(number)),
    }
}

/// Returns a read of records, each with its revision, number and incarnation.
fn read(era: StoreEra, revision: StoreRevision, records: &[(StoreRevision, u8, u64)]) -> ListRead {
    let record = |(revision, number, incarnation): &(StoreRevision, u8, u64)| ListRecord {
        revision: *revision,
        endpoint: listed(*number, *incarnation),
    };
    ListRead {
        era,
        revision,
        records: records.iter().map(record).collect(),
    }
}

/// Returns the endpoints of the view at `now` with their incarnations.
fn listing(fleet: &mut FleetController, now: Instant) -> BTreeMap<u8, u64> {
    fleet.tick(now);
    let mut listing = BTreeMap::new();
    for service in fleet.services(now).values() {
        for endpoint in &service.endpoints {
            let found = (1..=ENDPOINTS).find(|number| id(*number) == endpoint.id);
            listing.insert(found.expect("a number"), endpoint.incarnation);
        }
    }
    listing
}

/// Returns a fleet that has read endpoints 1 and 2 in era 5 at a revision that later eras have not reached yet.
fn fleet(now: Instant) -> FleetController {
    let mut fleet = FleetController::new("a".into());
    assert_eq!(fleet.observe_era(5, now), EraChange::First);
    fleet.replace_list(read(5, 100, &[(90, 1, 10), (95, 2, 20)]), now);
    fleet
}

/// Guards against an entry that takes a missing or malformed era, the first one, a lower one or a jump for what it is not.
#[test]
fn eras_are_compared() {
    let now = Instant::now();
    let mut era = EraController::default();
    assert_eq!(era.observe(0, now), EraChange::Unchanged);
    assert_eq!(era.observe(5, now), EraChange::First);
    assert!(!era.is_grace(now) && !era.is_told(now));
    assert_eq!(era.observe(0, now), EraChange::Unchanged);
    assert_eq!(era.observe(5, now), EraChange::Unchanged);
    assert_eq!(era.observe(4, now), EraChange::Older);
    assert_eq!(era.era(), 5);
    assert_eq!(era.observe(9, now), EraChange::Restored { before: 5 });
    let later = now + RESTORE_GRACE / 2;
    assert_eq!(era.observe(10, later), EraChange::Restored { before: 9 });
    assert!(era.is_grace(now + RESTORE_GRACE) && era.is_told(now + RESTORE_GRACE));
    let end = later + RESTORE_GRACE;
    assert!(!era.is_grace(end) && !era.is_told(end));
    assert!(!era.take_grace_end(later) && era.take_grace_end(end) && !era.take_grace_end(end));
}

/// Guards against a follower that reads at each notice of its readers, against one that believes an era which only a
/// notice has told, and against one that never asks again.
#[test]
fn heard_era_causes_reads_and_no_belief() {
    let now = Instant::now();
    let mut era = EraController::default();
    era.observe(5, now);
    assert!(!era.hear(5, now) && !era.hear(4, now) && !era.hear(0, now));
    assert!(era.hear(6, now));
    assert!(!era.hear(6, now));
    assert!(era.hear(7, now));
    assert!(era.hear(7, now + SECOND));
    assert_eq!(era.era(), 5);
    assert_eq!(era.observe(5, now), EraChange::Unchanged);
}

/// Guards against an entry that starts just after a restore and ends the flows of endpoints which are about to register,
/// and against a grace that goes on because entries tell each other of it.
#[test]
fn started_entry_adopts_the_grace_of_its_zone() {
    let start = Instant::now();
    let mut era = EraController::default();
    era.observe(6, start);
    assert!(!era.is_grace(start));
    let mut now = start;
    while now < start + 20 * SECOND {
        era.hear(6, now);
        assert!(!era.is_told(now));
        now += SECOND / 2;
    }
    assert!(!era.is_grace(start + RESTORE_GRACE * 2));
    assert!(era.is_grace(start + RESTORE_GRACE));
    // The notice may arrive before the first answer of the store.
    let mut era = EraController::default();
    assert!(era.hear(6, start));
    assert_eq!(era.observe(6, start), EraChange::First);
    assert!(era.is_grace(start) && !era.is_told(start));
}

/// Guards against an entry that keeps the newer revisions of the era before, and so refuses what is written after a
/// restore.
#[test]
fn restored_store_assigns_revisions_again() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.observe_era(6, now);
    fleet.replace_list(read(6, 60, &[(50, 1, 10)]), now);
    fleet.apply_change(written(6, 61, 3), now);
    let later = now + RESTORE_GRACE + LAPSED;
    fleet.tick(now + RESTORE_GRACE);
    assert_eq!(listing(&mut fleet, later), [(1, 10), (3, 1)].into());
    fleet.apply_change(removed(6, 62, 1), later);
    assert_eq!(listing(&mut fleet, later + LAPSED), [(3, 1)].into());
}

/// Guards against an endpoint that vanishes because the restored store lacks it, or because its lease of the copy ends,
/// before its agent has had time to register again; and against one that stays for good.
#[test]
fn listed_endpoint_is_kept_for_the_grace() {
    let now = Instant::now();
    for agent_returns in [true, false] {
        let mut fleet = fleet(now);
        fleet.observe_era(6, now);
        fleet.replace_list(read(6, 60, &[(50, 1, 10)]), now);
        fleet.apply_change(removed(6, 61, 1), now);
        let grace_end = now + RESTORE_GRACE - Duration::from_millis(1);
        assert_eq!(listing(&mut fleet, grace_end), [(1, 10), (2, 20)].into());
        if agent_returns {
            fleet.apply_change(written(6, 62, 1), grace_end);
        }
        fleet.tick(now + RESTORE_GRACE);
        let expected = match agent_returns {
            true => [(1, 1)].into(),
            false => BTreeMap::new(),
        };
        let later = now + RESTORE_GRACE + LAPSED;
        assert_eq!(listing(&mut fleet, later), expected);
    }
}

/// Guards against accounts of the era before that arrive after the restore was noticed: their higher revisions would hide
/// what is written next.
#[test]
fn accounts_of_another_era_are_ignored() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.observe_era(6, now);
    fleet.replace_list(read(6, 60, &[(50, 1, 10), (51, 2, 20)]), now);
    fleet.apply_change(removed(5, 101, 1), now);
    fleet.apply_change(written(5, 102, 3), now);
    fleet.apply_change(removed(7, 40, 2), now);
    fleet.replace_list(read(5, 103, &[]), now);
    let later = now + RESTORE_GRACE;
    fleet.tick(later);
    assert_eq!(
        listing(&mut fleet, later + LAPSED),
        [(1, 10), (2, 20)].into()
    );
}

/// Guards against a record of the copy that makes flows of the running incarnation look lost.
#[test]
fn record_of_the_copy_does_not_bring_back_an_incarnation() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.observe_era(6, now);
    let restored = read(6, 60, &[(50, 1, 9), (51, 2, 21)]);
    fleet.replace_list(restored.clone(), now);
    assert_eq!(listing(&mut fleet, now), [(1, 10), (2, 21)].into());
    // A record that is still there after the grace is what the agent has written.
    let later = now + RESTORE_GRACE;
    fleet.replace_list(restored, later);
    assert_eq!(listing(&mut fleet, later), [(1, 9), (2, 21)].into());
}

/// Guards against a reader's state of another era that counts as equal or newer and so suppresses a read.
#[test]
fn state_of_another_era_does_not_suppress_a_read() {
    let now = Instant::now();
    let limit = Duration::from_secs(4);
    let (mut reader, mut follower) = (fleet(now), fleet(now));
    assert_eq!(reader.list_state(), follower.list_state());
    let records = read(6, 100, &[(90, 1, 10), (95, 2, 20)]);
    reader.observe_era(6, now);
    reader.replace_list(records.clone(), now);
    let mut freshness = FreshnessController::new(limit, 0.0, now);
    for tick in 1..=20 {
        let now = now + Duration::from_millis(200) * tick;
        freshness.record_state(reader.list_state(), follower.list_state(), now);
    }
    let soon = now + SECOND * 3;
    assert!(freshness.take_read(follower.list_state(), soon));
    // What was told before the restore does not count after it.
    let mut freshness = FreshnessController::new(limit, 0.0, now);
    freshness.record_restore(now);
    assert!(freshness.take_read(follower.list_state(), now));
    follower.observe_era(6, now);
    follower.replace_list(records, now);
    assert_eq!(reader.list_state(), follower.list_state());
}

/// Content of the store of the model.
#[derive(Clone, Debug, Default)]
struct StoreContent {
    revision: StoreRevision,
    records: BTreeMap<u8, StoreRevision>,
    manifest: RevisionNumber,
}

/// An answer or notice that is on its way to the entry.
#[derive(Clone, Debug)]
enum Message {
    /// Answer to a read of list and routes.
    Read(StoreEra, StoreContent),
    /// Answer to a poll with one change.
    Event(ListChange),
    /// A change that another entry passes on.
    PassedOn(ListChange),
}

#[derive(Clone, Debug)]
enum Step {
    /// An endpoint starts, or writes its record again.
    Write(u8),
    /// An endpoint ends and removes its record.
    End(u8),
    /// The lease of an endpoint lapses.
    Lapse(u8),
    Publish,
    /// The store returns to the content before this many changes.
    Restore(usize),
    /// The store is read; the answer is on its way.
    Read,
    /// The message with this index arrives, and again later if this is true.
    Deliver(usize, bool),
    /// Time passes, in milliseconds.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let endpoint = 1..=ENDPOINTS;
    prop_oneof![
        4 => endpoint.clone().prop_map(Step::Write),
        1 => endpoint.clone().prop_map(Step::End),
        1 => endpoint.prop_map(Step::Lapse),
        1 => Just(Step::Publish),
        2 => (0_usize..6).prop_map(Step::Restore),
        4 => Just(Step::Read),
        10 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(index, again)| Step::Deliver(index, again)),
        4 => (1_u64..2_500).prop_map(Step::Pass),
    ]
}

/// The store, the endpoints and one entry, in virtual time.
struct RestoreModel {
    now: Instant,
    era: StoreEra,
    content: StoreContent,
    /// Content after each change, the last one at the end.
    history: Vec<StoreContent>,
    living: BTreeSet<u8>,
    /// Highest version that the operators have written.
    published: RevisionNumber,
    messages: Vec<Message>,
    fleet: FleetController,
    routes: RouteController,
    /// Endpoints that were listed when the last restore was noticed.
    listed_before: BTreeSet<u8>,
}

impl RestoreModel {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            era: 1,
            content: StoreContent::default(),
            history: vec![StoreContent::default()],
            living: BTreeSet::new(),
            published: 0,
            messages: Vec::new(),
            fleet: FleetController::new("a".into()),
            routes: RouteController::default(),
            listed_before: BTreeSet::new(),
        }
    }

    fn change(&mut self, number: Option<u8>, effect: Option<ListEffect>) {
        self.content.revision += 1;
        let revision = self.content.revision;
        match (number, &effect) {
            (Some(number), Some(ListEffect::Written(_))) => {
                self.content.records.insert(number, revision);
            }
            (Some(number), _) => {
                self.content.records.remove(&number);
            }
            (None, _) => self.content.manifest = self.published,
        }
        self.history.push(self.content.clone());
        if let Some(effect) = effect {
            let change = ListChange {
                era: self.era,
                revision,
                effect,
            };
            self.messages.push(Message::Event(change.clone()));
            self.messages.push(Message::PassedOn(change));
        }
    }

    fn write(&mut self, number: u8) {
        self.living.insert(number);
        let effect = ListEffect::Written(listed(number, 1));
        self.change(Some(number), Some(effect));
    }

    fn remove(&mut self, number: u8) {
        if self.content.records.contains_key(&number) {
            self.change(Some(number), Some(ListEffect::Removed(id(number))));
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Write(number) => self.write(*number),
            Step::End(number) => {
                self.living.remove(number);
                self.remove(*number);
            }
            Step::Lapse(number) => self.remove(*number),
            Step::Publish => {
                self.published += 1;
                self.change(None, None);
            }
            Step::Restore(changes) => {
                let kept = self.history.len().saturating_sub(*changes).max(1);
                self.history.truncate(kept);
                self.content = self.history.last().cloned().unwrap_or_default();
                self.era += 1;
            }
            Step::Read => self
                .messages
                .push(Message::Read(self.era, self.content.clone())),
            Step::Deliver(index, again) if !self.messages.is_empty() => {
                let index = index % self.messages.len();
                let message = match again {
                    true => self.messages[index].clone(),
                    false => self.messages.remove(index),
                };
                self.receive(message);
            }
            Step::Deliver(..) => {}
            Step::Pass(ms) => self.now += Duration::from_millis(*ms),
        }
    }

    /// Receives a message as an entry does; the client of the store discards answers of an earlier era.
    fn receive(&mut self, message: Message) {
        let era = match &message {
            Message::Read(era, _) => Some(*era),
            Message::Event(change) => Some(change.era),
            Message::PassedOn(_) => None,
        };
        if let Some(era) = era {
            if era < self.fleet.era().era() {
                return;
            }
            let before: BTreeSet<u8> = listing(&mut self.fleet, self.now).into_keys().collect();
            if let EraChange::Restored { .. } = self.fleet.observe_era(era, self.now) {
                self.listed_before = before;
            }
        }
        match message {
            Message::Read(era, content) => {
                let mut records = Vec::new();
                for (number, revision) in &content.records {
                    records.push((*revision, *number, 1));
                }
                let list = read(era, content.revision, &records);
                self.fleet.replace_list(list, self.now);
                self.routes.adopt(RouteSet {
                    revision: content.manifest,
                    ..RouteSet::default()
                });
            }
            Message::Event(change) | Message::PassedOn(change) => {
                self.fleet.apply_change(change, self.now);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against an order of restores, reads, events, late answers and writes that brings an older manifest back,
    /// drops a living endpoint during the grace, or leaves the entry with another list than the store for good.
    #[test]
    fn no_order_of_messages_goes_wrong(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = RestoreModel::new();
        let mut version = 0;
        for step in &steps {
            model.apply(step);
            let in_force = model.routes.current().revision;
            prop_assert!(in_force >= version, "{in_force} after {version}");
            version = in_force;
            let now = model.now;
            let listing = listing(&mut model.fleet, now);
            if model.fleet.era().is_grace(now) {
                for number in model.listed_before.intersection(&model.living) {
                    prop_assert!(listing.contains_key(number), "{number} is missing after {step:?}");
                }
            }
        }
        // Agents and operators write again what was lost; the entry reads after the grace, and late messages follow.
        for number in model.living.clone() {
            model.write(number);
        }
        model.change(None, None);
        model.apply(&Step::Read);
        if let Some(message) = model.messages.pop() {
            model.receive(message);
        }
        model.now += RESTORE_GRACE;
        model.fleet.tick(model.now);
        model.apply(&Step::Read);
        while let Some(message) = model.messages.pop() {
            model.receive(message);
        }
        let listing = listing(&mut model.fleet, model.now + LAPSED);
        let expected: BTreeSet<u8> = model.content.records.keys().copied().collect();
        prop_assert_eq!(listing.into_keys().collect::<BTreeSet<u8>>(), expected);
        prop_assert_eq!(model.routes.current().revision, model.published);
    }
}
