//! Bodies of answers to callers: known bytes, or a stream from a server.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use ggs_place::SendOutcome;
use ggs_relay::{BodyError, RelayBody};

use crate::attempt::SendGuard;

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum EdgeBody {
    /// The whole body, `None` once it is taken, and its length in bytes.
    Whole(Option<Bytes>, u64),
    /// A body that is forwarded as it is received from the server.
    Streamed(StreamedBody),
}

/// A body that is received from a server, with the guard of its send.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    pub(crate) body: Box<RelayBody>,
    /// Keeps the send counted as in flight until the body ends.
    pub(crate) guard: SendGuard,
}

impl EdgeBody {
    /// A body of known bytes.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        Self::Whole(Some(bytes), length)
    }
}

impl MessageBody for EdgeBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(_, length) => BodySize::Sized(*length),
            Self::Streamed(streamed) => streamed.body.size(),
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match &mut *self {
            Self::Whole(bytes, _) => {
                Poll::Ready(bytes.take().filter(|bytes| !bytes.is_empty()).map(Ok))
            }
            Self::Streamed(streamed) => {
                let polled = Pin::new(&mut streamed.body).poll_next(context);
                if matches!(polled, Poll::Ready(Some(Err(_)))) {
                    streamed.guard.set_outcome(SendOutcome::Failed);
                }
                polled
            }
        }
    }
}
