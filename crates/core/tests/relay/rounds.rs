//! Tests of a search for the holder of a flow that waits for a lost endpoint, while the caller acknowledges what was under
//! way, is served slowly, or repeats itself.

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayDrop, RelayVerdict, RoundVerdict};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::rounds::RoundQueue;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Time within which a packet of a flow has to reach its own upstream (`flowMs` of the first users).
const FLOW_LIMIT: Duration = Duration::from_millis(2_000);

/// Pauses of a peer before its retransmissions: 200 ms, doubling up to 1.6 s.
const RETRANSMISSIONS_MS: [u64; 4] = [200, 600, 1_400, 3_000];

/// Bytes of data in a packet of a download.
const PACKET_BYTES: u32 = 1_200;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An entry with the endpoints that answer its queries.
struct TestEntry {
    chain: RelayChain,
    view: RelayView,
    holder: Option<EndpointKey>,
    /// Endpoints that neither return packets nor hold the flow, as after a loss of power.
    lost: Vec<EndpointKey>,
}

impl TestEntry {
    /// Makes an entry with two endpoints in its zone and `far` in another one; it has not seen the flow before.
    fn new(far: u8, start: Instant) -> Self {
        let mut view = view();
        let mut feed = service(1..=2 + far);
        for endpoint in &mut feed.endpoints[2..] {
            endpoint.same_zone = false;
        }
        view.services.insert(FEED.into(), feed);
        Self {
            chain: RelayChain::new(start),
            view,
            holder: None,
            lost: Vec::new(),
        }
    }

    /// Sends a packet of the caller through the entry, which has read all answers, and returns whether the holder got it.
    fn send(&mut self, head: &PacketHead, now: Instant) -> bool {
        self.chain.record_answers_read(now);
        let verdict = self.chain.decide(head, &self.view, now);
        self.execute(head, verdict, now)
    }

    /// Lets the search for a flow go on without a packet of the caller, and returns whether the holder got the packet.
    fn check_round(&mut self, head: &PacketHead, now: Instant) -> bool {
        self.chain.record_answers_read(now);
        match self.chain.check_round(head, &self.view, now) {
            RoundVerdict::Next(verdict) => self.execute(head, verdict, now),
            RoundVerdict::Open | RoundVerdict::Over => false,
        }
    }

    /// Sends a packet to the endpoints of a verdict, which return it or not, until it goes no further.
    fn execute(&mut self, head: &PacketHead, verdict: RelayVerdict, now: Instant) -> bool {
        let mut reached = false;
        let mut verdicts = vec![verdict];
        while let Some(verdict) = verdicts.pop() {
            let RelayVerdict::Deliver { targets, .. } = verdict else {
                continue;
            };
            for target in targets {
                let key = target.endpoint;
                if Some(key) == self.holder {
                    reached = true;
                    continue;
                }
                if self.lost.contains(&key) {
                    continue;
                }
                let reason = ReturnReason::NotHeld;
                let returned = self
                    .chain
                    .decide_returned(head, key, reason, &self.view, now);
                if returned != RelayVerdict::Drop(RelayDrop::Duplicate) {
                    verdicts.push(returned);
                }
            }
        }
        reached
    }

    /// Returns an endpoint of the first round of a search for the flow.
    fn first_queried(&self, head: &PacketHead, now: Instant) -> EndpointKey {
        let mut chain = RelayChain::new(now);
        match chain.decide(head, &self.view, now) {
            RelayVerdict::Deliver { targets, .. } => targets[0].endpoint,
            other => panic!("not queried: {other:?}"),
        }
    }

    fn set_status(&mut self, key: EndpointKey, status: EndpointStatus) {
        let feed = self.view.services.get_mut(FEED).expect("feed");
        for endpoint in &mut feed.endpoints {
            if endpoint.id == key.id {
                endpoint.status = status;
            }
        }
    }
}

fn acknowledgement(number: u16, received: u32) -> PacketHead {
    PacketHead {
        acknowledged: received,
        ..established(number)
    }
}

fn request(number: u16, sequence: u32, received: u32) -> PacketHead {
    PacketHead {
        sequence,
        acknowledged: received,
        data_len: 100,
        ..established(number)
    }
}

