//! Bodies of answers to callers: known bytes, or a stream from a server.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use ggs_limit::ByteLease;
use ggs_place::SendOutcome;
use ggs_relay::{BodyError, RelayBody};

use crate::attempt::SendGuard;

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum EdgeBody {
    /// The whole body.
    Whole(WholeBody),
    /// A body that is forwarded as it is received from the server.
    Streamed(StreamedBody),
}

/// A body of known bytes.
#[derive(Debug)]
pub(crate) struct WholeBody {
    /// `None` once the bytes are taken.
    bytes: Option<Bytes>,
    /// Length in bytes.
    length: u64,
    /// The memory that the bytes take, until they are written.
    _lease: Option<ByteLease>,
}

/// A body that is received from a server or through another gate.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    pub(crate) body: Box<RelayBody>,
    /// Keeps the send counted as in flight until the body ends; `None` for an answer through another
    /// gate, which counts it itself.
    pub(crate) guard: Option<SendGuard>,
}

impl EdgeBody {
    /// A body of known bytes.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::leased(bytes, None)
    }

    /// A body of known bytes, with the memory that it takes.
    pub(crate) fn leased(bytes: Bytes, lease: Option<ByteLease>) -> Self {
        Self::Whole(WholeBody {
            length: bytes.len() as u64,
            bytes: Some(bytes),
            _lease: lease,
        })
    }
}

impl MessageBody for EdgeBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(whole) => BodySize::Sized(whole.length),
            Self::Streamed(streamed) => streamed.body.size(),
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match &mut *self {
            Self::Whole(whole) => {
                let bytes = whole.bytes.take();
                Poll::Ready(bytes.filter(|bytes| !bytes.is_empty()).map(Ok))
            }
            Self::Streamed(streamed) => {
                let polled = Pin::new(&mut streamed.body).poll_next(context);
                if matches!(polled, Poll::Ready(Some(Err(_))))
                    && let Some(guard) = &streamed.guard
                {
                    guard.set_outcome(SendOutcome::Failed);
                }
                polled
            }
        }
    }
}
