//! Client connections with the timeouts that the HTTP library does not apply: between requests and for a request head.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use http::Version;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use crate::client_response::InFlightGuard;

/// Phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Idle,
    /// Part of a request head has been received.
    Head,
    /// A request is being served.
    Busy,
    /// The response is complete, and its last part may not have been written yet.
    Writing,
    /// The response was written, and the rest of the request's body is being discarded.
    Discarding,
}

/// Tracks the phase of a connection, holds the timeouts of the phases, and decides whether the connection is reset at its
/// end.
#[derive(Debug)]
pub(crate) struct PhaseTracker {
    phase: Cell<Phase>,
    /// Whether the end of the connection is the only mark of the end of a response.
    is_end_unmarked: Cell<bool>,
    is_reset_due: Cell<bool>,
    is_body_unread: Cell<bool>,
    /// Waits to read while no timeout applies, and has to read again once one does.
    reader: RefCell<Option<Waker>>,
    /// Counts the request as in progress whose response is being written.
    in_flight: RefCell<Option<InFlightGuard>>,
    idle_timeout: Duration,
    head_timeout: Duration,
}

impl PhaseTracker {
    pub(crate) fn new(idle_timeout_ms: u64, head_timeout_ms: u64) -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            is_end_unmarked: Cell::new(false),
            is_reset_due: Cell::new(false),
            is_body_unread: Cell::new(false),
            reader: RefCell::default(),
            in_flight: RefCell::default(),
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

    /// To be called when the HTTP library has taken the whole response. The connection becomes idle, and the request is no
    /// longer in progress, when the library has written it.
    pub(crate) fn on_response_end(&self, in_flight: Option<InFlightGuard>) {
        self.phase.set(Phase::Writing);
        self.in_flight.replace(in_flight);
    }

    /// To be called when the response to a request is ready before the body of the request was read.
    pub(crate) fn on_body_unread(&self) {
        self.is_body_unread.set(true);
    }

    /// To be called when the rest of the body was read, or is given up.
    pub(crate) fn on_body_discarded(&self) {
        self.is_body_unread.set(false);
        if self.phase.get() == Phase::Discarding {
            self.become_idle();
        }
    }

    /// To be called when nothing is left to write.
    fn on_written(&self) {
        if self.phase.get() != Phase::Writing {
            return;
        }
        self.in_flight.take();
        if self.is_body_unread.get() {
            self.phase.set(Phase::Discarding);
        } else {
            self.become_idle();
        }
    }

    fn become_idle(&self) {
        self.phase.set(Phase::Idle);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
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
            Phase::Busy | Phase::Writing | Phase::Discarding => return,
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
            Poll::Pending if matches!(self.timer_phase, Phase::Idle | Phase::Head) => {
                self.timer.as_mut().poll(cx).map(Ok)
            }
            Poll::Pending => {
                self.phase_tracker.reader.replace(Some(cx.waker().clone()));
                Poll::Pending
            }
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

    /// The HTTP library flushes the connection only when it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.phase_tracker.on_written();
        }
        flushed
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
