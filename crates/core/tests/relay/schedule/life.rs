//! Property tests of the scheduler: any order of events in the life of an agent.

use super::*;
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};

const FLOWS: u16 = 8;

/// Time for which a request without an answer counts at least.
const HANG_MIN: Duration = Duration::from_millis(300);

/// An event in the life of an agent.
#[derive(Clone, Copy, Debug)]
enum TestEvent {
    /// A caller sends a packet of its current request, or sends it again.
    Data {
        flow: u16,
        packet: u32,
        urgent: bool,
    },
    /// The upstream answers; the caller's next request follows.
    Answer {
        flow: u16,
    },
    Ending {
        flow: u16,
    },
    Reset {
        flow: u16,
    },
    Wait {
        millis: u64,
    },
    /// The upstream restarts, and callers open their flows again.
    Restart,
}

fn event() -> impl Strategy<Value = TestEvent> {
    let flow = 1..=FLOWS;
    prop_oneof![
        80 => (flow.clone(), 0..3_u32, any::<bool>())
            .prop_map(|(flow, packet, urgent)| TestEvent::Data { flow, packet, urgent }),
        50 => flow.clone().prop_map(|flow| TestEvent::Answer { flow }),
        10 => flow.clone().prop_map(|flow| TestEvent::Ending { flow }),
        5 => flow.prop_map(|flow| TestEvent::Reset { flow }),
        30 => (1..120_u64).prop_map(|millis| TestEvent::Wait { millis }),
        1 => Just(TestEvent::Restart),
    ]
}

/// Life of an agent, with what callers and upstream have seen. Each packet has a number in its bytes.
struct TestLife {
    scheduler: RequestScheduler,
    now: Instant,
    packets: u32,
    /// Number of answers on each flow; each request has sequence numbers of its own.
    answers: HashMap<u16, u32>,
    held: HashMap<u32, (PacketHead, Instant)>,
    delivered: HashSet<u32>,
    /// Sequence number after the data that the upstream got on each flow.
    ends: HashMap<u16, u32>,
    /// Requests at the upstream by flow, with the time of their delivery.
    running: HashMap<u16, Instant>,
    /// Flows that their callers have ended; they send no more data.
    ended: HashSet<u16>,
}

impl TestLife {
    fn new() -> Self {
        let mut life = Self {
            scheduler: RequestScheduler::default(),
            now: Instant::now(),
            packets: 0,
            answers: HashMap::new(),
            held: HashMap::new(),
            delivered: HashSet::new(),
            ends: HashMap::new(),
            running: HashMap::new(),
            ended: HashSet::new(),
        };
        life.open_all();
        life
    }

    fn open_all(&mut self) {
        self.ended.clear();
        for number in 1..=FLOWS {
            let accepting = packet(number, PacketKind::Accepting);
            self.scheduler.record_sent(&accepting, self.now);
        }
    }

    fn holds(&self, number: u16, accept: impl Fn(&PacketHead) -> bool) -> bool {
        let mut held = self.held.values();
        held.any(|(head, _)| head.flow == flow(number) && accept(head))
    }

    /// Records that the upstream got a packet.
    fn deliver(&mut self, id: u32, head: &PacketHead) {
        assert!(self.delivered.insert(id), "packet {id} was delivered twice");
        if head.data_len == 0 {
            return;
        }
        let number = head.flow.caller.port();
        let end = self.ends.entry(number).or_default();
        *end = head.end().max(*end);
        self.running.entry(number).or_insert(self.now);
    }

    fn admit(&mut self, head: PacketHead, terms: FlowTerms) {
        self.packets += 1;
        let id = self.packets;
        let number = head.flow.caller.port();
        let verdict = self
            .scheduler
            .admit(&head, &id.to_be_bytes(), terms, SLOTS, self.now);
        match verdict {
            ScheduleVerdict::Deliver => {
                let end = self.ends.get(&number).copied().unwrap_or_default();
                let overtakes = self.holds(number, |held| held.sequence < head.end());
                let reset = head.kind == PacketKind::Reset;
                assert!(reset || !overtakes || head.end() <= end, "{head:?}");
                self.deliver(id, &head);
            }
            ScheduleVerdict::Hold => {
                self.held.insert(id, (head, self.now));
            }
            ScheduleVerdict::DropCopy => assert!(self.holds(number, |held| *held == head)),
            ScheduleVerdict::Overflow => panic!("the queue has room"),
        }
    }

