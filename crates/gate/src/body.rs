//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use ggs_model::BootClock;
use ggs_pick::AttemptOutcome;
use ggs_relay::{AttemptGuard, BodyError, RelayBody};

use crate::chooser::GateChooser;
use crate::span::RequestSpan;

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum GateBody {
    /// All of it.
    Whole {
        /// The bytes; `None` once taken.
        bytes: Option<Bytes>,
        /// Length of the bytes.
        length: u64,
    },
    /// Passed on as it comes from the server.
    Streamed(Box<StreamedBody>),
}

/// A body that comes from a server, with what has to end when it ends.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    /// The server's body.
    pub(crate) body: RelayBody,
    /// The attempt at the server; `None` for an answer that another gate passes on.
    pub(crate) guard: Option<AttemptGuard<GateChooser, BootClock>>,
    /// The caller's request.
    pub(crate) span: RequestSpan,
}

impl GateBody {
    /// A body of known bytes.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        Self::Whole {
            bytes: Some(bytes),
            length,
        }
    }
}

impl MessageBody for GateBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole { length, .. } => BodySize::Sized(*length),
            Self::Streamed(streamed) => streamed.body.size(),
        }
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match &mut *self {
            Self::Whole { bytes, .. } => {
                Poll::Ready(bytes.take().filter(|bytes| !bytes.is_empty()).map(Ok))
            }
            Self::Streamed(streamed) => {
                let polled = Pin::new(&mut streamed.body).poll_next(context);
                if matches!(polled, Poll::Ready(Some(Err(_)))) {
                    if let Some(guard) = &mut streamed.guard {
                        guard.set_outcome(AttemptOutcome::Failed);
                    }
                    streamed.span.set_verdict("cut");
                }
                polled
            }
        }
    }
}
