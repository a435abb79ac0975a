//! Caller socket with a timeout for writes that make no progress.
//!
//! Without it, a caller that stops reading its answer, or a network path that drops all packets,
//! would hold a request slot of a server forever.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A caller's socket that fails writes which make no progress.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Runs while a write is waiting.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Longest time for which a write may make no progress; from `caller_stall_ms` in the settings.
    stall_timeout: Duration,
}

impl CallerStream {
    /// Wraps a socket whose writes fail after `stall_timeout` without progress.
    pub(crate) fn new(stream: TcpStream, stall_timeout: Duration) -> Self {
        Self {
            stream,
            stall_timer: None,
            stall_timeout,
        }
    }

    /// Fails a pending write with `TimedOut` once it has made no progress for the timeout.
    fn limit_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stall_timer = None;
            return polled;
        }
        let stall_timeout = self.stall_timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        match stall_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_stall(context, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ActixStream for CallerStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
