//! Tests of the order in which an agent delivers requests.

mod life;

use crate::support::*;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::schedule::{
    ReleaseCause, ReleasedRequests, RequestScheduler, ScheduleVerdict, HELD_BYTES_MAX,
    HELD_REQUESTS_MAX,
};
use quetzalhill_core::relay::terms::FlowTerms;
use std::time::{Duration, Instant};

const SLOTS: u32 = 2;
const PACKET_LEN: u32 = 1_200;

const STREAM: FlowTerms = terms(2, 250, 1_500);
const URGENT: FlowTerms = terms(0, 300, 1_500);

const fn terms(priority: u8, target_ms: u64, timeout_ms: u64) -> FlowTerms {
    FlowTerms {
        priority,
        target: Duration::from_millis(target_ms),
        timeout: Duration::from_millis(timeout_ms),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the data packet that begins at this number of packets into a flow.
fn data(number: u16, position: u32) -> PacketHead {
    PacketHead {
        sequence: position * PACKET_LEN,
        data_len: PACKET_LEN as usize,
        ..established(number)
    }
}

/// Returns the first data of an answer.
fn answer(number: u16) -> PacketHead {
    PacketHead {
        sequence: 77,
        data_len: 10,
        ..established(number)
    }
}

fn ending(number: u16, position: u32) -> PacketHead {
    PacketHead {
        sequence: position * PACKET_LEN,
        ..packet(number, PacketKind::Ending)
    }
}

/// A scheduler with its clock.
struct TestAgent {
    scheduler: RequestScheduler,
    now: Instant,
}

impl TestAgent {
    fn new() -> Self {
        Self {
            scheduler: RequestScheduler::default(),
            now: Instant::now(),
        }
    }

    /// Opens flows.
    fn open(&mut self, numbers: impl IntoIterator<Item = u16>) {
        for number in numbers {
            let accepting = packet(number, PacketKind::Accepting);
            self.scheduler.record_sent(&accepting, self.now);
        }
    }

    fn admit(&mut self, head: PacketHead, terms: FlowTerms) -> ScheduleVerdict {
        let bytes = vec![0; head.data_len];
        self.scheduler.admit(&head, &bytes, terms, SLOTS, self.now)
    }

    /// Passes the first packet of a request.
    fn request(&mut self, number: u16, terms: FlowTerms) -> ScheduleVerdict {
        self.admit(data(number, 0), terms)
    }

    /// Opens flows and fills all slots with a request on each.
    fn fill(&mut self) {
        self.open([901, 902]);
        assert_eq!(self.request(901, STREAM), ScheduleVerdict::Deliver);
        assert_eq!(self.request(902, STREAM), ScheduleVerdict::Deliver);
    }

    fn release(&mut self) -> ReleasedRequests {
        self.scheduler.release(SLOTS, self.now)
    }

    /// Answers the request on a flow, and returns the flows whose requests are delivered then.
    fn answer(&mut self, number: u16) -> Vec<u16> {
        self.scheduler.record_sent(&answer(number), self.now);
        flows(&self.release())
    }

    fn wait(&mut self, millis: u64) {
        self.now += ms(millis);
    }

    /// Lets a request on a flow of its own run for this time, so that the scheduler knows the service time.
    fn measure(&mut self, millis: u64) {
        self.open([900]);
        assert_eq!(self.request(900, STREAM), ScheduleVerdict::Deliver);
        self.wait(millis);
        assert!(self.answer(900).is_empty());
    }
}

fn flows(released: &ReleasedRequests) -> Vec<u16> {
    let requests = released.requests.iter();
    requests.map(|request| request.flow.caller.port()).collect()
}

/// Guards against more requests at the upstream than slots, which wait there in the order of arrival, and against a
/// free slot that is not used.
#[test]
fn request_beyond_the_slots_waits_for_an_answer() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1]);
    assert_eq!(agent.request(1, STREAM), ScheduleVerdict::Hold);
    assert!(agent.release().requests.is_empty());
    assert_eq!(agent.scheduler.held_requests(), 1);
    agent.wait(30);
    assert_eq!(agent.answer(901), [1]);
    assert_eq!(agent.scheduler.running_requests(agent.now), 2);
    assert_eq!(agent.scheduler.held_requests(), 0);
}

