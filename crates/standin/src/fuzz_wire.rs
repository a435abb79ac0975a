//! Requests and answers of the fuzzed server as bytes.

use std::io;
use std::time::Duration;

use ggs_model::HeaderNames;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest head that is read, in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// Length of an answer unless the request asks for another, in bytes.
pub(crate) const DEFAULT_BYTES: u64 = 64;

/// Time between the pieces of a slow answer.
const PIECE_DELAY: Duration = Duration::from_millis(2);

/// An answer with a length.
pub(crate) fn sized(head: &str, length: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("{head}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// An answer in two chunks, with or without the end.
pub(crate) fn chunked(head: &str, body: &[u8], ended: bool) -> Vec<u8> {
    let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let (first, second) = body.split_at(body.len() / 2);
    for chunk in [first, second] {
        if !chunk.is_empty() {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
    }
    if ended {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    bytes
}

/// Writes bytes and has the connection closed.
pub(crate) async fn cut(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<bool> {
    stream.write_all(bytes).await?;
    Ok(false)
}

/// Writes bytes in seven pieces.
pub(crate) async fn drip(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<bool> {
    for piece in bytes.chunks(bytes.len().div_ceil(7)) {
        stream.write_all(piece).await?;
        actix_rt::time::sleep(PIECE_DELAY).await;
    }
    Ok(true)
}

/// What matters of a request.
#[derive(Debug)]
pub(crate) struct ReadRequest {
    pub(crate) token: String,
    pub(crate) attempt: String,
    pub(crate) bytes: u64,
}

/// Reads a request with its whole body; `None` at the end of the connection.
pub(crate) async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<ReadRequest>> {
    let head_end = loop {
        let end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            break end + 4;
        }
        if buffer.len() > HEAD_LIMIT || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let header = |name: &str| {
        let start = format!("{name}: ");
        head.lines().find_map(|line| line.strip_prefix(&start))
    };
    let length = header("content-length").and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < head_end + length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    buffer.drain(..head_end + length);
    let line = head.lines().next().unwrap_or_default();
    let parameter = |name: &str| {
        let value = line.split_once(&format!("{name}="))?.1;
        value.split(['&', ' ']).next()
    };
    let bytes = parameter("bytes").and_then(|bytes| bytes.parse().ok());
    Ok(Some(ReadRequest {
        token: parameter("token").unwrap_or_default().to_owned(),
        attempt: header(HeaderNames::REQUEST_ID).unwrap_or("0").to_owned(),
        bytes: bytes.unwrap_or(DEFAULT_BYTES),
    }))
}
