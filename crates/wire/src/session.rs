//! Session tokens in the form in which callers send them: an authenticated record in hexadecimal.

use crate::key::{ControlKey, KeyRing, TAG_BYTES};
use quetzalhill_core::once::SessionToken;
use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

/// Domain separator, so that the tag of a datagram is never valid for a token.
const DOMAIN: &[u8] = b"session token";

/// Length of key number, issuer, incarnation and expiry, in bytes.
const BODY_BYTES: usize = 1 + 8 + 8 + 8;

/// Length of a token in bytes, before the conversion to hexadecimal.
const TOKEN_BYTES: usize = BODY_BYTES + TAG_BYTES;

fn tag(key: &ControlKey, body: &[u8]) -> [u8; TAG_BYTES] {
    key.tag(&[DOMAIN, body])
}

/// Returns the header value for a token; the expiry is truncated to whole milliseconds.
pub fn seal(token: &SessionToken, ring: &KeyRing) -> String {
    let key = ring.current();
    let since = token.expires.duration_since(UNIX_EPOCH).unwrap_or_default();
    let expires = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    let mut bytes = Vec::with_capacity(TOKEN_BYTES);
    bytes.push(key.number());
    bytes.extend_from_slice(&token.issuer.to_be_bytes());
    bytes.extend_from_slice(&token.incarnation.to_be_bytes());
    bytes.extend_from_slice(&expires.to_be_bytes());
    let record_tag = tag(key, &bytes);
    bytes.extend_from_slice(&record_tag);
    let mut text = String::with_capacity(2 * TOKEN_BYTES);
    for byte in bytes {
        // Writing to a String cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Verifies and decodes a header value; returns `None` if it is malformed or not authenticated by a valid key.
pub fn open(text: &str, ring: &KeyRing) -> Option<SessionToken> {
    if text.len() != 2 * TOKEN_BYTES || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0_u8; TOKEN_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    let (body, received_tag) = bytes.split_at(BODY_BYTES);
    let key = ring.find(body[0])?;
    if tag(key, body) != received_tag {
        return None;
    }
    let number = |start: usize| {
        let mut field = [0_u8; 8];
        field.copy_from_slice(&body[start..start + 8]);
        u64::from_be_bytes(field)
    };
    Some(SessionToken {
        issuer: number(1),
        incarnation: number(9),
        expires: UNIX_EPOCH.checked_add(Duration::from_millis(number(17)))?,
    })
}
