//! Tests of the registration of endpoints in a store that is restored from older copies.

use crate::support::{id, FEED};
use proptest::prelude::*;
use quetzalhill_core::ids::{EndpointId, LeaseId, StoreEra};
use quetzalhill_core::relay::era::{EraChange, RESTORE_GRACE};
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::registration::{
    RegistrationAction, RegistrationController, RegistrationOutcome, LEASE_TTL, REGISTER_SPREAD,
    RENEW_INTERVAL,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Longest wait for an answer, after which a call has failed with an unknown effect.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

fn endpoint() -> ListedEndpoint {
    ListedEndpoint {
        id: id(1),
        service: FEED.into(),
        zone: "a".into(),
        incarnation: 1,
        slots: 4,
    }
}

/// Returns a controller whose endpoint is written under lease 9 of era 5.
fn registered(now: Instant) -> RegistrationController {
    let mut controller = RegistrationController::new();
    controller.set_target(Some(endpoint()));
    controller.observe_era(5, 0.0, now);
    let grant = controller.next_action(now);
    controller.finish(&grant, RegistrationOutcome::Granted(9), 0.0, now);
    let write = controller.next_action(now);
    controller.finish(&write, RegistrationOutcome::Written, 0.0, now);
    assert!(controller.is_registered());
    controller
}

/// Guards against an agent that goes on with a lease which the restored store may have granted to another owner, whatever
/// call shows the restore and however it ends.
#[test]
fn any_call_that_shows_a_restore_ends_the_lease() {
    for outcome in [
        RegistrationOutcome::Renewed,
        RegistrationOutcome::LeaseLost,
        RegistrationOutcome::Failed,
    ] {
        let start = Instant::now();
        let mut controller = registered(start);
        let now = start + RENEW_INTERVAL;
        let renew = controller.next_action(now);
        assert_eq!(renew, RegistrationAction::Renew(9));
        let change = controller.observe_era(6, 0.5, now);
        assert_eq!(change, EraChange::Restored { before: 5 });
        controller.finish(&renew, outcome, 0.5, now);
        assert!(!controller.is_registered());
        let spread = now + REGISTER_SPREAD / 2;
        assert_eq!(
            controller.next_action(now),
            RegistrationAction::Wait(spread)
        );
        assert_eq!(controller.next_action(spread), RegistrationAction::Grant);
    }
}

/// Guards against a new lease that is dropped because the answer which granted it was the first of the new era, and
/// against a record that counts as written although it is under a lease of the era before.
#[test]
fn lease_of_the_new_era_is_kept_and_a_write_under_the_old_one_repeated() {
    let start = Instant::now();
    let mut controller = registered(start);
    let lost = RegistrationAction::Renew(9);
    controller.finish(&lost, RegistrationOutcome::LeaseLost, 0.0, start);
    controller.observe_era(6, 0.0, start);
    controller.finish(
        &RegistrationAction::Grant,
        RegistrationOutcome::Granted(3),
        0.0,
        start,
    );
    let write = controller.next_action(start);
    assert_eq!(write, RegistrationAction::Write(endpoint(), 3));
    controller.observe_era(7, 0.0, start);
    controller.finish(&write, RegistrationOutcome::Written, 0.0, start);
    assert!(!controller.is_registered());
    assert_eq!(controller.next_action(start), RegistrationAction::Grant);
}

/// Guards against the revocation of a lease that belongs to another owner since a restore which the agent has not noticed
/// yet, and against other calls than before to a store without eras.
#[test]
fn key_is_removed_instead_of_the_lease_where_the_store_tells_its_era() {
    let now = Instant::now();
    let mut controller = registered(now);
    controller.set_target(None);
    let remove = controller.next_action(now);
    assert_eq!(remove, RegistrationAction::Remove(endpoint().id));
    controller.finish(&remove, RegistrationOutcome::Removed, 0.0, now);
    assert!(matches!(
        controller.next_action(now),
        RegistrationAction::Wait(_)
    ));
    // The copy may have the record again.
    let mut controller = registered(now);
    controller.set_target(None);
    controller.observe_era(6, 0.0, now);
    assert_eq!(controller.next_action(now), remove);
}

/// Guards against an agent that is away from the list for longer than entries keep it: the next renewal notices the
/// restore, and the spread and both calls follow within the grace.
#[test]
fn registration_is_complete_within_the_grace() {
    let start = Instant::now();
    let mut controller = registered(start);
    // The store is restored just after a renewal.
    let RegistrationAction::Wait(mut now) = controller.next_action(start + MS) else {
        panic!("a call before the renewal");
    };
    let renew = controller.next_action(now);
    controller.observe_era(6, 1.0, now);
    controller.finish(&renew, RegistrationOutcome::LeaseLost, 1.0, now);
    while !controller.is_registered() {
        match controller.next_action(now) {
            RegistrationAction::Wait(until) => now = until,
            action => {
                now += Duration::from_millis(250);
                let outcome = match action {
                    RegistrationAction::Grant => RegistrationOutcome::Granted(2),
                    _ => RegistrationOutcome::Written,
                };
                controller.finish(&action, outcome, 1.0, now);
            }
        }
    }
    assert!(now < start + RESTORE_GRACE, "{:?}", now - start);
}

/// Guards against many agents that write at the same moment after a restore: of the largest deployment's 136, not a third
/// may write within a quarter of a second.
#[test]
fn agents_spread_their_writes_after_a_restore() {
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Instant::now();
    let mut starts = Vec::new();
    for _ in 0..136 {
        let mut controller = registered(now);
        controller.observe_era(6, rng.random_range(0.0..1.0), now);
        match controller.next_action(now) {
            RegistrationAction::Wait(until) => starts.push((until - now).as_millis()),
            action => panic!("{action:?}"),
        }
    }
    for from in (0..1_000).step_by(50) {
        let within = |start: &&u128| (from..from + 250).contains(*start);
        let count = starts.iter().filter(within).count();
        assert!(count < 136 / 3, "{count} agents from {from} ms");
    }
}

/// Who holds a lease of the model's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Owner {
    Agent,
    /// Another agent, which renews its lease all the time.
    Other,
}

