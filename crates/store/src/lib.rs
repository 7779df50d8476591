//! Client of the platform's key-value service, which holds the catalogue.
//!
//! [`api::CatalogueStore`] is the boundary of the process; [`etcd::EtcdStore`] speaks the etcd v3 API in its
//! HTTP/JSON form, and [`polled::PolledStore`] speaks any form with long polls for which there is a
//! [`codec::StoreCodec`]. See docs/design.md, decision 9 and section 4, and docs/relay.md.

pub mod api;
pub mod budget;
pub mod catalogue;
pub mod codec;
mod connect;
pub mod etcd;
mod http;
pub mod polled;
