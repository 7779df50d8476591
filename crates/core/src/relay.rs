//! Relays flows whose payload only the two ends can read.
//!
//! Caller and upstream exchange packets of a transport that quetzalhill cannot change, so no connection ID in the
//! packets names the endpoint of a flow. An entry places a new flow by load on one of a few candidates that are
//! derived from the flow's addresses. To find the endpoint of a flow that is not in its flow table, it queries the
//! endpoints in the same order. See docs/relay.md.

pub mod admit;
pub mod chain;
pub mod cold;
pub mod confirm;
pub mod credits;
pub mod digest;
pub mod draft;
pub mod era;
pub mod evacuation;
pub mod fleet;
pub mod flows;
pub mod freshness;
pub mod health;
pub mod hold;
pub mod identity;
pub mod intake;
pub mod list;
pub mod load;
pub mod open_flows;
pub mod pace;
pub mod pace_factor;
pub mod packet;
pub mod peers;
pub mod pending;
pub mod place;
pub mod presence;
pub mod registration;
pub mod revisions;
pub mod rounds;
pub mod routes;
pub mod schedule;
pub mod service_time;
pub mod slow_start;
pub mod subscribe;
pub mod terms;
pub mod view;