#[derive(Clone, Debug, Default)]
struct Content {
    leases: BTreeMap<LeaseId, (Owner, Duration)>,
    /// Lease of the endpoint's record.
    record: Option<LeaseId>,
}

/// What happens to a call of the agent.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// Executed at once; the answer is lost.
    AnswerLost,
    /// Executed after this time; the answer is lost.
    Late(Duration),
    /// Refused before it has an effect.
    Refused,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store returns to its content of this time ago.
    Restore(Duration),
    /// Another agent obtains a lease.
    OtherGrant,
    /// The upstream ends or starts.
    Toggle,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        2 => (0_u64..5_000).prop_map(|ms| Fate::Late(MS * u32::try_from(ms).unwrap_or(0))),
        1 => Just(Fate::Refused),
    ]
}

fn event() -> impl Strategy<Value = (Duration, Event)> {
    let event = prop_oneof![
        3 => (0_u32..9_000).prop_map(|ms| Event::Restore(MS * ms)),
        3 => Just(Event::OtherGrant),
        1 => Just(Event::Toggle),
    ];
    ((0_u32..20_000).prop_map(|ms| MS * ms), event)
}

/// A store with leases and one agent, in virtual time since the start.
struct LeaseModel {
    now: Duration,
    start: Instant,
    era: StoreEra,
    content: Content,
    copies: Vec<(Duration, Content)>,
    late: Vec<(Duration, RegistrationAction)>,
    agent: RegistrationController,
    is_wanted: bool,
}

