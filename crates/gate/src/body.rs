//! Bodies of answers to callers.
//!
//! A body is either complete or streamed from a server. A streamed body keeps the attempt and the
//! request open until its end, and records a failure if it is cut off.

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
    /// A complete body.
    Whole {
        /// The bytes; `None` once taken.
        bytes: Option<Bytes>,
        /// Length of the body in bytes.
        length: u64,
    },
    /// A body that is forwarded as it arrives from a server or another gate.
    Streamed(Box<StreamedBody>),
}

/// A body that is still arriving, with the guards that are released when it ends.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    /// The source of the bytes.
    pub(crate) body: RelayBody,
    /// Guard of the attempt at the server; `None` for an answer that comes from another gate.
    pub(crate) guard: Option<AttemptGuard<GateChooser, BootClock>>,
    /// Span of the caller's request.
    pub(crate) span: RequestSpan,
}

impl GateBody {
    /// Creates a complete body.
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
