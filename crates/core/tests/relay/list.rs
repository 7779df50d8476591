//! Tests of the list of endpoints when reads and changes of it arrive in another order than the store made them.

use crate::support::{id, FEED};
use quetzalhill_core::ids::StoreRevision;
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListChange, ListEffect, ListRead, ListRecord, ListedEndpoint,
    SILENT_AFTER,
};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::revisions::{RecordAge, RevisionLog};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longer than an endpoint that is not listed and does not report is kept.
const LAPSED: Duration = Duration::from_secs(3);

/// Longer than the removal of a record is kept.
const FORGOTTEN: Duration = Duration::from_secs(61);

/// Endpoints by their numbers, each with the incarnation in its record.
type Listing = BTreeMap<u8, u64>;

fn listed(number: u8, incarnation: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id(number),
        service: FEED.into(),
        zone: "a".into(),
        incarnation,
        slots: 4,
    }
}

fn written(revision: StoreRevision, number: u8, incarnation: u64) -> ListChange {
    ListChange {
        era: 0,
        revision,
        effect: ListEffect::Written(listed(number, incarnation)),
    }
}

fn removed(revision: StoreRevision, number: u8) -> ListChange {
    ListChange {
        era: 0,
        revision,
        effect: ListEffect::Removed(id(number)),
    }
}

/// Returns a read at `revision` of records, each with its revision, number and incarnation.
fn read(revision: StoreRevision, records: &[(StoreRevision, u8, u64)]) -> ListRead {
    let record = |(revision, number, incarnation): &(StoreRevision, u8, u64)| ListRecord {
        revision: *revision,
        endpoint: listed(*number, *incarnation),
    };
    ListRead {
        era: 0,
        revision,
        records: records.iter().map(record).collect(),
    }
}

/// Returns the endpoints that are listed at `now`, after the others have lapsed.
fn listing(fleet: &mut FleetController, now: Instant) -> Listing {
    fleet.tick(now + LAPSED);
    let mut listing = Listing::new();
    for service in fleet.services(now + LAPSED).values() {
        for endpoint in &service.endpoints {
            let found = (1..=20).find(|number| id(*number) == endpoint.id);
            listing.insert(found.expect("a number"), endpoint.incarnation);
        }
    }
    listing
}

fn fleet() -> FleetController {
    FleetController::new("a".into())
}

/// Guards against a read that is answered late and brings back an endpoint which was removed meanwhile; no event repeats
/// the removal.
#[test]
fn late_read_does_not_bring_back_a_removed_endpoint() {
    let now = Instant::now();
    let late = read(10, &[(5, 1, 50), (6, 2, 60)]);
    for lapsed in [false, true] {
        let mut fleet = fleet();
        fleet.replace_list(late.clone(), now);
        fleet.apply_change(removed(11, 1), now);
        if lapsed {
            assert_eq!(listing(&mut fleet, now), [(2, 60)].into());
        }
        fleet.replace_list(late.clone(), now + LAPSED);
        let expected = [(2, 60)].into();
        assert_eq!(
            listing(&mut fleet, now + LAPSED),
            expected,
            "lapsed {lapsed}"
        );
    }
}

/// Guards against a removal that is lost because it arrives before the entry has read the record that it removes.
#[test]
fn removal_of_an_unknown_endpoint_counts() {
    let now = Instant::now();
    let mut fleet = fleet();
    fleet.apply_change(removed(11, 1), now);
    fleet.replace_list(read(10, &[(5, 1, 50)]), now);
    assert_eq!(listing(&mut fleet, now), Listing::new());
    fleet.replace_list(read(12, &[(12, 1, 70)]), now);
    assert_eq!(listing(&mut fleet, now), [(1, 70)].into());
}

/// Guards against a read that is answered late and drops an endpoint which was added meanwhile, or restores an older
/// version of its record.
#[test]
fn late_read_does_not_undo_a_written_record() {
    let now = Instant::now();
    let mut fleet = fleet();
    fleet.replace_list(read(10, &[(5, 1, 50)]), now);
    fleet.apply_change(written(12, 2, 60), now);
    fleet.apply_change(written(13, 1, 70), now);
    fleet.replace_list(read(10, &[(5, 1, 50)]), now);
    assert_eq!(listing(&mut fleet, now), [(1, 70), (2, 60)].into());
}

