//! One request of a connection and its answer.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::{Codec, Message};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Encoder;

use crate::body::BodySender;
use crate::connection::ListenError;

/// Longest part of a body that is encoded at a time, so that a large body is not copied whole.
const MAX_ENCODED_BYTES: usize = 32 << 10;

/// A request that has started, or that the connection answers itself.
pub(crate) struct Exchange<F, B> {
    /// Decodes the request and encodes the answer. Each exchange has its own, because a codec holds
    /// the state of one request.
    pub(crate) codec: Codec,
    /// The request's body while it is arriving.
    pub(crate) body: Option<BodySender>,
    /// Whether the caller waits for a `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    /// Whether requests behind this one may start before it is answered.
    pub(crate) overlaps: bool,
    pub(crate) stage: ExchangeStage<F, B>,
}

/// How far an exchange is.
pub(crate) enum ExchangeStage<F, B> {
    /// The handler works on the request.
    Running(Pin<Box<F>>),
    /// The answer waits for those before it.
    Answered(Response<B>),
    /// The connection answers the request itself and closes.
    Rejected(StatusCode),
    /// The body of the answer is being encoded.
    Sending(Pin<Box<B>>, Bytes),
    /// The answer is encoded.
    Done,
}

impl<F, B> Exchange<F, B>
where
    F: Future<Output = Response<B>>,
    B: MessageBody,
{
    /// Lets the handler work; returns whether its answer is ready now.
    pub(crate) fn poll_handler(&mut self, context: &mut Context<'_>) -> bool {
        let ExchangeStage::Running(handling) = &mut self.stage else {
            return false;
        };
        match handling.as_mut().poll(context) {
            Poll::Pending => false,
            Poll::Ready(response) => {
                self.stage = ExchangeStage::Answered(response);
                true
            }
        }
    }

    /// Whether the connection has to close after this exchange, apart from what others require.
    pub(crate) fn must_close(&self) -> bool {
        // Whether the caller goes on with the body or with its next request is not known.
        let unread = self.body.is_some();
        let closes = match &self.stage {
            ExchangeStage::Rejected(_) => true,
            ExchangeStage::Answered(response) => {
                response.head().connection_type() == ConnectionType::Close
            }
            _ => false,
        };
        unread || closes || !self.codec.keep_alive()
    }

    /// Encodes the head of the answer, which closes the connection if `close` is set.
    pub(crate) fn encode_head(
        &mut self,
        close: bool,
        output: &mut BytesMut,
    ) -> Result<(), ListenError> {
        let stage = std::mem::replace(&mut self.stage, ExchangeStage::Done);
        let (status, headers, body) = match stage {
            ExchangeStage::Answered(response) => {
                let (response, body) = response.into_parts();
                (response.status(), response.headers().clone(), Some(body))
            }
            ExchangeStage::Rejected(status) => (status, actix_http::header::HeaderMap::new(), None),
            other => {
                self.stage = other;
                return Ok(());
            }
        };
        // A flag of a response that closes the connection cannot be taken back, so a new response
        // is made.
        let mut head = Response::with_body(status, ());
        *head.headers_mut() = headers;
        if close {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = body.as_ref().map_or(BodySize::Sized(0), MessageBody::size);
        let message = Message::Item((head, size));
        self.codec
            .encode(message, output)
            .map_err(ListenError::Connection)?;
        if let Some(body) = body
            && !matches!(size, BodySize::None | BodySize::Sized(0))
        {
            self.stage = ExchangeStage::Sending(Box::pin(body), Bytes::new());
        }
        Ok(())
    }

    /// Encodes the next part of the body; returns whether there was one, or the body has ended.
    pub(crate) fn encode_body(
        &mut self,
        context: &mut Context<'_>,
        output: &mut BytesMut,
    ) -> Result<bool, ListenError> {
        let ExchangeStage::Sending(body, rest) = &mut self.stage else {
            return Ok(false);
        };
        if rest.is_empty() {
            match body.as_mut().poll_next(context) {
                Poll::Pending => return Ok(false),
                Poll::Ready(Some(Ok(chunk))) => *rest = chunk,
                Poll::Ready(Some(Err(_))) => return Err(ListenError::AnswerCutShort),
                Poll::Ready(None) => {
                    let end = Message::Chunk(None);
                    let encoded = self.codec.encode(end, output);
                    encoded.map_err(|_| ListenError::AnswerCutShort)?;
                    self.stage = ExchangeStage::Done;
                    return Ok(true);
                }
            }
        }
        // An empty chunk would end a body that is encoded in chunks.
        if !rest.is_empty() {
            let part = rest.split_to(rest.len().min(MAX_ENCODED_BYTES));
            let message = Message::Chunk(Some(part));
            self.codec
                .encode(message, output)
                .map_err(ListenError::Connection)?;
        }
        Ok(true)
    }
}
