//! Finds the agent that accepts each flow of a trace, with the routing of the entries and the admission of the agents.

use super::trace::{EndpointChange, RecordedTrace};
use crate::pool::sim::endpoint_id;
use quetzalhill_core::flow::{self, FlowAdmission, FlowContext, FlowOrigin, FlowVerdict};
use quetzalhill_core::ids::{address_of, id_of, EndpointId};
use quetzalhill_core::route::{RouteTable, ServiceRoute};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Address of the service in the route table.
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443);

/// Times at which a caller sends the first packet of a flow, in microseconds after the first transmission.
const RETRANSMIT_DELAYS_US: [u64; 3] = [0, 1_000_000, 3_000_000];

/// The agent that accepted a flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowPlacement {
    /// Position of the endpoint in the service.
    pub agent: usize,
    /// When the agent accepted the flow, in microseconds since the start of the trace.
    pub accepted_us: u64,
}

/// Returns the placement of each flow that an agent accepts.
///
/// A flow without an entry in the result is broken: no agent accepted any transmission of its first packet.
pub fn route_flows(trace: &RecordedTrace) -> HashMap<u32, FlowPlacement> {
    let mut placements = HashMap::new();
    for record in &trace.records {
        if placements.contains_key(&record.flow) {
            continue;
        }
        let attempts = RETRANSMIT_DELAYS_US
            .iter()
            .map(|delay| record.at_us + delay);
        for at_us in attempts {
            if let Some(agent) = accepting_agent(trace, record.flow, at_us) {
                let placement = FlowPlacement {
                    agent,
                    accepted_us: at_us,
                };
                placements.insert(record.flow, placement);
                break;
            }
        }
    }
    placements
}

/// Returns the agent that accepts the first packet of a flow, after at most [`flow::MAX_HOPS`] forwards.
fn accepting_agent(trace: &RecordedTrace, flow: u32, at_us: u64) -> Option<usize> {
    let table = route_table_at(trace, at_us);
    let service = table.service_at(SERVICE_ADDRESS)?;
    let pair = service.candidates(&flow.to_le_bytes())?;
    let mut current = pair.first;
    for hops in 0..=flow::MAX_HOPS {
        let ready = service.ready.iter().map(|id| address_of(*id));
        let context = FlowContext {
            origin: FlowOrigin::Unknown,
            admission: admission_at(trace, agent_index(current), at_us),
            hops,
            second: pair.second,
            peer: ready.clone().find(|peer| *peer != current),
            local: current,
        };
        match flow::decide(&context) {
            FlowVerdict::Deliver => return Some(agent_index(current)),
            FlowVerdict::Forward(next) => current = next,
            FlowVerdict::Drop => return None,
        }
    }
    None
}

fn agent_index(address: SocketAddrV4) -> usize {
    // CAST: Endpoint IDs of the simulation count from 1.
    id_of(address) as usize - 1
}

fn has_happened(change: Option<EndpointChange>, agent: usize, at_us: u64) -> bool {
    change.is_some_and(|change| change.endpoint == agent && change.at_us <= at_us)
}

fn admission_at(trace: &RecordedTrace, agent: usize, at_us: u64) -> FlowAdmission {
    match has_happened(trace.header.drain, agent, at_us) {
        true => FlowAdmission::Draining,
        false => FlowAdmission::Open,
    }
}

/// Returns the route table of an entry, which contains a change only after the view lag.
fn route_table_at(trace: &RecordedTrace, at_us: u64) -> RouteTable {
    let header = &trace.header;
    let visible_us = at_us.checked_sub(header.view_lag_ms * 1_000);
    let happened = |change, agent| visible_us.is_some_and(|at| has_happened(change, agent, at));
    let is_ready = |agent: &usize| {
        let cold = header.cold.is_some_and(|change| change.endpoint == *agent);
        !happened(header.drain, *agent) && (!cold || happened(header.cold, *agent))
    };
    let agents = 0..usize::from(trace.service.endpoints);
    let ready: Vec<EndpointId> = agents.filter(is_ready).map(endpoint_id).collect();
    let route = ServiceRoute {
        name: header.service.clone(),
        ready,
        ..ServiceRoute::default()
    };
    RouteTable {
        by_address: HashMap::from([(SERVICE_ADDRESS, 0)]),
        services: vec![route],
    }
}
