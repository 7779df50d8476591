//! An entry with some agents and upstreams, in virtual time, for tests of what the entry believes of them.

use crate::support::{established, id, key, routes, service_address, FEED, INCARNATION};
use quetzalhill_core::ids::IncarnationNumber;
use quetzalhill_core::relay::chain::{DeliverReason, RelayChain, RelayDrop, RelayVerdict};
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListedEndpoint, SILENT_AFTER,
};
use quetzalhill_core::relay::intake::{ReturnReason, UpstreamState};
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::packet::PacketHead;
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::registration::LEASE_TTL;
use quetzalhill_core::relay::view::RelayView;
use std::time::{Duration, Instant};

const AGENTS: u8 = 4;

/// Flow that the first upstream holds.
pub(crate) const FLOW: u16 = 40;

pub(crate) const TICK: Duration = Duration::from_millis(100);
pub(crate) const RESTARTED: IncarnationNumber = INCARNATION + 9;

/// Longest time from the start of an agent to the next announcement of its upstream.
pub(crate) const ANNOUNCE_TIME: Duration = Duration::from_millis(770);

/// An upstream with its agent, and what it has told the entry.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) number: u8,
    /// Incarnation that runs.
    pub(crate) incarnation: IncarnationNumber,
    /// Incarnation that the agent knows.
    pub(crate) announced: IncarnationNumber,
    pub(crate) agent_start: u64,
    pub(crate) is_up: bool,
    /// Whether the agent saw the start of the upstream.
    pub(crate) covers: bool,
    pub(crate) is_listed: bool,
    /// When the agent stopped.
    pub(crate) down_since: Instant,
}

/// An entry with its agents and upstreams, in virtual time.
pub(crate) struct Site {
    pub(crate) now: Instant,
    pub(crate) fleet: FleetController,
    pub(crate) chain: RelayChain,
    pub(crate) members: Vec<Member>,
    reports: u64,
}

impl Site {
    pub(crate) fn new() -> Self {
        let start = Instant::now();
        let member = |number| Member {
            number,
            incarnation: INCARNATION,
            announced: INCARNATION,
            agent_start: 1,
            is_up: true,
            covers: true,
            is_listed: true,
            down_since: start,
        };
        let mut site = Self {
            now: start,
            fleet: FleetController::new("a".into()),
            chain: RelayChain::new(start),
            members: (1..=AGENTS).map(member).collect(),
            reports: 0,
        };
        site.restart_entry();
        site
    }

    /// Replaces the entry by a new one, which reads the list.
    pub(crate) fn restart_entry(&mut self) {
        self.fleet = FleetController::new("a".into());
        self.chain = RelayChain::new(self.now);
        for index in 0..self.members.len() {
            if self.members[index].is_listed {
                self.register(index);
            }
        }
        self.report_all();
    }

    pub(crate) fn endpoint(&self, index: usize) -> ListedEndpoint {
        let member = &self.members[index];
        ListedEndpoint {
            id: id(member.number),
            service: FEED.into(),
            zone: "a".into(),
            incarnation: member.announced,
            slots: 4,
        }
    }

    /// Writes the record of a member, which the entry reads at once.
    pub(crate) fn register(&mut self, index: usize) {
        self.members[index].is_listed = true;
        let endpoint = self.endpoint(index);
        self.fleet.add_listed(endpoint, self.now);
    }

    pub(crate) fn report(&mut self, index: usize) {
        self.reports += 1;
        let member = &self.members[index];
        let report = EndpointReport {
            endpoint: self.endpoint(index),
            order: (member.agent_start, self.reports),
            state: UpstreamState::Ready,
            stopping: false,
            load: LoadCounts::default(),
            addresses: [service_address()].into_iter().collect(),
            coverage: FlowCoverage::new(member.covers, true),
            cold_until: None,
            digest: None,
            keepalive_sent: Some(self.now),
            pace: None,
            expires: self.now + SILENT_AFTER,
        };
        self.fleet.report(report, self.now);
    }

    pub(crate) fn report_all(&mut self) {
        for index in 0..self.members.len() {
            if self.members[index].is_up {
                self.report(index);
            }
        }
    }

    /// Passes time with reports of the running agents; leases of agents that are down for too long expire.
    pub(crate) fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.report_all();
            for index in 0..self.members.len() {
                let member = &mut self.members[index];
                let lapsed = !member.is_up && self.now >= member.down_since + LEASE_TTL;
                if member.is_listed && lapsed {
                    member.is_listed = false;
                    self.fleet.remove_listed(id(member.number), self.now);
                }
            }
            self.fleet.tick(self.now);
        }
    }

    pub(crate) fn kill_agent(&mut self, index: usize) {
        self.members[index].is_up = false;
        self.members[index].down_since = self.now;
    }

    /// Starts an agent that finds its upstream healthy and registers it before the first announcement.
    pub(crate) fn start_agent(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.is_up = true;
        member.agent_start += 1;
        member.announced = 0;
        member.covers = false;
        self.register(index);
        self.report(index);
    }

    /// Delivers the announcement of an upstream to its agent.
    pub(crate) fn announce(&mut self, index: usize) {
        self.members[index].announced = self.members[index].incarnation;
        self.register(index);
        self.report(index);
    }

    pub(crate) fn view(&self) -> RelayView {
        RelayView {
            routes: routes(1, &[(FEED, 1)]),
            services: self.fleet.services(self.now),
            holders_known: self.fleet.holders_known(),
            synced: true,
            routes_confirmed: Some(self.now),
            routes_read: Some(self.now),
            endpoints_read: Some(self.now),
            loaded: true,
            ..RelayView::default()
        }
    }

    /// Sends a packet until the upstream with this number accepts it or the entry gives up; agents that are down lose
    /// packets. Returns the reason with which the holder got it, or the last verdict.
    pub(crate) fn send(
        &mut self,
        head: &PacketHead,
        holder: EndpointKey,
    ) -> Result<DeliverReason, RelayVerdict> {
        let view = self.view();
        let mut verdict = self.chain.decide(head, &view, self.now);
        for _ in 0..20 {
            let RelayVerdict::Deliver { targets, reason } = verdict.clone() else {
                return Err(verdict);
            };
            let mut next = RelayVerdict::Drop(RelayDrop::Duplicate);
            for target in targets {
                let found = |member: &&Member| id(member.number) == target.endpoint.id;
                let member = self.members.iter().find(found).expect("a member");
                if !member.is_up {
                    continue;
                }
                if member.number == 1 && member.incarnation == holder.incarnation {
                    return Ok(reason);
                }
                let returned = EndpointKey {
                    id: target.endpoint.id,
                    incarnation: member.announced,
                };
                let reason = ReturnReason::NotHeld;
                let decided = self
                    .chain
                    .decide_returned(head, returned, reason, &view, self.now);
                if decided != RelayVerdict::Drop(RelayDrop::Duplicate) {
                    next = decided;
                }
            }
            verdict = next;
        }
        panic!("the packet loops");
    }

    /// Sends a packet of the flow that the first upstream holds.
    pub(crate) fn send_held(&mut self) -> Result<DeliverReason, RelayVerdict> {
        self.send(&established(FLOW), key(1))
    }
}
