//! Links between entry processes: WebSocket frames with CBOR messages, opened by a mutual proof of a shared key.
//!
//! Each process dials every peer and uses that link for what it says and asks; on links that it accepted it hears and
//! answers. The message type is the caller's. A frame that can't be understood closes its link and nothing else.

mod codec;
mod handshake;
mod link;
mod listener;

pub use codec::{CodecError, decode, encode};
pub use handshake::{HandshakeError, Key, Nonce, Proof, Side, Transcript, prove, verify};
pub use link::{Link, LinkSettings, RequestError, dial};
pub use listener::{Handler, listen};
