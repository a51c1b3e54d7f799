//! Client connections with the timeouts that the HTTP library does not apply: between requests and for a request head.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use http::Version;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// Phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Idle,
    /// Part of a request head has been received.
    Head,
    /// A request is being served.
    Busy,
}

/// Tracks the phase of a connection, holds the timeouts of the phases, and decides whether the connection is reset at its
/// end.
#[derive(Debug)]
pub(crate) struct PhaseTracker {
    phase: Cell<Phase>,
    /// Whether the end of the connection is the only mark of the end of a response.
    is_end_unmarked: Cell<bool>,
    is_reset_due: Cell<bool>,
    idle_timeout: Duration,
    head_timeout: Duration,
}

impl PhaseTracker {
    pub(crate) fn new(idle_timeout_ms: u64, head_timeout_ms: u64) -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            is_end_unmarked: Cell::new(false),
            is_reset_due: Cell::new(false),
            idle_timeout: Duration::from_millis(idle_timeout_ms),
            head_timeout: Duration::from_millis(head_timeout_ms),
        }
    }

    /// Marks the connection as busy. To be called when a complete request head has been read.
    pub(crate) fn on_request_head(&self, version: Version) {
        self.phase.set(Phase::Busy);
        // Earlier versions have no chunks.
        self.is_end_unmarked.set(version < Version::HTTP_11);
    }

    /// To be called when a response is aborted before its end. If the client could take the end of the connection for
    /// that of the response, the connection is reset.
    pub(crate) fn on_response_abort(&self) {
        self.is_reset_due.set(self.is_end_unmarked.get());
    }

    /// Marks the connection as idle. To be called when the response has been sent.
    pub(crate) fn on_response_end(&self) {
        self.phase.set(Phase::Idle);
    }
}

/// A client's connection. When a timeout expires, reads return the end of the connection.
pub(crate) struct ClientIo {
    stream: TcpStream,
    phase_tracker: Rc<PhaseTracker>,
    /// Phase that the timer was last set for.
    timer_phase: Phase,
    timer: Pin<Box<Sleep>>,
}

impl ClientIo {
    pub(crate) fn new(stream: TcpStream, phase_tracker: Rc<PhaseTracker>) -> Self {
        let timer = Box::pin(sleep(phase_tracker.idle_timeout));
        Self { stream, phase_tracker, timer_phase: Phase::Idle, timer }
    }

    /// Sets the timer to the timeout of the current phase if the phase has changed.
    fn update_timer(&mut self) {
        let phase = self.phase_tracker.phase.get();
        if phase == self.timer_phase {
            return;
        }
        self.timer_phase = phase;
        let timeout = match phase {
            Phase::Idle => self.phase_tracker.idle_timeout,
            Phase::Head => self.phase_tracker.head_timeout,
            Phase::Busy => return,
        };
        self.timer.as_mut().reset(Instant::now() + timeout);
    }
}

impl Drop for ClientIo {
    fn drop(&mut self) {
        if !self.phase_tracker.is_reset_due.get() {
            return;
        }
        if let Err(err) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("failed to reset a client connection: {err}");
        }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        self.update_timer();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(res) => {
                if filled_before < buf.filled().len()
                    && self.phase_tracker.phase.get() == Phase::Idle
                {
                    self.phase_tracker.phase.set(Phase::Head);
                    self.update_timer();
                }
                Poll::Ready(res)
            }
            Poll::Pending if self.timer_phase == Phase::Busy => Poll::Pending,
            Poll::Pending => self.timer.as_mut().poll(cx).map(Ok),
        }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
