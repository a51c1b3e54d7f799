//! Frames and the messages in them.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Why a frame could not be understood or made.
#[derive(Debug, thiserror::Error)]
#[error("not a message: {0}")]
pub struct CodecError(String);

/// What goes over a link after the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame<M> {
    /// Needs no answer.
    Say(M),
    /// Needs an answer with the same number.
    Ask(u64, M),
    Answer(u64, M),
}

/// A value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|err| CodecError(err.to_string()))?;
    Ok(bytes.into())
}

/// A value from CBOR. Never panics, whatever the bytes are.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|err| CodecError(err.to_string()))
}