/// Guards against two reads that are answered in another order than they were made: the later one has removed an
/// endpoint, added one and rewritten one.
#[test]
fn reads_count_in_the_order_of_their_revisions() {
    let now = Instant::now();
    let mut fleet = fleet();
    fleet.replace_list(read(20, &[(15, 2, 61), (18, 3, 70)]), now);
    fleet.replace_list(read(10, &[(5, 1, 50), (6, 2, 60)]), now);
    assert_eq!(listing(&mut fleet, now), [(2, 61), (3, 70)].into());
}

/// Guards against a current read that no longer replaces the list: endpoints that were removed unseen stay, added ones are
/// missing, or rewritten ones keep their old record.
#[test]
fn current_read_replaces_the_list() {
    let now = Instant::now();
    let mut fleet = fleet();
    fleet.replace_list(read(10, &[(5, 1, 50), (6, 2, 60)]), now);
    fleet.apply_change(written(12, 3, 70), now);
    fleet.replace_list(read(20, &[(15, 2, 61), (18, 4, 80)]), now);
    assert_eq!(listing(&mut fleet, now), [(2, 61), (4, 80)].into());
}

/// Guards against a late change that undoes what a read has shown: a record that was removed or rewritten before the
/// read.
#[test]
fn late_change_does_not_undo_a_read() {
    let now = Instant::now();
    let mut fleet = fleet();
    fleet.replace_list(read(10, &[(5, 1, 50)]), now);
    fleet.replace_list(read(20, &[(15, 2, 61)]), now);
    for change in [written(8, 1, 51), written(12, 2, 60), removed(14, 2)] {
        fleet.apply_change(change, now);
    }
    assert_eq!(listing(&mut fleet, now), [(2, 61)].into());
}

/// Guards against a read of several pages whose later pages are newer than its revision: their records are dropped, or
/// an endpoint that is known to be newer than the read is removed because an earlier page lacks it.
#[test]
fn page_may_be_newer_than_its_read() {
    let now = Instant::now();
    let mut fleet = fleet();
    fleet.apply_change(written(12, 1, 50), now);
    fleet.replace_list(read(10, &[(14, 9, 90)]), now);
    assert_eq!(listing(&mut fleet, now), [(1, 50), (9, 90)].into());
    fleet.apply_change(removed(13, 9), now);
    assert_eq!(listing(&mut fleet, now), [(1, 50), (9, 90)].into());
}

/// Guards against a read that is so late that the removal is no longer kept, and against an endpoint that is refused by a
/// current read because removals were forgotten.
#[test]
fn forgotten_removal_still_counts() {
    let mut now = Instant::now();
    let mut fleet = fleet();
    fleet.replace_list(read(10, &[(5, 1, 50), (6, 2, 60)]), now);
    fleet.apply_change(removed(20, 1), now);
    now += FORGOTTEN;
    fleet.tick(now);
    fleet.replace_list(read(10, &[(5, 1, 50), (6, 2, 60)]), now);
    fleet.apply_change(written(4, 1, 40), now);
    assert_eq!(listing(&mut fleet, now), [(2, 60)].into());
    fleet.replace_list(read(20, &[(6, 2, 60), (7, 3, 70)]), now);
    assert_eq!(listing(&mut fleet, now), [(2, 60), (3, 70)].into());
}

/// Guards against removals that take ever more memory, and against the return of an endpoint whose removal was dropped
/// for the limit.
#[test]
fn removals_are_bounded() {
    let now = Instant::now();
    let mut log = RevisionLog::default();
    for revision in 1..=10_000 {
        let id = u64::try_from(revision).expect("positive");
        log.record_removed(id, revision, now);
    }
    assert!(log.removals() <= 4_096, "{} removals", log.removals());
    assert_eq!(log.compare(1, 1, 500), RecordAge::Older);
    assert_eq!(log.compare(20_000, 1, 10_000), RecordAge::Newer);
    log.tick(now + FORGOTTEN);
    assert_eq!(log.removals(), 0);
    assert_eq!(log.compare(9_999, 9_998, 9_998), RecordAge::Older);
}

