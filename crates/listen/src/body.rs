//! The body of a request on its way from the connection to the handler.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;

/// Bytes of a body that are held for a handler that does not take them yet.
const MAX_HELD_BYTES: usize = 32 << 10;

/// State that both ends of a body share.
#[derive(Debug, Default)]
struct BodyState {
    chunks: VecDeque<Bytes>,
    held_bytes: usize,
    /// How the body ended; `None` while it is arriving.
    end: Option<BodyEnd>,
    /// Whether the handler has asked for a part of the body.
    wanted: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// How a body ended.
#[derive(Debug)]
enum BodyEnd {
    Complete,
    Failed(PayloadError),
}

/// The handler's end of a body.
#[derive(Debug)]
pub(crate) struct RequestBody {
    state: Rc<RefCell<BodyState>>,
}

/// The connection's end of a body. Dropping it before the end makes the body incomplete.
#[derive(Debug)]
pub(crate) struct BodySender {
    state: Weak<RefCell<BodyState>>,
}

/// What the handler does with a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyDemand {
    /// It takes more.
    Wanted,
    /// It holds as much as it may.
    Paused,
    /// It has dropped the body.
    Dropped,
}

/// Creates the two ends of a body.
pub(crate) fn request_body() -> (BodySender, RequestBody) {
    let state = Rc::default();
    let sender = BodySender {
        state: Rc::downgrade(&state),
    };
    (sender, RequestBody { state })
}

impl BodySender {
    /// Whether the handler takes more; wakes the task of `context` when that changes.
    pub(crate) fn demand(&self, context: &Context<'_>) -> BodyDemand {
        let Some(state) = self.state.upgrade() else {
            return BodyDemand::Dropped;
        };
        let mut state = state.borrow_mut();
        if state.held_bytes < MAX_HELD_BYTES {
            return BodyDemand::Wanted;
        }
        state.writer = Some(context.waker().clone());
        BodyDemand::Paused
    }

    /// Whether the handler waits for a part of the body.
    pub(crate) fn is_awaited(&self) -> bool {
        let state = self.state.upgrade();
        state.is_some_and(|state| state.borrow().wanted)
    }

    /// Passes on a part of the body.
    pub(crate) fn send(&self, chunk: Bytes) {
        self.update(|state| {
            state.held_bytes += chunk.len();
            state.chunks.push_back(chunk);
        });
    }

    /// Ends the body.
    pub(crate) fn complete(self) {
        self.update(|state| state.end = Some(BodyEnd::Complete));
    }

    /// Ends the body with an error.
    pub(crate) fn fail(self, error: PayloadError) {
        self.update(|state| state.end = Some(BodyEnd::Failed(error)));
    }

    /// Changes the state, if the handler still has the body, and wakes the handler.
    fn update(&self, change: impl FnOnce(&mut BodyState)) {
        let Some(state) = self.state.upgrade() else {
            return;
        };
        let mut state = state.borrow_mut();
        change(&mut state);
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.update(|state| {
            let incomplete = || BodyEnd::Failed(PayloadError::Incomplete(None));
            state.end.get_or_insert_with(incomplete);
        });
    }
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let mut state = self.state.borrow_mut();
        if let Some(chunk) = state.chunks.pop_front() {
            state.held_bytes -= chunk.len();
            if let Some(writer) = state.writer.take() {
                writer.wake();
            }
            return Poll::Ready(Some(Ok(chunk)));
        }
        match state.end.take() {
            None => {
                state.reader = Some(context.waker().clone());
                state.wanted = true;
                Poll::Pending
            }
            Some(BodyEnd::Complete) => {
                state.end = Some(BodyEnd::Complete);
                Poll::Ready(None)
            }
            Some(BodyEnd::Failed(error)) => {
                state.end = Some(BodyEnd::Complete);
                Poll::Ready(Some(Err(error)))
            }
        }
    }
}
