//! Encoding of open flows, in notices between the entries of a zone and in the zone's record in the store.

use super::RelayError;
use quetzalhill_core::ids::{address_of, id_of};
use quetzalhill_core::relay::open_flows::OpenFlow;
use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::place::EndpointKey;
use serde::{Deserialize, Serialize};

/// Most flows in one notice, so that it fits into a datagram; a flow takes 34 bytes at most.
pub const OPEN_FLOWS_MAX: usize = 32;

/// Version of the format of a record; records of another version are ignored.
const RECORD_VERSION: u8 = 1;

/// An open flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenFlowNotice {
    /// Address of the caller, packed by [`id_of`].
    caller: u64,
    /// Address of the service, packed by [`id_of`].
    service: u64,
    /// Endpoint that holds the flow.
    endpoint: u64,
    /// Incarnation of its upstream.
    incarnation: u64,
    /// Bytes that the caller had acknowledged.
    acknowledged: u32,
}

impl OpenFlowNotice {
    /// Creates the notice of `open`.
    pub fn new(open: &OpenFlow) -> Self {
        Self {
            caller: id_of(open.flow.caller),
            service: id_of(open.flow.service),
            endpoint: open.holder.id,
            incarnation: open.holder.incarnation,
            acknowledged: open.acknowledged,
        }
    }

    /// Converts the notice to an open flow.
    pub fn into_open_flow(self) -> OpenFlow {
        OpenFlow {
            flow: FlowAddresses {
                caller: address_of(self.caller),
                service: address_of(self.service),
            },
            holder: EndpointKey {
                id: self.endpoint,
                incarnation: self.incarnation,
            },
            acknowledged: self.acknowledged,
        }
    }
}

/// The open flows of a zone in the store.
#[derive(Debug, Deserialize, Serialize)]
struct FlowRecordBody {
    version: u8,
    /// When the record was written, in Unix milliseconds.
    written_ms: u64,
    flows: Vec<OpenFlowNotice>,
}

/// Encodes the record of a zone that is written at `written_ms`, in Unix milliseconds.
///
/// # Errors
///
/// Returns [`RelayError::Body`] if the record cannot be encoded, which no content of its fields causes.
pub fn encode_flow_record(flows: &[OpenFlow], written_ms: u64) -> Result<Vec<u8>, RelayError> {
    let body = FlowRecordBody {
        version: RECORD_VERSION,
        written_ms,
        flows: flows.iter().map(OpenFlowNotice::new).collect(),
    };
    postcard::to_stdvec(&body).map_err(|_| RelayError::Body)
}

/// Decodes the record of a zone, and returns the flows and when it was written, in Unix milliseconds.
///
/// # Errors
///
/// Returns [`RelayError::Body`] for a record of another version or writer.
pub fn decode_flow_record(value: &[u8]) -> Result<(Vec<OpenFlow>, u64), RelayError> {
    let body: FlowRecordBody = postcard::from_bytes(value).map_err(|_| RelayError::Body)?;
    if body.version != RECORD_VERSION {
        return Err(RelayError::Body);
    }
    let flows = body.flows.into_iter();
    let flows = flows.map(OpenFlowNotice::into_open_flow).collect();
    Ok((flows, body.written_ms))
}