/// Guards against an account that was set aside for a current report and is never applied after the report has expired,
/// although each read repeats it.
#[test]
fn account_set_aside_for_a_report_is_applied_later() {
    let now = Instant::now();
    let mut fleet = fleet();
    let report = EndpointReport {
        endpoint: listed(1, 50),
        order: (1, 1),
        state: UpstreamState::Ready,
        stopping: false,
        load: LoadCounts::default(),
        addresses: Default::default(),
        coverage: FlowCoverage::Complete,
        cold_until: None,
        digest: None,
        keepalive_sent: None,
        pace: None,
        expires: now + SILENT_AFTER,
    };
    fleet.report(report, now);
    fleet.apply_change(written(12, 1, 60), now);
    assert_eq!(listing(&mut fleet, now), [(1, 50)].into());
    fleet.replace_list(read(13, &[(12, 1, 60)]), now + LAPSED);
    assert_eq!(listing(&mut fleet, now + LAPSED), [(1, 60)].into());
}

/// Something that an entry learns of the list.
#[derive(Clone, Debug)]
enum Account {
    Change(ListChange),
    Read(ListRead),
}

/// Returns the revision up to which the account tells of an endpoint: that of its record, or that of the read that lacks
/// it; 0 if the account is a change of another endpoint. The incarnation of a drawn record is its revision.
fn account_revision(account: &Account, number: u8) -> StoreRevision {
    match account {
        Account::Change(change) => match &change.effect {
            ListEffect::Written(endpoint) if endpoint.id == id(number) => change.revision,
            ListEffect::Removed(removed) if *removed == id(number) => change.revision,
            _ => 0,
        },
        Account::Read(read) => {
            let mut records = read.records.iter();
            let record = records.find(|record| record.endpoint.id == id(number));
            record.map_or(read.revision, |record| record.revision)
        }
    }
}

/// Returns the changes of a drawn history of the store, each followed by a read of the list after it.
fn draw_history(rng: &mut SmallRng) -> Vec<Account> {
    let mut records: BTreeMap<u8, (StoreRevision, u64)> = BTreeMap::new();
    let mut history = Vec::new();
    for revision in 1..=60 {
        let number = rng.random_range(1..=6);
        let incarnation = u64::try_from(revision).expect("positive");
        let change = match records.contains_key(&number) && rng.random_bool(0.5) {
            true => {
                records.remove(&number);
                removed(revision, number)
            }
            false => {
                records.insert(number, (revision, incarnation));
                written(revision, number, incarnation)
            }
        };
        history.push(Account::Change(change));
        let rows = records.iter();
        let rows: Vec<_> = rows
            .map(|(number, (revision, incarnation))| (*revision, *number, *incarnation))
            .collect();
        history.push(Account::Read(read(revision, &rows)));
    }
    history
}

/// Guards against any order of changes and reads, some of which are lost or repeated, in which an endpoint goes back to an
/// older version of its record or returns after a removal that the entry knew, and against an entry that still differs
/// from the store after a current read.
#[test]
fn no_order_of_accounts_goes_back() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let history = draw_history(&mut rng);
        let last = history.last().expect("a read").clone();
        let mut accounts = history.clone();
        accounts.extend(history);
        accounts.shuffle(&mut rng);
        accounts.truncate(100);
        accounts.push(last.clone());
        let (mut fleet, mut now) = (fleet(), Instant::now());
        // Revision of the newest account of each endpoint that the entry has received.
        let mut newest: BTreeMap<u8, StoreRevision> = BTreeMap::new();
        for account in accounts {
            let before = listing(&mut fleet, now);
            now += LAPSED;
            for number in 1..=6 {
                let revision = newest.entry(number).or_default();
                *revision = account_revision(&account, number).max(*revision);
            }
            match account {
                Account::Change(change) => fleet.apply_change(change, now),
                Account::Read(read) => fleet.replace_list(read, now),
            }
            for (number, incarnation) in listing(&mut fleet, now) {
                let newest = u64::try_from(newest[&number]).expect("positive");
                let old = before.get(&number).copied().unwrap_or_default();
                assert!(
                    incarnation >= newest.max(old),
                    "seed {seed}: endpoint {number} has {incarnation} after {newest} and {old}"
                );
            }
        }
        let Account::Read(last) = last else {
            panic!("the history ends with a read");
        };
        let rows = last.records.iter();
        let expected: Vec<u64> = rows.map(|record| record.endpoint.incarnation).collect();
        let found: Vec<u64> = listing(&mut fleet, now).into_values().collect();
        assert_eq!(found, expected, "seed {seed}");
    }
}