/// Guards against an order that does not follow priority and latest start, and against late requests that keep out
/// those which can still be answered in time.
#[test]
fn next_request_is_in_time_then_by_priority_then_by_latest_start() {
    let mut agent = TestAgent::new();
    agent.measure(30);
    agent.fill();
    agent.open(1..=6);
    agent.request(1, terms(1, 100, 1_500));
    agent.wait(200);
    agent.request(2, STREAM);
    agent.wait(1);
    agent.request(3, terms(2, 240, 1_500));
    agent.request(4, URGENT);
    agent.wait(1);
    agent.request(5, URGENT);
    agent.request(6, FlowTerms::default());
    // The fourth choice goes to the longest wait of those in time, which is next anyway.
    assert_eq!(agent.answer(901), [4]);
    assert_eq!(agent.answer(902), [5]);
    assert_eq!(agent.answer(4), [3]);
    assert_eq!(agent.answer(5), [2]);
    assert_eq!(agent.answer(3), [1]);
    assert_eq!(agent.answer(2), [6]);
}

/// Guards against a low priority that gets nothing while requests of a higher one arrive all the time.
#[test]
fn every_fourth_choice_goes_to_the_longest_wait() {
    let mut agent = TestAgent::new();
    agent.measure(10);
    agent.fill();
    agent.open(1..=20);
    agent.request(1, STREAM);
    for number in 2..=20 {
        agent.request(number, URGENT);
    }
    let mut order = Vec::new();
    let mut running = 901;
    for _ in 0..4 {
        agent.wait(10);
        let next = agent.answer(running);
        running = next[0];
        order.extend(next);
    }
    assert_eq!(order, [2, 3, 4, 1]);
}

/// Guards against requests without a timeout, for instance from an older entry, that wait for ever behind others.
#[test]
fn request_without_terms_does_not_starve() {
    let mut agent = TestAgent::new();
    agent.measure(10);
    agent.fill();
    agent.open(1..=200);
    agent.request(1, FlowTerms::default());
    let mut running = 901;
    for number in 2..=6 {
        agent.request(number, URGENT);
        agent.wait(10);
        running = match agent.answer(running)[0] {
            1 => return,
            next => next,
        };
    }
    panic!("the request without terms was not delivered");
}

/// Guards against a copy of a held packet that the upstream gets twice, and against retransmissions of delivered data
/// that take a slot.
#[test]
fn copies_are_dropped_or_passed_and_never_requests() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1]);
    assert_eq!(agent.request(1, STREAM), ScheduleVerdict::Hold);
    agent.wait(200);
    assert_eq!(agent.request(1, STREAM), ScheduleVerdict::DropCopy);
    assert_eq!(agent.request(901, STREAM), ScheduleVerdict::Deliver);
    let released = {
        agent.scheduler.record_sent(&answer(901), agent.now);
        agent.release()
    };
    assert_eq!(released.requests[0].packets.len(), 1);
    // The answer was lost, so that the caller sends its request again; the upstream only repeats the answer.
    assert_eq!(agent.request(901, STREAM), ScheduleVerdict::Deliver);
    assert_eq!(agent.scheduler.running_requests(agent.now), 2);
    // The next request on the flow counts again.
    assert_eq!(agent.admit(data(901, 1), STREAM), ScheduleVerdict::Hold);
}

/// Guards against the packets of a request that reach the upstream in another order than the caller sent them, or
/// before the held ones.
#[test]
fn packets_of_a_held_request_stay_together_and_in_order() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1]);
    for position in [1, 0, 2] {
        assert_eq!(
            agent.admit(data(1, position), STREAM),
            ScheduleVerdict::Hold
        );
    }
    assert_eq!(
        agent.admit(established(1), STREAM),
        ScheduleVerdict::Deliver
    );
    assert_eq!(agent.admit(ending(1, 3), STREAM), ScheduleVerdict::Hold);
    agent.scheduler.record_sent(&answer(901), agent.now);
    let released = agent.release();
    let sequences = released.requests[0]
        .packets
        .iter()
        .map(|packet| packet.head.sequence / PACKET_LEN);
    assert_eq!(sequences.collect::<Vec<_>>(), [0, 1, 2, 3]);
    // What follows a delivered request does not wait.
    assert_eq!(agent.admit(data(1, 3), STREAM), ScheduleVerdict::Deliver);
}

