//! Control keys, which authenticate everything that our processes send each other.

use aes::cipher::{generic_array::GenericArray, BlockDecrypt, BlockEncrypt, KeyInit};
use aes::Aes128;
use siphasher::sip::SipHasher24;
use smallvec::SmallVec;
use std::hash::Hasher;

/// Bytes of a control key in a key file.
pub const KEY_BYTES: usize = 32;

/// Bytes of the tag that ends each datagram.
pub const TAG_BYTES: usize = 8;

/// Number that says which of the valid keys a message was made with.
pub type KeyNumber = u8;

/// One control key, split into the parts for tags and for connection IDs.
#[derive(Clone)]
pub struct ControlKey {
    number: KeyNumber,
    tag: SipHasher24,
    block: Aes128,
    reset: [u8; 16],
}

impl std::fmt::Debug for ControlKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Key material never reaches a log.
        f.debug_struct("ControlKey")
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

impl ControlKey {
    /// Makes a key from the bytes of a key file.
    pub fn new(number: KeyNumber, secret: &[u8; KEY_BYTES]) -> Self {
        let mut tag = [0_u8; 16];
        tag.copy_from_slice(&secret[..16]);
        let block = Aes128::new(GenericArray::from_slice(&secret[16..]));
        // The reset key is derived, so that all lives of an agent share it without another file.
        let mut reset = GenericArray::clone_from_slice(b"stateless reset ");
        block.encrypt_block(&mut reset);
        Self {
            number,
            tag: SipHasher24::new_with_key(&tag),
            block,
            reset: reset.into(),
        }
    }

    /// Returns the number that messages made with this key carry.
    pub fn number(&self) -> KeyNumber {
        self.number
    }

    /// Returns the key material for QUIC stateless reset tokens, equal in all lives of an agent.
    pub fn reset_secret(&self) -> &[u8; 16] {
        &self.reset
    }

    /// Returns the tag over several byte strings; their lengths are part of the tag.
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let mut hasher = self.tag;
        for part in parts {
            hasher.write(part);
            // CAST: Lengths of slices fit 64 bits on every supported target.
            hasher.write_u64(part.len() as u64);
        }
        hasher.finish().to_le_bytes()
    }

    /// Encrypts one block of a connection ID in place.
    pub(crate) fn encrypt(&self, block: &mut [u8; 16]) {
        self.block
            .encrypt_block(GenericArray::from_mut_slice(block));
    }

    /// Decrypts one block of a connection ID in place.
    pub(crate) fn decrypt(&self, block: &mut [u8; 16]) {
        self.block
            .decrypt_block(GenericArray::from_mut_slice(block));
    }
}

/// The valid control keys; the first one makes messages, all of them check messages.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: SmallVec<[ControlKey; 2]>,
}

impl KeyRing {
    /// Makes a ring; `current` makes messages, `other` is also accepted during a change of keys.
    pub fn new(current: ControlKey, other: Option<ControlKey>) -> Self {
        let mut keys = SmallVec::new();
        keys.push(current);
        keys.extend(other);
        Self { keys }
    }

    /// Returns the key that makes messages.
    pub fn current(&self) -> &ControlKey {
        &self.keys[0]
    }

    /// Returns the valid key with this number.
    pub fn find(&self, number: KeyNumber) -> Option<&ControlKey> {
        self.keys.iter().find(|key| key.number == number)
    }
}
