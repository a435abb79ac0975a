//! A caller that reads answers as the protocol frames them, and so tells a cut one from a whole one.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Longest time for a whole answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WireAnswer {
    pub status: u16,
    pub verdict: Option<String>,
    pub body: Vec<u8>,
}

/// Why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireFailure {
    /// The connection ended or broke the protocol.
    Broken(String),
    /// Nothing more came in time.
    Hung,
}

/// One caller with one connection, kept between calls.
#[derive(Debug)]
pub struct WireCaller {
    address: SocketAddr,
    kept: Option<Framed<TcpStream, ClientCodec>>,
}

impl WireCaller {
    pub fn new(address: SocketAddr) -> Self {
        let kept = None;
        Self { address, kept }
    }

    /// Sends a request and reads its answer.
    pub async fn call(
        &mut self,
        method: Method,
        target: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<WireAnswer, WireFailure> {
        let exchange = self.exchange(method, target, headers, body);
        let answer = actix_rt::time::timeout(ANSWER_LIMIT, exchange).await;
        answer.unwrap_or(Err(WireFailure::Hung))
    }

    async fn exchange(
        &mut self,
        method: Method,
        target: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<WireAnswer, WireFailure> {
        let mut framed = if let Some(framed) = self.kept.take() {
            framed
        } else {
            let stream = TcpStream::connect(self.address).await;
            Framed::new(stream.map_err(broken)?, ClientCodec::default())
        };
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = target.parse().expect("target");
        let host = HeaderValue::from_str(&self.address.to_string()).expect("host");
        head.headers.insert(HeaderName::from_static("host"), host);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).expect("header");
            head.headers.insert(HeaderName::from_static(name), value);
        }
        let head = RequestHeadType::Owned(head);
        let size = BodySize::Sized(body.len() as u64);
        framed
            .feed(Message::Item((head, size)))
            .await
            .map_err(broken)?;
        if !body.is_empty() {
            let chunk = Bytes::from(body.to_owned());
            framed
                .feed(Message::Chunk(Some(chunk)))
                .await
                .map_err(broken)?;
        }
        framed.flush().await.map_err(broken)?;
        let answer: ResponseHead = match framed.next().await {
            Some(head) => head.map_err(broken)?,
            None => return Err(broken("connection ended before the answer")),
        };
        let body = self.read_body(framed).await?;
        let verdict = answer.headers.get("ggs-verdict");
        Ok(WireAnswer {
            status: answer.status.as_u16(),
            verdict: verdict.map(|verdict| verdict.to_str().expect("text").to_owned()),
            body,
        })
    }

    /// Reads a body to its end, and keeps the connection if it may be used again.
    async fn read_body(
        &mut self,
        framed: Framed<TcpStream, ClientCodec>,
    ) -> Result<Vec<u8>, WireFailure> {
        let reusable = framed.codec().keep_alive();
        if framed.codec().message_type() == MessageType::None {
            self.kept = reusable.then_some(framed);
            return Ok(Vec::new());
        }
        let mut framed = framed.map_codec(ClientCodec::into_payload_codec);
        let mut body = Vec::new();
        loop {
            match framed.next().await {
                Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Ok(None)) => break,
                Some(Err(error)) => return Err(broken(error)),
                None => return Err(broken("connection ended in the answer")),
            }
        }
        if reusable {
            self.kept = Some(framed.map_codec(ClientPayloadCodec::into_message_codec));
        }
        Ok(body)
    }
}

/// A failure with its cause.
#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn broken<E: ToString>(error: E) -> WireFailure {
    WireFailure::Broken(error.to_string())
}
