//! Tests of an agent's traffic thread, from an HTTP/3 client through packets to an HTTP/1.1 upstream.

mod answers;
mod drain;
mod entry;
mod handover;
mod health;
mod home;
mod once;
mod packets;
mod peer;
mod support;
mod upstream;
