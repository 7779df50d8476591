//! Records of the list of endpoints in the store.

use super::RelayError;
use quetzalhill_core::ids::{
    address_of, id_of, EndpointId, IncarnationNumber, ServiceName, ZoneName,
};
use quetzalhill_core::relay::fleet::ListedEndpoint;
use serde::{Deserialize, Serialize};

/// An endpoint in the store's list, as it is encoded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct StoredEndpoint {
    id: u64,
    service: ServiceName,
    zone: ZoneName,
    incarnation: IncarnationNumber,
    slots: u32,
}

/// Version byte of a record in the list; records of other versions are ignored.
const ENDPOINT_VERSION: u8 = 1;

impl StoredEndpoint {
    pub(super) fn from_listed(endpoint: &ListedEndpoint) -> Self {
        Self {
            id: endpoint.id,
            service: endpoint.service.clone(),
            zone: endpoint.zone.clone(),
            incarnation: endpoint.incarnation,
            slots: endpoint.slots,
        }
    }

    pub(super) fn into_listed(self) -> ListedEndpoint {
        ListedEndpoint {
            id: self.id,
            service: self.service,
            zone: self.zone,
            incarnation: self.incarnation,
            slots: self.slots,
        }
    }
}

/// Encodes an endpoint for the store's list.
///
/// # Errors
///
/// Returns [`RelayError::Body`] if the record cannot be encoded, which no content of its fields causes.
pub fn encode_endpoint(endpoint: &ListedEndpoint) -> Result<Vec<u8>, RelayError> {
    let stored = StoredEndpoint::from_listed(endpoint);
    postcard::to_extend(&stored, vec![ENDPOINT_VERSION]).map_err(|_| RelayError::Body)
}

/// Decodes an endpoint from the store's list.
///
/// # Errors
///
/// Returns [`RelayError::Foreign`] if the version differs, and [`RelayError::Body`] if the record cannot be decoded.
pub fn decode_endpoint(value: &[u8]) -> Result<ListedEndpoint, RelayError> {
    let Some((&ENDPOINT_VERSION, body)) = value.split_first() else {
        return Err(RelayError::Foreign);
    };
    let stored: StoredEndpoint = postcard::from_bytes(body).map_err(|_| RelayError::Body)?;
    Ok(stored.into_listed())
}

/// Returns the key of the record of the endpoint `id` in a list whose keys begin with `prefix`.
pub fn record_key(prefix: &str, id: EndpointId) -> String {
    format!("{prefix}{}", address_of(id))
}

/// Returns the endpoint whose record has the key `key`, or `None` if the key names none.
pub fn endpoint_of_key(prefix: &str, key: &str) -> Option<EndpointId> {
    key.strip_prefix(prefix)?.parse().ok().map(id_of)
}

/// Decodes the record under `key` in a list whose keys begin with `prefix`.
///
/// Only the agent of an endpoint may describe it, so a record that names another address than its key is refused: it
/// would add an endpoint that does not exist, or replace one that does.
///
/// # Errors
///
/// Returns the errors of [`decode_endpoint`], and [`RelayError::Address`] if the address cannot be that of an agent or
/// does not match the key.
pub fn decode_record(prefix: &str, key: &str, value: &[u8]) -> Result<ListedEndpoint, RelayError> {
    let endpoint = decode_endpoint(value)?;
    let address = address_of(endpoint.id);
    let usable =
        id_of(address) == endpoint.id && address.port() != 0 && !address.ip().is_unspecified();
    match usable && key == record_key(prefix, endpoint.id) {
        true => Ok(endpoint),
        false => Err(RelayError::Address),
    }
}
