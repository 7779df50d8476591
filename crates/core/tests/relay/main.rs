//! Tests of the decisions on packets of opaque flows.

mod admission;
mod chain;
mod cold;
mod confirm;
mod digest;
mod fleet;
mod freshness;
mod health;
mod herd;
mod hold;
mod identity;
mod intake;
mod list;
mod load;
mod overload;
mod peers;
mod place;
mod presence;
mod registration;
mod routes;
mod search;
mod site;
mod subscribe;
mod support;
mod surge;
