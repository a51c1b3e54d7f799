//! Links between entry processes: CBOR messages in WebSocket frames, with mutual authentication by a shared key.
//!
//! Each process dials every peer and sends its notifications and requests over that link. On links that it accepted, it
//! receives notifications and requests, and sends responses. The caller defines the message type. A frame that can't be
//! decoded closes its own link only.

mod codec;
mod handshake;
mod link;
mod listener;

pub use codec::{CodecError, decode, encode};
pub use handshake::{HandshakeError, Key, Nonce, Proof, Side, Transcript, prove, verify};
pub use link::{Link, LinkSettings, RequestError, dial};
pub use listener::{Handler, listen};