/// Guards against a download that waits for a lost endpoint, because acknowledgements that were under way when its flow
/// moved to the entry look like those of a caller that is served (review/8).
#[parameterized(
    none = { 0 },
    one = { 1 },
    half_a_window = { 4 },
    whole_window = { 8 },
)]
fn search_goes_on_after_acknowledgements_that_were_under_way(under_way: u32) {
    for number in 0..50 {
        let start = Instant::now();
        let mut entry = TestEntry::new(3, start);
        let lost = entry.first_queried(&established(number), start);
        entry.lost.push(lost);
        entry.holder = Some(key(4));
        let mut reached_after = None;
        let mut received = 77;
        for index in 0..=under_way {
            // The caller acknowledges every second packet.
            received += 2 * PACKET_BYTES * u32::from(index > 0);
            let now = start + ms(u64::from(index));
            assert!(!entry.send(&acknowledgement(number, received), now));
        }
        // The upstream retransmits, and the caller acknowledges again what it has.
        for pause in RETRANSMISSIONS_MS {
            let now = start + ms(u64::from(under_way) + pause);
            if entry.send(&acknowledgement(number, received), now) {
                reached_after = Some(now - start);
                break;
            }
        }
        let reached = reached_after.is_some_and(|time| time < FLOW_LIMIT);
        assert!(reached, "flow {number}: {reached_after:?}");
        assert!(entry.chain.take_unanswered().contains(&lost.id));
    }
}

/// Guards against a download that waits for a lost endpoint, because what its upstream sends again fills a gap and so looks
/// like an answer: the caller acknowledges a little more, and all its packets arrive within a moment (review/8).
#[parameterized(
    first_gap = { 200 },
    after_earlier_losses = { 1_200 },
)]
fn search_goes_on_after_a_gap_was_filled(pause: u64) {
    let start = Instant::now();
    let mut entry = TestEntry::new(3, start);
    let lost = entry.first_queried(&established(4), start);
    entry.lost.push(lost);
    entry.holder = Some(key(4));
    for index in 0..4 {
        let head = acknowledgement(4, 77 + 2 * PACKET_BYTES * index);
        assert!(!entry.send(&head, start));
    }
    let mut reached = false;
    for index in 0..8 {
        let head = acknowledgement(4, 77 + PACKET_BYTES * (7 + 2 * u32::from(index > 3)));
        reached |= entry.send(&head, start + ms(pause));
    }
    assert!(reached);
}

/// Guards against a flow that reaches its upstream too late because its caller sends nothing more for seconds: the search
/// has to go on with the packets that the entry has (review/8). The number of such rounds is bounded, since an agent that
/// has just started cannot claim the flows of its upstream.
#[test]
fn search_goes_on_without_a_further_packet_for_some_rounds() {
    let start = Instant::now();
    let mut entry = TestEntry::new(60, start);
    let head = established(8);
    entry.lost.push(entry.first_queried(&head, start));
    assert!(!entry.send(&head, start));
    // Packets under way look like progress.
    for index in 1..8 {
        let packet = acknowledgement(8, 77 + 2 * PACKET_BYTES * index);
        assert!(!entry.send(&packet, start + ms(1)));
    }
    entry.chain.record_answers_read(start + ms(140));
    assert_eq!(
        entry.chain.check_round(&head, &entry.view, start + ms(140)),
        RoundVerdict::Open
    );
    let ruled_out = |entry: &TestEntry| entry.chain.ruled_out(flow(8)).len();
    let counts = [150, 300, 450, 600].map(|pause| {
        entry.check_round(&head, start + ms(pause));
        ruled_out(&entry)
    });
    // One endpoint of the first round, three of other zones, 16 further ones.
    assert_eq!(counts, [4, 20, 20, 20]);
    // The caller's next packet takes up the search.
    assert!(!entry.send(
        &acknowledgement(8, 77 + 14 * PACKET_BYTES),
        start + ms(1_400)
    ));
    assert_eq!(ruled_out(&entry), 36);
    entry.check_round(&head, start + ms(1_550));
    assert_eq!(ruled_out(&entry), 52);
}

/// Guards against a claim that ends the search for another flow, or that brings back an endpoint which has returned the flow.
#[test]
fn claims_of_other_endpoints_and_flows_are_ignored() {
    let start = Instant::now();
    let mut entry = TestEntry::new(3, start);
    let head = established(9);
    let lost = entry.first_queried(&head, start);
    entry.lost.push(lost);
    assert!(!entry.send(&head, start));
    let returned = entry.chain.ruled_out(flow(9))[0];
    let other = EndpointKey {
        incarnation: INCARNATION + 1,
        ..lost
    };
    entry.chain.record_claim(flow(9), returned);
    entry.chain.record_claim(flow(9), other);
    entry.chain.record_claim(flow(10), lost);
    assert_eq!(entry.chain.flows(), 1);
    entry.holder = Some(key(4));
    assert!(entry.check_round(&head, start + ms(150)));
    // The agent does not know the incarnation of its upstream yet.
    let claimant = EndpointKey {
        incarnation: 0,
        ..key(4)
    };
    entry.chain.record_claim(flow(9), claimant);
    let next = entry.chain.decide(&head, &entry.view, start + ms(1_000));
    assert_eq!(delivered(&next), key(4));
}

