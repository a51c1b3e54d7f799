//! Decides whether an event stream whose body has ended is complete.
//!
//! A body that ends with its connection has no mark of its own: an upstream that crashes may close the connection in the
//! same way as one that has finished. Such a stream is complete only if it ends right after an event and nothing has
//! stopped its run.

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

/// Whether a request to transfer the KV cache of a run, which stops the run, has reached the upstream before the run's
/// own end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStop {
    /// No such request has reached the upstream, or the run had ended before.
    NotStopped,
    /// The result of the request is not known.
    MaybeStopped,
}

/// End of the body of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamEnd {
    pub marker: EndMarker,
    /// Whether the body contained a complete event.
    pub has_event: bool,
    /// Whether the body ended after the start of an event that is not complete.
    pub is_inside_event: bool,
    pub run_stop: RunStop,
}

impl StreamEnd {
    /// Returns why the stream is not complete, or `None` if it is.
    pub fn incomplete_reason(self) -> Option<&'static str> {
        let is_unmarked = self.marker == EndMarker::ConnectionEnd;
        if self.is_inside_event {
            Some("stream ended inside an event")
        } else if is_unmarked && !self.has_event {
            Some("stream ended before its first event")
        } else if is_unmarked && self.run_stop == RunStop::MaybeStopped {
            Some("stream ended after its run may have been stopped")
        } else {
            None
        }
    }
}
