//! Connections that can be made to go silent or break.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::TcpStream;
use ggs_model::{BootClock, Clock, WallTime};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::AbortHandle;

/// Bytes that a silent connection swallows at a time.
const SWALLOW_BYTES: usize = 4096;

/// Switches and counters of one connection, shared by its stream and its request handler.
#[derive(Debug)]
pub(crate) struct ConnectionControl {
    opened: WallTime,
    silent: Cell<bool>,
    requests: Cell<u64>,
    task: RefCell<Option<AbortHandle>>,
}

impl ConnectionControl {
    /// The control of a connection opened now.
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            opened: BootClock.wall(),
            silent: Cell::new(false),
            requests: Cell::new(0),
            task: RefCell::new(None),
        })
    }

    /// When the connection was opened.
    pub(crate) fn opened(&self) -> WallTime {
        self.opened
    }

    /// Requests that the connection carried.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Counts a request.
    pub(crate) fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Swallows all bytes from now on, in both directions.
    pub(crate) fn silence(&self) {
        self.silent.set(true);
    }

    /// Names the task that serves the connection.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Closes the connection at the next await of its task.
    pub(crate) fn close(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.abort();
        }
    }
}

/// A TCP stream under a [`ConnectionControl`].
#[derive(Debug)]
pub(crate) struct ControlledStream {
    inner: TcpStream,
    control: Rc<ConnectionControl>,
}

impl ControlledStream {
    /// Puts a stream under a control.
    pub(crate) fn new(inner: TcpStream, control: Rc<ConnectionControl>) -> Self {
        Self { inner, control }
    }

    /// The stream's control.
    pub(crate) fn control(&self) -> Rc<ConnectionControl> {
        Rc::clone(&self.control)
    }

    /// Reads and drops bytes; never ready, not even at the end of the stream.
    fn swallow(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; SWALLOW_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.inner).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Pending;
            }
        }
    }
}

impl AsyncRead for ControlledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.control.silent.get() {
            return self.swallow(context);
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.control.silent.get() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.control.silent.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
