//! Clients of the platform's key-value service, which holds the catalogue.
//!
//! The rest of the process uses the store only through [`api::CatalogueStore`]. [`etcd::EtcdStore`] implements it
//! for the etcd v3 API in its HTTP/JSON form, and [`polled::PolledStore`] for any store whose watches are HTTP long
//! polls, given a [`codec::StoreCodec`]. See docs/design.md, decision 9 and section 4, and docs/relay.md.

pub mod api;
pub mod budget;
pub mod catalogue;
pub mod codec;
mod connect;
pub mod etcd;
mod http;
pub mod polled;
