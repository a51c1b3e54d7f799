//! The end of the body of an event stream.

/// How the framing of a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMarker {
    /// The body has a length or a last chunk.
    Explicit,
    /// The body ends with its connection.
    ConnectionEnd,
}

impl EndMarker {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Explicit => "explicit",
            Self::ConnectionEnd => "connection end",
        }
    }
}