impl LeaseModel {
    fn new() -> Self {
        let mut agent = RegistrationController::new();
        agent.set_target(Some(endpoint()));
        Self {
            now: Duration::ZERO,
            start: Instant::now(),
            era: 1,
            content: Content::default(),
            copies: vec![(Duration::ZERO, Content::default())],
            late: Vec::new(),
            agent,
            is_wanted: true,
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        for (owner, expires) in self.content.leases.values_mut() {
            if *owner == Owner::Other {
                *expires = now + LEASE_TTL;
            }
        }
        self.content.leases.retain(|_, (_, expires)| *expires > now);
        let lease = self.content.record;
        if lease.is_some_and(|lease| !self.content.leases.contains_key(&lease)) {
            self.content.record = None;
        }
    }

    fn grant(&mut self, owner: Owner) -> LeaseId {
        let id = self.content.leases.keys().max().map_or(1, |id| id + 1);
        let lease = (owner, self.now + LEASE_TTL);
        self.content.leases.insert(id, lease);
        id
    }

    fn execute(&mut self, action: &RegistrationAction) -> RegistrationOutcome {
        self.expire();
        let outcome = match action {
            RegistrationAction::Grant => RegistrationOutcome::Granted(self.grant(Owner::Agent)),
            RegistrationAction::Write(_, lease) if self.content.leases.contains_key(lease) => {
                self.content.record = Some(*lease);
                RegistrationOutcome::Written
            }
            RegistrationAction::Renew(lease) if self.content.leases.contains_key(lease) => {
                let expires = self.now + LEASE_TTL;
                if let Some(lease) = self.content.leases.get_mut(lease) {
                    lease.1 = expires;
                }
                RegistrationOutcome::Renewed
            }
            RegistrationAction::Remove(removed) => {
                assert_eq!(*removed, endpoint().id as EndpointId);
                self.content.record = None;
                RegistrationOutcome::Removed
            }
            RegistrationAction::Revoke(lease) => {
                let ended = self.content.leases.remove(lease);
                let owner = ended.map(|(owner, _)| owner);
                assert_ne!(owner, Some(Owner::Other), "lease {lease} is another's");
                self.expire();
                RegistrationOutcome::Revoked
            }
            _ => RegistrationOutcome::LeaseLost,
        };
        self.copies.push((self.now, self.content.clone()));
        outcome
    }

    /// Makes a call that the agent wants to make now, and returns whether there was one.
    fn call(&mut self, fate: Fate) -> bool {
        let action = self.agent.next_action(self.start + self.now);
        if let RegistrationAction::Wait(_) = action {
            return false;
        }
        let (outcome, shown) = match fate {
            Fate::Answered => (self.execute(&action), true),
            Fate::Refused => (RegistrationOutcome::Failed, false),
            Fate::AnswerLost => {
                self.execute(&action);
                self.pass(CALL_TIMEOUT);
                (RegistrationOutcome::Failed, false)
            }
            Fate::Late(delay) => {
                self.late.push((self.now + delay, action.clone()));
                self.pass(CALL_TIMEOUT);
                (RegistrationOutcome::Failed, false)
            }
        };
        let now = self.start + self.now;
        if shown {
            self.agent.observe_era(self.era, 0.5, now);
        }
        self.agent.finish(&action, outcome, 0.5, now);
        true
    }

    /// Lets time pass, and executes late calls when they are due.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS * 10;
            let (due, late) = std::mem::take(&mut self.late)
                .into_iter()
                .partition(|(at, _)| *at <= self.now);
            self.late = late;
            let due: Vec<(Duration, RegistrationAction)> = due;
            for (_, action) in due {
                self.execute(&action);
            }
            self.expire();
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Restore(age) => {
                let copied = self.now.saturating_sub(age);
                self.copies.retain(|(at, _)| *at <= copied);
                if let Some((_, content)) = self.copies.last() {
                    self.content = content.clone();
                }
                for (_, expires) in self.content.leases.values_mut() {
                    *expires = self.now + LEASE_TTL;
                }
                self.era += 1;
            }
            Event::OtherGrant => {
                self.grant(Owner::Other);
            }
            Event::Toggle => {
                self.is_wanted = !self.is_wanted;
                let target = self.is_wanted.then(endpoint);
                self.agent.set_target(target);
            }
        }
        self.copies.push((self.now, self.content.clone()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    /// Guards against an agent that revokes the lease of another owner, and against a record that is under a lease which is
    /// not the agent's, is missing, or is left for good: whatever restores, lost answers and late calls come, the list is
    /// right once they have ended.
    #[test]
    fn no_order_of_restores_and_late_calls_loses_the_record(
        mut events in prop::collection::vec(event(), 0..8),
        fates in prop::collection::vec(fate(), 60),
    ) {
        events.sort_by_key(|(at, _)| *at);
        let mut fates = fates.into_iter();
        let mut model = LeaseModel::new();
        // The era becomes known with the first answer.
        model.call(Fate::Answered);
        for (at, event) in events {
            while model.now < at {
                if !model.call(fates.next().unwrap_or(Fate::Answered)) {
                    model.pass(MS * 10);
                }
            }
            model.happen(event);
        }
        let quiet = model.now + Duration::from_secs(16);
        while model.now < quiet {
            if !model.call(Fate::Answered) {
                model.pass(MS * 10);
            }
        }
        for _ in 0..800 {
            model.expire();
            let lease = model.content.record.and_then(|lease| model.content.leases.get(&lease));
            let owner = lease.map(|(owner, _)| *owner);
            prop_assert_eq!(owner, model.is_wanted.then_some(Owner::Agent));
            if !model.call(Fate::Answered) {
                model.pass(MS * 10);
            }
        }
    }
}
