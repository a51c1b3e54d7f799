//! Frames, and the CBOR encoding of the messages in them.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Failure to encode or decode a frame.
#[derive(Debug, thiserror::Error)]
#[error("failed to encode or decode CBOR: {0}")]
pub struct CodecError(String);

/// Frame sent over a link after the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame<M> {
    /// Message without a response.
    #[serde(rename = "Say")]
    Notification(M),
    /// Correlation ID and message. The response carries the same ID.
    #[serde(rename = "Ask")]
    Request(u64, M),
    /// Correlation ID of the request, and the response.
    #[serde(rename = "Answer")]
    Response(u64, M),
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|err| CodecError(err.to_string()))?;
    Ok(bytes.into())
}

/// Decodes a value from CBOR. Returns an error, and never panics, on any invalid input.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|err| CodecError(err.to_string()))
}
