//! Control keys, which authenticate the messages between the processes and protect connection IDs.

use aes::cipher::{generic_array::GenericArray, BlockDecrypt, BlockEncrypt, KeyInit};
use aes::Aes128;
use siphasher::sip::SipHasher24;
use smallvec::SmallVec;
use std::hash::Hasher;

/// Length of a control key in a key file, in bytes.
pub const KEY_BYTES: usize = 32;

/// Length of the authentication tag at the end of each datagram and frame, in bytes.
pub const TAG_BYTES: usize = 8;

/// Number in each message that identifies the key of its tag.
pub type KeyNumber = u8;

/// A control key, split into a SipHash key for tags and an AES-128 key for connection IDs.
#[derive(Clone)]
pub struct ControlKey {
    number: KeyNumber,
    tag: SipHasher24,
    block: Aes128,
    reset: [u8; 16],
}

impl std::fmt::Debug for ControlKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Only the number is written, so that key material never reaches a log.
        f.debug_struct("ControlKey")
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

impl ControlKey {
    /// Creates a key from the content of a key file.
    pub fn new(number: KeyNumber, secret: &[u8; KEY_BYTES]) -> Self {
        let mut tag = [0_u8; 16];
        tag.copy_from_slice(&secret[..16]);
        let block = Aes128::new(GenericArray::from_slice(&secret[16..]));
        // The reset key is derived from the control key, so that all incarnations of an agent have the same one
        // without another key file.
        let mut reset = GenericArray::clone_from_slice(b"stateless reset ");
        block.encrypt_block(&mut reset);
        Self {
            number,
            tag: SipHasher24::new_with_key(&tag),
            block,
            reset: reset.into(),
        }
    }

    /// Returns the number that identifies this key in messages.
    pub fn number(&self) -> KeyNumber {
        self.number
    }

    /// Returns the key for QUIC stateless reset tokens, equal in all incarnations of an agent.
    pub fn reset_secret(&self) -> &[u8; 16] {
        &self.reset
    }

    /// Returns the tag (SipHash-2-4) over several byte strings and their lengths.
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

/// The valid control keys: outgoing messages use the current one, incoming messages may use any of them.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: SmallVec<[ControlKey; 2]>,
}

impl KeyRing {
    /// Creates a ring with the key for outgoing messages and another key that is also accepted during a key rotation.
    pub fn new(current: ControlKey, other: Option<ControlKey>) -> Self {
        let mut keys = SmallVec::new();
        keys.push(current);
        keys.extend(other);
        Self { keys }
    }

    /// Returns the key for outgoing messages.
    pub fn current(&self) -> &ControlKey {
        &self.keys[0]
    }

    /// Returns the valid key with this number, if there is one.
    pub fn find(&self, number: KeyNumber) -> Option<&ControlKey> {
        self.keys.iter().find(|key| key.number == number)
    }
}