/// Guards against a flow that stays with an endpoint which has claimed it and does not hold it any more.
#[test]
fn search_begins_again_when_the_claimant_returns_a_packet() {
    let start = Instant::now();
    let mut entry = TestEntry::new(3, start);
    let head = established(11);
    let first = entry.first_queried(&head, start);
    entry.holder = Some(first);
    assert!(entry.send(&head, start));
    entry.chain.record_claim(flow(11), first);
    entry.holder = Some(key(5));
    assert!(entry.send(&head, start + ms(10)));
}

/// Guards against queries of further endpoints, and doubts of those that have answered, while their answers wait unread at
/// an overloaded entry, which such queries would keep overloaded (rundsponsor-dk-grown, scale-1, seed 395340081050).
#[test]
fn search_does_not_go_on_while_answers_may_be_unread() {
    let start = Instant::now();
    let mut entry = TestEntry::new(60, start);
    let head = established(12);
    let lost = entry.first_queried(&head, start);
    entry.lost.push(lost);
    assert!(!entry.send(&head, start));
    // The answers that had arrived by the end of the round are read only 800 ms later.
    for pause in [149, 150, 400, 950] {
        let now = start + ms(pause);
        entry.chain.record_answers_read(start + ms(149));
        assert_eq!(
            entry.chain.check_round(&head, &entry.view, now),
            RoundVerdict::Open
        );
        assert!(entry.chain.take_unanswered().is_empty());
    }
    entry.chain.record_answers_read(start + ms(150));
    let next = entry.chain.check_round(&head, &entry.view, start + ms(950));
    assert!(matches!(next, RoundVerdict::Next(_)), "{next:?}");
    assert!(entry.chain.take_unanswered().contains(&lost.id));
}

/// Guards against a search that waits for the barriers of an overloaded entry, which may be lost as answers are: a caller that
/// repeats itself is not served, and its packet begins the next round.
#[test]
fn search_goes_on_with_the_callers_packets_while_answers_are_unread() {
    let start = Instant::now();
    let mut entry = TestEntry::new(3, start);
    let head = established(13);
    entry.lost.push(entry.first_queried(&head, start));
    entry.holder = Some(key(4));
    assert!(!entry.send(&head, start));
    assert!(!entry.send(&head, start + ms(100)));
    assert!(entry.send(&head, start + ms(200)));
}

/// Guards against a search that a late barrier delays: one that was sent earlier says nothing new.
#[test]
fn earlier_barrier_does_not_make_answers_unread() {
    let start = Instant::now();
    let mut chain = RelayChain::new(start);
    chain.record_answers_read(start + ms(20));
    chain.record_answers_read(start + ms(10));
    assert_eq!(chain.answers_read(), start + ms(20));
}

/// Guards against a barrier for each packet of an overloaded entry, and against a search that waits for a lost barrier.
#[test]
fn barriers_follow_each_other_at_intervals() {
    let start = Instant::now();
    let mut queue = RoundQueue::default();
    queue.push(&[1], start);
    assert!(!queue.is_due(start + ms(149)));
    assert!(queue.is_due(start + ms(150)));
    let mut sent = 0;
    for millis in 0..100 {
        sent += u32::from(queue.take_barrier(start + ms(150 + millis)));
    }
    assert_eq!(sent, 20);
}

/// Guards against packets that are kept for good, or that take the memory of a small instance when all flows move.
#[test]
fn round_queue_is_bounded_and_in_order() {
    let start = Instant::now();
    let mut queue = RoundQueue::default();
    for index in 0..1_000_u64 {
        queue.push(&index.to_be_bytes(), start + ms(index));
    }
    assert_eq!(queue.pop_due(start + ms(149)), None);
    for index in 0..512_u64 {
        let due = queue.pop_due(start + ms(150 + index));
        assert_eq!(due.as_deref(), Some(&index.to_be_bytes()[..]));
        assert_eq!(queue.pop_due(start + ms(150 + index)), None);
    }
    assert_eq!(queue.pop_due(start + ms(10_000)), None);
}

