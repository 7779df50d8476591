//! Keys of the store that the platform's operators write beside the manifest.

use quetzalhill_core::ids::ZoneName;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};

/// Prefix of all keys that operators write, with that of the manifest.
pub const OPERATOR_PREFIX: &str = "op/";

/// Prefix of the keys that request the evacuation of an availability zone; the zone's name follows. The value says
/// nothing.
const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Why a key under the prefix of evacuations names no availability zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationError {
    /// Nothing follows the prefix.
    NoZone,
    /// A further `/` follows the prefix.
    Nested,
}

impl Display for EvacuationError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            EvacuationError::NoZone => write!(f, "the key names no availability zone"),
            EvacuationError::Nested => write!(f, "the name of a zone contains no slash"),
        }
    }
}

impl Error for EvacuationError {}

/// Returns the key that requests the evacuation of `zone`.
pub fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// Returns the availability zone whose evacuation `key` requests, or `None` if it is a key for something else.
///
/// # Errors
///
/// The key is one of evacuations and names no availability zone.
pub fn evacuated_zone(key: &str) -> Result<Option<ZoneName>, EvacuationError> {
    let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) else {
        return Ok(None);
    };
    match zone {
        "" => Err(EvacuationError::NoZone),
        zone if zone.contains('/') => Err(EvacuationError::Nested),
        zone => Ok(Some(zone.into())),
    }
}
