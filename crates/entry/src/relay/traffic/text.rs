//! Text of endpoints and ages in the log lines of the traffic threads.

use quetzalhill_core::ids::address_of;
use quetzalhill_core::relay::chain::DeliverTarget;
use quetzalhill_core::relay::place::{EndpointKey, TriedList};
use quetzalhill_core::relay::view::ServiceNames;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Instant;

/// Formats endpoints with their incarnations, as `10.0.0.1:7000@1783371811029`.
pub(super) struct EndpointList<'a>(pub(super) &'a [DeliverTarget]);

impl Display for EndpointList<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        for (index, target) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{}", KeyText(target.endpoint))?;
        }
        Ok(())
    }
}

/// Formats an endpoint with its incarnation, as `10.0.0.1:7000@1783371811029`.
pub(super) struct KeyText(pub(super) EndpointKey);

impl Display for KeyText {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let EndpointKey { id, incarnation } = self.0;
        write!(f, "{}@{incarnation}", address_of(id))
    }
}

/// Formats the endpoints that a search leaves out, separated by commas.
pub(super) struct KeyList(pub(super) TriedList);

impl Display for KeyList {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        for (index, key) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{}", KeyText(*key))?;
        }
        Ok(())
    }
}

/// Formats the names of services, separated by commas.
pub(super) struct ServiceList<'a>(pub(super) ServiceNames<'a>);

impl Display for ServiceList<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        for (index, name) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{name}")?;
        }
        Ok(())
    }
}

/// Returns the time since `confirmed` in milliseconds, or 0 if there is no such time.
pub(super) fn age_ms(confirmed: Option<Instant>) -> u128 {
    confirmed.map_or(0, |confirmed| confirmed.elapsed().as_millis())
}