/// Guards against a flow that never reaches its upstream because something else than an answer made its caller look
/// served: new data of the caller, and bytes of a window that arrives in pieces.
#[test]
fn search_goes_on_however_the_caller_looked_before() {
    let start = Instant::now();
    let mut entry = TestEntry::new(3, start);
    let lost = entry.first_queried(&established(5), start);
    entry.lost.push(lost);
    entry.holder = Some(key(4));
    // A caller that sends and receives at the same time.
    let mut now = start;
    for step in 0..8 {
        now = start + ms(100 * u64::from(step));
        let head = request(5, step * 100, 77 + step * PACKET_BYTES);
        assert!(!entry.send(&head, now));
    }
    let last = request(5, 700, 77 + 7 * PACKET_BYTES);
    let mut pauses = RETRANSMISSIONS_MS.iter();
    let reached = pauses.find(|pause| entry.send(&last, now + ms(**pause)));
    assert!(reached.is_some_and(|pause| ms(*pause) < FLOW_LIMIT));
}

/// Guards against copies to ever more endpoints for a flow that is served, because one endpoint of its search is lost: the
/// caller pauses between requests, and the upstream is slow at times.
#[test]
fn served_flow_is_not_searched_for_again() {
    let start = Instant::now();
    for number in 0..50 {
        let mut entry = TestEntry::new(9, start);
        let first = entry.first_queried(&established(number), start);
        let others = (1..=2).map(key).find(|near| *near != first);
        entry.holder = others;
        entry.lost.push(first);
        let mut now = start;
        let (mut sent, mut received) = (0, 77);
        for round in 0..20_u64 {
            let head = request(number, sent, received);
            assert!(entry.send(&head, now));
            // Every third response takes longer than the caller's first two retransmissions.
            let is_slow = round % 3 == 2;
            for pause in &RETRANSMISSIONS_MS[..if is_slow { 2 } else { 0 }] {
                assert!(entry.send(&head, now + ms(*pause)));
            }
            now += ms(if is_slow { 700 } else { 30 });
            sent += 100;
            received += 2_000;
            assert!(entry.send(
                &PacketHead {
                    sequence: sent,
                    ..acknowledgement(number, received)
                },
                now
            ));
            now += ms(400);
        }
        // The caller ends the flow after a pause.
        let ending = PacketHead {
            kind: PacketKind::Ending,
            sequence: sent,
            ..acknowledgement(number, received)
        };
        assert!(entry.send(&ending, now + ms(500)));
        // All copies went to the lost endpoint, with packets that the holder got too.
        let queried = entry.chain.ruled_out(flow(number));
        assert!(queried.is_empty(), "flow {number}: {queried:?}");
    }
}

/// Guards against a search that waits, round after round, for endpoints that are known to be silent: after the loss of a
/// zone most endpoints are.
#[test]
fn silent_endpoints_do_not_hold_up_the_rounds() {
    let start = Instant::now();
    let mut entry = TestEntry::new(60, start);
    let lost = entry.first_queried(&established(6), start);
    entry.lost.push(lost);
    let feed = &entry.view.services[FEED];
    let last = feed.endpoints.last().expect("an endpoint").key();
    entry.holder = Some(last);
    assert!(!entry.send(&established(6), start));
    entry.set_status(lost, EndpointStatus::Silent);
    assert!(entry.send(&established(6), start + ms(200)));
    // The endpoint was known to be silent, so that nothing is learned from its missing answer.
    assert!(entry.chain.take_unanswered().is_empty());
}

/// Guards against a flow that waits for a lost endpoint although its own has been listed since the search began.
#[test]
fn endpoint_that_is_listed_later_is_queried() {
    let start = Instant::now();
    let mut entry = TestEntry::new(3, start);
    let feed = entry.view.services.get_mut(FEED).expect("feed");
    let holder = feed.endpoints.pop().expect("an endpoint");
    let lost = entry.first_queried(&established(7), start);
    entry.lost.push(lost);
    entry.holder = Some(holder.key());
    for pause in [0, 200, 600] {
        assert!(!entry.send(&established(7), start + ms(pause)));
    }
    let feed = entry.view.services.get_mut(FEED).expect("feed");
    feed.endpoints.push(holder);
    assert!(entry.send(&established(7), start + ms(1_400)));
}
