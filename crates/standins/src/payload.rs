//! Response bodies that are derived from the request id, so that a caller can verify that it received its own
//! response completely.

/// Returns `length` pseudorandom bytes generated from the request id; different ids yield different bytes.
pub fn body_of(id: u64, length: usize) -> Vec<u8> {
    let mut state = id ^ 0x9e37_79b9_7f4a_7c15;
    let mut body = Vec::with_capacity(length + 8);
    while body.len() < length {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        body.extend_from_slice(&state.to_le_bytes());
    }
    body.truncate(length);
    body
}
