//! Tests of the decisions on packets of opaque flows.

mod chain;
mod confirm;
mod digest;
mod era;
mod fleet;
mod freshness;
mod health;
mod herd;
mod hold;
mod identity;
mod intake;
mod list;
mod load;
mod peers;
mod place;
mod presence;
mod registration;
mod restore;
mod routes;
mod search;
mod site;
mod subscribe;
mod support;