/// Guards against a request that is lost because the end of its flow overtakes it, and against a request that runs
/// although its caller has reset the flow.
#[test]
fn end_of_a_flow_waits_and_a_reset_removes() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1, 2]);
    agent.request(1, STREAM);
    agent.request(2, STREAM);
    assert_eq!(agent.admit(ending(1, 1), STREAM), ScheduleVerdict::Hold);
    assert_eq!(
        agent.admit(packet(2, PacketKind::Reset), STREAM),
        ScheduleVerdict::Deliver
    );
    assert_eq!(agent.scheduler.held_requests(), 1);
    agent.scheduler.record_sent(&answer(901), agent.now);
    let released = agent.release();
    assert_eq!(flows(&released), [1]);
    let kinds = released.requests[0].packets.iter();
    let kinds: Vec<_> = kinds.map(|packet| packet.head.kind).collect();
    assert_eq!(kinds, [PacketKind::Established, PacketKind::Ending]);
}

/// Guards against a search for the holder of a flow that waits for a slot, and against flows that stand still after a
/// restart of the agent.
#[test]
fn packets_of_an_unknown_flow_are_not_held() {
    let mut agent = TestAgent::new();
    agent.fill();
    assert_eq!(agent.request(1, STREAM), ScheduleVerdict::Deliver);
    assert_eq!(agent.scheduler.running_requests(agent.now), 3);
    // The upstream does not hold the flow and returns the packet.
    agent.scheduler.record_returned(flow(1));
    assert_eq!(agent.scheduler.running_requests(agent.now), 2);
    // It holds this one; its answer makes the flow known.
    assert_eq!(agent.request(2, STREAM), ScheduleVerdict::Deliver);
    agent.answer(2);
    assert_eq!(agent.admit(data(2, 1), STREAM), ScheduleVerdict::Hold);
}

/// Guards against slots that are lost for good when the upstream does not answer, and against a slot that is given away
/// while a request of the usual length runs.
#[test]
fn request_without_an_answer_counts_for_a_bounded_time() {
    let mut agent = TestAgent::new();
    agent.measure(40);
    agent.fill();
    agent.open([1, 2]);
    agent.request(1, STREAM);
    agent.request(2, STREAM);
    agent.wait(390);
    agent.scheduler.tick(agent.now);
    assert!(agent.release().requests.is_empty());
    agent.wait(20);
    agent.scheduler.tick(agent.now);
    assert_eq!(flows(&agent.release()).len(), 2);
    // The late answer of an expired request gives no second slot.
    assert!(agent.answer(901).is_empty());
    assert_eq!(agent.scheduler.running_requests(agent.now), 2);
}

/// Guards against a request that is dropped while its caller still waits, and against the end of its flow, which the
/// upstream needs to release the flow, being dropped with it.
#[test]
fn request_is_dropped_after_its_timeout() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1]);
    agent.request(1, STREAM);
    agent.wait(1_499);
    // Copies do not move the arrival.
    assert_eq!(agent.request(1, STREAM), ScheduleVerdict::DropCopy);
    agent.admit(ending(1, 1), STREAM);
    for running in [901, 902] {
        agent
            .scheduler
            .record_sent(&answer(running), agent.now - ms(400));
        agent.open([running + 10]);
        agent
            .scheduler
            .admit(&data(running + 10, 0), &[], STREAM, 9, agent.now);
    }
    assert!(agent.release().dropped.is_empty());
    agent.wait(1);
    let released = agent.release();
    assert!(released.requests.is_empty());
    assert_eq!(released.dropped[0].flow, flow(1));
    assert_eq!(released.dropped[0].waited, ms(1_500));
    let ending = released.dropped[0].ending.as_ref().expect("an ending");
    assert_eq!(ending.head.kind, PacketKind::Ending);
    assert_eq!(agent.scheduler.held_requests(), 0);
}

/// Guards against an agent that holds more than it has memory for; the upstream refuses what it cannot take.
#[test]
fn full_queue_passes_requests_through() {
    let mut agent = TestAgent::new();
    agent.fill();
    let most = u16::try_from(HELD_REQUESTS_MAX).expect("fits");
    agent.open(1..=most + 1);
    for number in 1..=most {
        assert_eq!(agent.request(number, STREAM), ScheduleVerdict::Hold);
    }
    assert_eq!(agent.request(most + 1, URGENT), ScheduleVerdict::Overflow);
    assert_eq!(agent.scheduler.running_requests(agent.now), 3);
}

