//! The mutual proof of a shared key.
//!
//! The listener sends a nonce; the dialer answers with its name, a nonce of its own and an HMAC-SHA-256 over both nonces
//! and both names; the listener answers with an HMAC of its own under the same key. The key itself is never sent. Several
//! keys are accepted side by side, so that a key can be changed without a cut.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use lentilhitch_types::InstanceName;

/// 128 random bits, drawn anew for each link by each side.
pub type Nonce = [u8; 16];

/// An HMAC-SHA-256.
pub type Proof = Vec<u8>;

/// A shared key.
#[derive(Clone)]
pub struct Key(pub Vec<u8>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Why a link was not opened.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    #[error("the other side did not prove a key that is accepted here")]
    WrongKey,
    #[error("the other side is {found}, not {expected}")]
    WrongName { expected: InstanceName, found: InstanceName },
    #[error("the other side did not keep to the handshake: {0}")]
    Protocol(String),
    #[error("the handshake took too long")]
    Timeout,
    #[error("the connection failed: {0}")]
    Connection(String),
}

/// Which end of a link makes a proof; the two never make the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Dialer,
    Listener,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Challenge {
    pub(crate) nonce: Nonce,
    pub(crate) name: InstanceName,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChallengeResponse {
    pub(crate) nonce: Nonce,
    pub(crate) name: InstanceName,
    pub(crate) proof: Proof,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) proof: Proof,
}

/// What both proofs of a link are about.
#[derive(Clone, Debug)]
pub struct Transcript {
    pub listener: InstanceName,
    pub listener_nonce: Nonce,
    pub dialer: InstanceName,
    pub dialer_nonce: Nonce,
}

/// The proof that one side knows a key.
pub fn prove(key: &Key, side: Side, transcript: &Transcript) -> Proof {
    mac(key, side, transcript).finalize().into_bytes().to_vec()
}

/// The index of the key that a proof was made with, if it is one of these. Compares in constant time.
pub fn verify(keys: &[Key], side: Side, transcript: &Transcript, proof: &[u8]) -> Option<usize> {
    keys.iter().position(|it| mac(it, side, transcript).verify_slice(proof).is_ok())
}

fn mac(key: &Key, side: Side, transcript: &Transcript) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC takes a key of any length");
    mac.update(match side {
        Side::Dialer => b"lentilhitch peer 1 dialer",
        Side::Listener => b"lentilhitch peer 1 listener",
    });
    mac.update(&transcript.listener_nonce);
    mac.update(&transcript.dialer_nonce);
    for name in [&transcript.listener, &transcript.dialer] {
        mac.update(&(name.as_str().len() as u64).to_le_bytes());
        mac.update(name.as_str().as_bytes());
    }
    mac
}
