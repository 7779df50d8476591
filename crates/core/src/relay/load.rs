//! Load of one upstream, as its agent sees it in the packets of the flows.
//!
//! The bytes of a flow are opaque, but requests and answers alternate: data from the caller makes a flow busy, data
//! from the upstream ends that.

use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Idle time after which a flow does not count any more; twice the usual idle timeout of the catalogue.
pub const IDLE_MAX: Duration = Duration::from_secs(30);

/// Time after its opening for which a flow counts as busy; a caller sends its request with the end of the handshake.
const AWAIT_TIME: Duration = Duration::from_millis(50);

/// Addresses that a report names; a service has a few.
const ADDRESSES_MAX: usize = 64;

/// Addresses of services with open flows.
pub type AddressList = SmallVec<[SocketAddrV4; 4]>;

/// Flows that are counted; an upstream holds some thousands.
const FLOWS_MAX: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct FlowActivity {
    /// Since when a request is in progress.
    busy: Option<Instant>,
    /// Until when the first request of a new flow counts although it has not arrived.
    awaited_until: Option<Instant>,
    expires: Instant,
}

/// What an agent reports of its upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadCounts {
    /// Open flows.
    pub flows: u32,
    /// Flows with a request in progress.
    pub busy: u32,
}

/// Counts open flows and requests in progress.
#[derive(Debug, Default)]
pub struct LoadMeter {
    flows: HashMap<FlowAddresses, FlowActivity>,
}

impl LoadMeter {
    /// Notes a packet that was given to the upstream.
    pub fn delivered(&mut self, head: &PacketHead, now: Instant) {
        if head.kind == PacketKind::Reset {
            self.flows.remove(&head.flow);
            return;
        }
        let Some(activity) = self.flows.get_mut(&head.flow) else {
            return;
        };
        if head.data_len > 0 {
            activity.busy = activity.busy.or(Some(now));
            activity.awaited_until = None;
        }
        activity.expires = now + IDLE_MAX;
    }

    /// Notes a packet that the upstream sent, and returns how long a request waited if its answer begins.
    pub fn answered(&mut self, head: &PacketHead, now: Instant) -> Option<Duration> {
        match head.kind {
            PacketKind::Ending | PacketKind::Reset => {
                let activity = self.flows.remove(&head.flow)?;
                let busy = activity.busy.filter(|_| head.data_len > 0)?;
                return Some(now.saturating_duration_since(busy));
            }
            PacketKind::Opening { .. } | PacketKind::Accepting | PacketKind::Established => {}
        }
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&head.flow) {
            return None;
        }
        let activity = self.flows.entry(head.flow).or_insert(FlowActivity {
            busy: None,
            awaited_until: Some(now + AWAIT_TIME),
            expires: now,
        });
        activity.expires = now + IDLE_MAX;
        if head.data_len == 0 {
            return None;
        }
        let busy = activity.busy.take()?;
        Some(now.saturating_duration_since(busy))
    }

    /// Returns the requests in progress or about to arrive.
    pub fn pressure(&self, now: Instant) -> u32 {
        let active = self.flows.values().filter(|activity| {
            activity.busy.is_some() || activity.awaited_until.is_some_and(|until| now < until)
        });
        u32::try_from(active.count()).unwrap_or(u32::MAX)
    }

    /// Returns the counts without the flows that have been idle for too long.
    pub fn counts(&mut self, now: Instant) -> LoadCounts {
        self.flows.retain(|_, activity| now < activity.expires);
        let busy = self
            .flows
            .values()
            .filter(|activity| activity.busy.is_some())
            .count();
        LoadCounts {
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            busy: u32::try_from(busy).unwrap_or(u32::MAX),
        }
    }
    /// Returns the addresses that the open flows were opened to.
    ///
    /// A route may have turned to another service since, so that the routes alone do not say where its flows are.
    pub fn addresses(&self) -> AddressList {
        let mut addresses = AddressList::new();
        for flow in self.flows.keys() {
            if addresses.len() >= ADDRESSES_MAX {
                break;
            }
            if !addresses.contains(&flow.service) {
                addresses.push(flow.service);
            }
        }
        addresses
    }
}
