//! Small helpers around requests and answers.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{Request, Response, ResponseBuilder, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ggs_store::decode_name;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// An answer with a text body.
pub(crate) fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(body.into()))
}

/// An answer with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut builder = Response::build(StatusCode::OK);
            builder.insert_header(("content-type", "application/json"));
            finish(builder, body)
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer with the builder's head.
pub(crate) fn finish(
    mut builder: ResponseBuilder,
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    builder.body(body).map_into_boxed_body()
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(request: &mut Request) -> Result<Bytes, PayloadError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body.freeze())
}

/// Reads a JSON body; the error is the answer to send.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
) -> Result<T, Response<BoxBody>> {
    let body = read_body(request).await;
    let body = body.map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|error| text(StatusCode::BAD_REQUEST, format!("body: {error}")))
}

/// The decoded value of a query parameter.
pub(crate) fn query(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = { pairs }.find(|(key, _)| *key == name)?;
    decode_name(value)
}

/// The number in a query parameter; `default` if it is missing or not a number.
pub(crate) fn query_number(request: &Request, name: &str, default: u64) -> u64 {
    let value = query(request, name);
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// The text of a header.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head().headers().get(name)?.to_str().ok()
}
