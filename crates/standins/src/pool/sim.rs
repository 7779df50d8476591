//! Discrete-event simulation of a pool of agents; longer than 500 lines because all events change the same state.
//!
//! It runs several dispatch controllers, with message delay and loss.

use super::outcome::{JobOutcome, RunResult};
use super::workload::{to_duration, IdempotencyKey, PoolShape, Seconds, TraceJob};
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::dispatch::{
    DispatchAction, DispatchController, DispatchEvent, DispatchOptions, DispatchPolicy, LoadReport,
    RequestMeta,
};
use quetzalhill_core::ids::{EndpointId, IncarnationNumber, RequestId};
use quetzalhill_core::once::{
    OnceController, OnceDecision, OnceKey, OnceLimits, OnceOutcome, StoredAnswer,
};
use quetzalhill_core::retry::{AttemptOutcome, RetryBudget, RetryVerdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::{Instant, UNIX_EPOCH};

/// Time after which a faulty upstream fails a request.
const FAILURE_SECONDS: Seconds = 0.001;

/// Incarnation of each agent.
const INCARNATION: IncarnationNumber = 1;

/// Time for which the simulation continues after the last arrival.
const TAIL_SECONDS: Seconds = 60.0;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimSpec {
    /// Number of agents, their slots and the delay between them.
    pub shape: PoolShape,
    /// Policy that decides which agent runs a request.
    pub policy: DispatchPolicy,
    /// Mechanisms of the dispatch controller that are switched on.
    pub options: DispatchOptions,
    /// Limits of the service, as in the catalogue.
    pub limits: LimitSet,
    /// Seed of the controllers' random choices and of message loss.
    pub seed: u64,
    /// Share, from 0 to 1, of the messages between agents that are lost; responses are never lost.
    pub loss: f64,
    /// Agents whose upstreams fail every request from the given time on.
    pub faulty: Vec<(usize, Seconds)>,
    /// An agent that becomes ready at the given time; until then, it is no peer of the others.
    pub cold: Option<(usize, Seconds)>,
    /// An agent that starts to drain at the given time.
    pub drain: Option<(usize, Seconds)>,
    /// Whether failed requests are retried within the retry budget.
    pub retry: bool,
}

impl SimSpec {
    /// Creates a simulation with the pooled policy, default options and limits, no faults and no retries.
    pub fn new(shape: PoolShape) -> Self {
        Self {
            shape,
            policy: DispatchPolicy::Pooled,
            options: DispatchOptions::default(),
            limits: LimitSet::default(),
            seed: 1,
            loss: 0.0,
            faulty: Vec::new(),
            cold: None,
            drain: None,
            retry: false,
        }
    }
}

#[derive(Clone, Debug)]
enum PeerMessage {
    Load(LoadReport),
    Pull,
    Offer(RequestMeta),
    Accept(RequestId),
    Reject(RequestId),
    Withdraw(RequestId),
    Response(RequestId, bool),
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrive(usize, u32),
    Message(usize, usize, PeerMessage),
    WorkDone(usize, RequestId, bool),
    Timer(usize),
    Ready,
    Drain(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OfferState {
    Accepted,
    Started,
    Rejected,
}

struct AgentState {
    controller: DispatchController,
    timer: Option<u64>,
    budget: RetryBudget,
    /// State of each request that a peer offered to the agent.
    offers: HashMap<RequestId, OfferState>,
    once: OnceController,
    /// Requests for which this agent is the ingress agent and that have an outcome.
    ended: HashSet<RequestId>,
}

struct PoolSim<'a> {
    spec: &'a SimSpec,
    jobs: &'a [TraceJob],
    base: Instant,
    rng: SmallRng,
    agents: Vec<AgentState>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    sequence: u64,
    started: HashSet<RequestId>,
    started_keys: HashSet<u64>,
    result: RunResult,
}

/// Simulates the requests, which are sorted by arrival, on a pool of dispatch controllers.
pub fn run_pool(spec: &SimSpec, jobs: &[TraceJob]) -> RunResult {
    let mut sim = PoolSim::new(spec, jobs);
    sim.schedule_start();
    let end = jobs.last().map_or(0.0, |job| job.arrival) + TAIL_SECONDS;
    let mut open_requests = jobs.len();
    while let Some(Reverse((at_ns, sequence))) = sim.heap.pop() {
        let now = at_ns as f64 / 1e9;
        if now > end || open_requests == 0 {
            break;
        }
        let Some(event) = sim.events.remove(&sequence) else {
            continue;
        };
        open_requests -= sim.process(event, now);
    }
    sim.result
}

/// Returns the endpoint ID of the agent at a position; IDs count from 1.
pub fn endpoint_id(agent: usize) -> EndpointId {
    agent as EndpointId + 1
}

fn once_key(ingress: usize, key: IdempotencyKey) -> OnceKey {
    OnceKey {
        issuer: endpoint_id(ingress),
        key: key.value.to_string(),
    }
}

fn job_index(id: RequestId) -> usize {
    (id & 0xffff_ffff) as usize
}

impl<'a> PoolSim<'a> {
    fn new(spec: &'a SimSpec, jobs: &'a [TraceJob]) -> Self {
        let base = Instant::now();
        let agent = |index| AgentState {
            controller: DispatchController::with_options(
                spec.policy,
                spec.shape.slots,
                spec.limits.clone(),
                spec.options,
            ),
            timer: None,
            budget: RetryBudget::new(spec.limits.retry_budget, base),
            offers: HashMap::new(),
            once: OnceController::new(endpoint_id(index), INCARNATION, OnceLimits::default()),
            ended: HashSet::new(),
        };
        Self {
            spec,
            jobs,
            base,
            rng: SmallRng::seed_from_u64(spec.seed),
            agents: (0..spec.shape.agents).map(agent).collect(),
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            started: HashSet::new(),
            started_keys: HashSet::new(),
            result: RunResult::new(jobs.len()),
        }
    }

    fn schedule(&mut self, at: Seconds, event: SimEvent) {
        self.sequence += 1;
        let at_ns = (at * 1e9).round() as u64;
        self.heap.push(Reverse((at_ns, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn schedule_start(&mut self) {
        let cold = self.spec.cold.map(|cold| cold.0);
        for agent in 0..self.spec.shape.agents {
            if Some(agent) != cold {
                self.set_peers(agent, cold, 0.0);
            }
        }
        if let Some((_, at)) = self.spec.cold {
            self.schedule(at, SimEvent::Ready);
        }
        if let Some((agent, at)) = self.spec.drain {
            self.schedule(at, SimEvent::Drain(agent));
        }
        for (index, job) in self.jobs.iter().enumerate() {
            self.schedule(job.arrival, SimEvent::Arrive(index, 0));
        }
    }

    fn set_peers(&mut self, agent: usize, without: Option<usize>, now: Seconds) {
        let others = (0..self.spec.shape.agents).filter(|a| *a != agent && Some(*a) != without);
        let peers = others.map(endpoint_id).collect();
        self.handle(agent, DispatchEvent::PeersChanged(peers), now);
    }

    /// Processes one event and returns the number of requests that it ended.
    fn process(&mut self, event: SimEvent, now: Seconds) -> usize {
        let before = self.result.ended;
        match event {
            SimEvent::Arrive(index, attempt) => self.arrive(index, attempt, now),
            SimEvent::Message(from, to, message) => self.receive(from, to, message, now),
            SimEvent::WorkDone(agent, id, ok) => self.finish_work(agent, id, ok, now),
            SimEvent::Timer(agent) => {
                self.agents[agent].timer = None;
                self.handle(agent, DispatchEvent::TimerFired, now);
            }
            SimEvent::Ready => {
                for agent in 0..self.spec.shape.agents {
                    self.set_peers(agent, None, now);
                }
            }
            SimEvent::Drain(agent) => self.handle(agent, DispatchEvent::DrainStarted, now),
        }
        self.result.ended - before
    }

    fn arrive(&mut self, index: usize, attempt: u32, now: Seconds) {
        let job = &self.jobs[index];
        if attempt == 0 && job.idempotency_key.is_some() && !self.admit_keyed(index, now) {
            return;
        }
        let ingress = job.ingress;
        let at = self.base + to_duration(job.arrival);
        let meta = RequestMeta {
            id: (u128::from(attempt) << 64) | index as u128,
            class: job.class,
            owner: job.owner.to_owned(),
            arrived: at,
            deadline: at + to_duration(job.timeout),
            work_key: job.work_key,
        };
        let instant = self.base + to_duration(now);
        match attempt {
            0 => self.agents[ingress].budget.record_request(instant),
            _ => self.result.extra_attempts += 1,
        }
        self.handle(ingress, DispatchEvent::Arrived(meta), now);
    }

    /// Returns whether a request may run; a keyed request that may not is ended.
    ///
    /// The ingress agent also issues the session token, so that the request need not be forwarded.
    fn admit_keyed(&mut self, index: usize, now: Seconds) -> bool {
        let job = &self.jobs[index];
        let Some(key) = job.idempotency_key else {
            return true;
        };
        let ingress = job.ingress;
        let once = &mut self.agents[ingress].once;
        let token = once.issue_token(UNIX_EPOCH + to_duration(key.token_issued));
        let wall = UNIX_EPOCH + to_duration(now);
        let decision = match once.check_token(&token, wall) {
            Ok(()) => once.begin(
                &once_key(ingress, key),
                key.value,
                self.base + to_duration(now),
            ),
            Err(reason) => OnceDecision::Unknown(reason),
        };
        let outcome = match decision {
            OnceDecision::Run => return true,
            OnceDecision::Stored(_) => {
                self.result.repeated_answers += 1;
                JobOutcome::Answered {
                    at: now,
                    agent: ingress,
                }
            }
            OnceDecision::InProgress | OnceDecision::Unknown(_) => JobOutcome::Unknown,
            OnceDecision::Full | OnceDecision::Mismatch => JobOutcome::Refused,
        };
        // CAST: Traces have far fewer than 2^32 requests.
        self.end_request(ingress, index as RequestId, outcome);
        false
    }

    fn finish_keyed(&mut self, ingress: usize, id: RequestId, outcome: JobOutcome) {
        let Some(key) = self.jobs[job_index(id)].idempotency_key else {
            return;
        };
        let outcome = match outcome {
            JobOutcome::Answered { .. } => OnceOutcome::Answered(StoredAnswer {
                status: 200,
                headers: Vec::new(),
                body: Vec::new(),
            }),
            JobOutcome::Refused => OnceOutcome::NotRun,
            JobOutcome::Failed | JobOutcome::Unknown | JobOutcome::Unfinished => OnceOutcome::Lost,
        };
        self.agents[ingress]
            .once
            .finish(&once_key(ingress, key), outcome);
    }

    fn handle(&mut self, agent: usize, event: DispatchEvent, now: Seconds) {
        let instant = self.base + to_duration(now);
        let state = &mut self.agents[agent];
        let actions = state.controller.handle(event, instant, &mut self.rng);
        for action in actions {
            self.execute(agent, action, now);
        }
        let Some(deadline) = self.agents[agent].controller.next_deadline() else {
            return;
        };
        let at = deadline
            .saturating_duration_since(self.base)
            .as_secs_f64()
            .max(now);
        let at_ns = (at * 1e9).round() as u64;
        let state = &mut self.agents[agent];
        if state.timer.is_none_or(|timer| at_ns < timer) {
            state.timer = Some(at_ns);
            self.schedule(at, SimEvent::Timer(agent));
        }
    }

    fn execute(&mut self, agent: usize, action: DispatchAction, now: Seconds) {
        match action {
            DispatchAction::Start(id) => self.start(agent, id, now),
            DispatchAction::HandOver(id, peer) => {
                let job = &self.jobs[job_index(id)];
                let at = self.base + to_duration(job.arrival);
                let meta = RequestMeta {
                    id,
                    class: job.class,
                    owner: job.owner.to_owned(),
                    arrived: at,
                    deadline: at + to_duration(job.timeout),
                    work_key: job.work_key,
                };
                self.send(agent, peer, PeerMessage::Offer(meta), now);
            }
            DispatchAction::AcceptOffer(id) => {
                self.agents[agent].offers.insert(id, OfferState::Accepted);
                self.send_to_ingress(agent, id, PeerMessage::Accept(id), now);
            }
            DispatchAction::RejectOffer(id) => {
                self.agents[agent].offers.insert(id, OfferState::Rejected);
                self.send_to_ingress(agent, id, PeerMessage::Reject(id), now);
            }
            DispatchAction::Refuse(id, _) => self.finish_request(agent, id, JobOutcome::Refused),
            DispatchAction::SendPull(peer) => self.send(agent, peer, PeerMessage::Pull, now),
            DispatchAction::SendLoad(report) => {
                let targets = self.agents[agent].controller.load_targets().to_vec();
                for peer in targets {
                    self.send(agent, peer, PeerMessage::Load(report), now);
                }
            }
            DispatchAction::WithdrawOffer(id, peer) => {
                self.send(agent, peer, PeerMessage::Withdraw(id), now);
            }
        }
    }

    fn send_to_ingress(&mut self, agent: usize, id: RequestId, message: PeerMessage, now: Seconds) {
        let ingress = self.jobs[job_index(id)].ingress;
        self.send(agent, endpoint_id(ingress), message, now);
    }

    fn send(&mut self, from: usize, peer: EndpointId, message: PeerMessage, now: Seconds) {
        let to = peer as usize - 1;
        self.result.messages += 1;
        // Responses travel on a connection, and the caller would notice its failure.
        let reliable = matches!(message, PeerMessage::Response(..));
        if !reliable && self.spec.loss > 0.0 && self.rng.random_bool(self.spec.loss) {
            return;
        }
        let at = now + self.spec.shape.delay;
        self.schedule(at, SimEvent::Message(from, to, message));
    }

    fn receive(&mut self, from: usize, to: usize, message: PeerMessage, now: Seconds) {
        let peer = endpoint_id(from);
        let event = match message {
            PeerMessage::Load(report) => DispatchEvent::PeerLoad(peer, report),
            PeerMessage::Pull => DispatchEvent::PullReceived(peer),
            PeerMessage::Offer(meta) => DispatchEvent::Offered(peer, meta),
            PeerMessage::Accept(id) => DispatchEvent::OfferAccepted(id, peer),
            PeerMessage::Reject(id) => DispatchEvent::OfferRejected(id, peer),
            PeerMessage::Withdraw(id) => return self.answer_withdrawal(from, to, id, now),
            PeerMessage::Response(id, ok) => {
                self.finish_attempt(to, from, id, ok, now);
                DispatchEvent::Finished { id, ok }
            }
        };
        self.handle(to, event, now);
    }

    /// Answers a withdrawal: an offer that was accepted or started cannot be withdrawn any more.
    fn answer_withdrawal(&mut self, from: usize, to: usize, id: RequestId, now: Seconds) {
        let answer = match self.agents[to].offers.get(&id) {
            Some(OfferState::Accepted | OfferState::Started) => PeerMessage::Accept(id),
            Some(OfferState::Rejected) | None => PeerMessage::Reject(id),
        };
        self.send(to, endpoint_id(from), answer, now);
    }

    fn start(&mut self, agent: usize, id: RequestId, now: Seconds) {
        let job = &self.jobs[job_index(id)];
        if !self.started.insert(id) {
            self.result.duplicate_runs += 1;
        }
        if job
            .idempotency_key
            .is_some_and(|key| !self.started_keys.insert(key.value))
        {
            self.result.duplicate_key_starts += 1;
        }
        if self.result.outcomes[job_index(id)] == JobOutcome::Refused {
            self.result.refused_starts += 1;
        }
        if let Some(state) = self.agents[agent].offers.get_mut(&id) {
            *state = OfferState::Started;
        }
        let faulty = self.spec.faulty.iter();
        let fails = faulty
            .clone()
            .any(|(other, at)| *other == agent && *at <= now);
        let length = if fails { FAILURE_SECONDS } else { job.work };
        self.result.work.push((now, length, agent));
        self.schedule(now + length, SimEvent::WorkDone(agent, id, !fails));
    }

    fn finish_work(&mut self, agent: usize, id: RequestId, ok: bool, now: Seconds) {
        let ingress = self.jobs[job_index(id)].ingress;
        if ingress == agent {
            self.finish_attempt(ingress, agent, id, ok, now);
        } else {
            self.send(
                agent,
                endpoint_id(ingress),
                PeerMessage::Response(id, ok),
                now,
            );
        }
        self.handle(agent, DispatchEvent::Finished { id, ok }, now);
    }

    fn finish_attempt(
        &mut self,
        ingress: usize,
        agent: usize,
        id: RequestId,
        ok: bool,
        now: Seconds,
    ) {
        if ok {
            self.finish_request(ingress, id, JobOutcome::Answered { at: now, agent });
            return;
        }
        let attempt = (id >> 64) as u32 + 1;
        if self.spec.retry {
            let index = job_index(id);
            let safe = self.jobs[index].idempotency_key.is_none();
            let deadline = self.jobs[index].arrival + self.jobs[index].timeout;
            let verdict = self.agents[ingress].budget.decide(
                AttemptOutcome::MayHaveRun,
                safe,
                attempt,
                self.base + to_duration(deadline),
                self.base + to_duration(now),
                &mut self.rng,
            );
            if let RetryVerdict::At(at) = verdict {
                let at = at.saturating_duration_since(self.base).as_secs_f64();
                self.schedule(at, SimEvent::Arrive(index, attempt));
                return;
            }
        }
        self.finish_request(ingress, id, JobOutcome::Failed);
    }

    /// Ends a request that was passed to the dispatch controller.
    fn finish_request(&mut self, ingress: usize, id: RequestId, outcome: JobOutcome) {
        self.finish_keyed(ingress, id, outcome);
        self.end_request(ingress, id, outcome);
    }

    fn end_request(&mut self, ingress: usize, id: RequestId, outcome: JobOutcome) {
        if !self.agents[ingress].ended.insert(id) {
            self.result.duplicate_runs += 1;
            return;
        }
        if outcome == JobOutcome::Refused && self.started.contains(&id) {
            self.result.refused_starts += 1;
        }
        self.result.outcomes[job_index(id)] = outcome;
        self.result.ended += 1;
    }
}
