//! Client of the platform's key-value service, which holds the catalogue.
//!
//! [`api::CatalogueStore`] is the boundary of the process; [`etcd::EtcdStore`] speaks the etcd v3 API in its
//! HTTP/JSON form. See docs/design.md, decision 9 and section 4.

pub mod api;
pub mod budget;
pub mod catalogue;
pub mod etcd;