/// Guards against a flow whose many packets fill the queue of all others for ever.
#[test]
fn request_with_too_many_bytes_is_released() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1, 2]);
    agent.request(2, STREAM);
    let most = u32::try_from(HELD_BYTES_MAX).expect("fits") / PACKET_LEN;
    for position in 0..most {
        agent.admit(data(1, position), STREAM);
        let released = agent.release();
        if let Some(request) = released.requests.first() {
            assert_eq!(
                (request.flow, request.cause),
                (flow(1), ReleaseCause::Overflow)
            );
            assert_eq!(agent.scheduler.held_requests(), 1);
            return;
        }
    }
    panic!("the packets were never released");
}

/// Guards against held packets of flows that a restarted upstream has lost: their callers would wait instead of
/// learning it, and their requests would keep the slots of the new incarnation.
#[test]
fn new_incarnation_releases_what_the_old_one_had() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1]);
    agent.request(1, STREAM);
    agent.wait(100);
    let restarted_at = agent.now;
    agent.open([2]);
    assert_eq!(agent.request(2, STREAM), ScheduleVerdict::Hold);
    agent.scheduler.forget_before(restarted_at);
    let released = agent.release();
    assert_eq!(flows(&released), [1, 2]);
    assert_eq!(released.requests[0].cause, ReleaseCause::FlowEnded);
    assert_eq!(released.requests[1].cause, ReleaseCause::Turn);
    assert_eq!(agent.scheduler.running_requests(agent.now), 1);
}

/// Guards against a held request that waits at an upstream that has ended or closed its flow.
#[test]
fn ended_upstream_or_flow_releases_held_requests() {
    let mut agent = TestAgent::new();
    agent.fill();
    agent.open([1, 2]);
    agent.request(1, STREAM);
    agent.request(2, STREAM);
    agent.scheduler.record_sent(&ending(1, 0), agent.now);
    assert_eq!(flows(&agent.release()), [1]);
    assert_eq!(agent.admit(data(1, 1), STREAM), ScheduleVerdict::Deliver);
    assert_eq!(agent.scheduler.running_requests(agent.now), 2);
    agent.scheduler.release_all();
    assert_eq!(flows(&agent.release()), [2]);
    assert_eq!(agent.scheduler.running_requests(agent.now), 0);
}

/// Guards against an answer that the upstream repeats being taken for that to the next request, whose slot would be
/// given away twice.
#[test]
fn repeated_answer_does_not_end_the_next_request() {
    let mut agent = TestAgent::new();
    agent.open([1]);
    agent.request(1, STREAM);
    agent.answer(1);
    let next = PacketHead {
        acknowledged: answer(1).end(),
        ..data(1, 1)
    };
    agent.admit(next, STREAM);
    assert_eq!(agent.scheduler.running_requests(agent.now), 1);
    agent.answer(1);
    assert_eq!(agent.scheduler.running_requests(agent.now), 1);
    let second = PacketHead {
        sequence: answer(1).end(),
        ..answer(1)
    };
    agent.scheduler.record_sent(&second, agent.now);
    assert_eq!(agent.scheduler.running_requests(agent.now), 0);
}

/// Guards against an agent that holds requests before it knows how many its upstream runs.
#[test]
fn nothing_is_held_while_the_slots_are_unknown() {
    let mut agent = TestAgent::new();
    agent.open(1..=9);
    for number in 1..=9 {
        let head = data(number, 0);
        let verdict = agent.scheduler.admit(&head, &[], STREAM, 0, agent.now);
        assert_eq!(verdict, ScheduleVerdict::Deliver);
    }
}

/// Guards against slots that stay taken by requests whose callers have left.
#[test]
fn abandoned_request_counts_for_its_service_time_only() {
    let mut agent = TestAgent::new();
    agent.measure(30);
    agent.fill();
    agent.admit(packet(901, PacketKind::Reset), STREAM);
    agent.admit(ending(902, 1), STREAM);
    agent.wait(59);
    assert_eq!(agent.scheduler.running_requests(agent.now), 2);
    agent.wait(2);
    assert_eq!(agent.scheduler.running_requests(agent.now), 0);
}