    fn release(&mut self) {
        let released = self.scheduler.release(SLOTS, self.now);
        for request in released.requests {
            let sequences = request.packets.iter().map(|held| held.head.sequence);
            assert!(sequences.is_sorted(), "{:?}", request.packets);
            for held in request.packets {
                let id = u32::from_be_bytes(held.bytes.as_ref().try_into().expect("four bytes"));
                assert!(self.held.remove(&id).is_some(), "packet {id} was not held");
                self.deliver(id, &held.head);
            }
            if request.cause == ReleaseCause::FlowEnded {
                self.running.remove(&request.flow.caller.port());
            }
            assert!(!self.holds(request.flow.caller.port(), |_| true));
        }
        for request in released.dropped {
            assert!(request.waited >= STREAM.timeout);
            self.held.retain(|_, (head, _)| head.flow != request.flow);
        }
        let counted = self.running.values();
        let counted = counted.filter(|started| self.now < **started + HANG_MIN);
        assert!(counted.count() <= SLOTS as usize, "{:?}", self.running);
        let requests: HashSet<_> = self.held.values().map(|(head, _)| head.flow).collect();
        assert_eq!(self.scheduler.held_requests(), requests.len());
    }

    fn apply(&mut self, event: TestEvent) {
        match event {
            TestEvent::Data {
                flow,
                packet,
                urgent,
            } => {
                if self.ended.contains(&flow) {
                    return;
                }
                let request = self.answers.get(&flow).copied().unwrap_or_default();
                let head = PacketHead {
                    acknowledged: 77 + 10 * request,
                    ..data(flow, 3 * request + packet)
                };
                let terms = match urgent {
                    true => URGENT,
                    false => STREAM,
                };
                self.admit(head, terms);
            }
            TestEvent::Answer { flow } => {
                if self.running.remove(&flow).is_some() {
                    let request = self.answers.entry(flow).or_default();
                    let head = PacketHead {
                        sequence: 77 + 10 * *request,
                        ..answer(flow)
                    };
                    *request += 1;
                    self.scheduler.record_sent(&head, self.now);
                }
            }
            TestEvent::Ending { flow } => {
                self.ended.insert(flow);
                let request = self.answers.get(&flow).copied().unwrap_or_default();
                self.admit(ending(flow, 3 * request + 3), STREAM);
                // The upstream may not answer on a flow that its caller has ended.
                if !self.holds(flow, |_| true) {
                    self.running.remove(&flow);
                }
            }
            TestEvent::Reset { flow } => {
                self.admit(packet(flow, PacketKind::Reset), STREAM);
                let number = flow;
                self.held
                    .retain(|_, (head, _)| head.flow.caller.port() != number);
                self.running.remove(&flow);
                self.ended.remove(&flow);
                let accepting = packet(flow, PacketKind::Accepting);
                self.scheduler.record_sent(&accepting, self.now);
            }
            TestEvent::Wait { millis } => {
                self.now += ms(millis);
                self.scheduler.tick(self.now);
            }
            TestEvent::Restart => {
                self.now += ms(1);
                self.running.clear();
                self.scheduler.forget_before(self.now);
                self.release();
                assert!(self.held.is_empty(), "{:?}", self.held);
                self.open_all();
            }
        }
        self.release();
    }
}

proptest! {
    /// Guards against packets that are delivered twice, out of order or before held ones of their flow, against
    /// requests that are lost other than by their timeout or a reset, and against more running requests than slots.
    #[test]
    fn every_packet_is_delivered_once_in_order(events in prop::collection::vec(event(), 1..400)) {
        let mut life = TestLife::new();
        for event in events {
            life.apply(event);
        }
        // All that is still held leaves the queue as the upstream answers, long before the timeouts.
        for _ in 0..3 {
            for flow in 1..=FLOWS {
                life.apply(TestEvent::Answer { flow });
            }
            life.apply(TestEvent::Wait { millis: 400 });
        }
        prop_assert!(life.held.is_empty(), "{:?}", life.held);
    }

    /// Guards against a request that waits for ever: whatever else arrives, each is delivered after four choices for
    /// itself and each older one, or dropped after its timeout.
    #[test]
    fn no_request_starves(
        older in prop::collection::vec((0_u8..8, 0_u64..2), 0..20),
        newer in prop::collection::vec((0_u8..8, 0_u64..400), 200),
        pause_ms in 1_u64..40,
    ) {
        let mut agent = TestAgent::new();
        agent.fill();
        agent.open(1..=300);
        let mut numbers = 1..;
        for (priority, timeout_ms) in &older {
            let number = numbers.next().expect("endless");
            agent.request(number, terms(*priority, 250, timeout_ms * 1_500));
        }
        let patient = numbers.next().expect("endless");
        agent.request(patient, terms(7, 0, 0));
        let mut running = 901;
        for (choices, (priority, target_ms)) in newer.into_iter().enumerate() {
            let number = numbers.next().expect("endless");
            agent.request(number, terms(priority, target_ms, 1_500));
            agent.wait(pause_ms);
            // The second slot is free again after the time for which a request without an answer counts.
            agent.scheduler.record_sent(&answer(running), agent.now);
            let released = flows(&agent.release());
            if released.contains(&patient) {
                prop_assert!(choices <= 4 * (older.len() + 1), "{choices} choices");
                return Ok(());
            }
            running = released.last().copied().unwrap_or(running);
        }
        prop_assert!(false, "never delivered");
    }
}
