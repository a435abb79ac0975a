//! Errors of the adapters when the platform or a connection fails.
//!
//! A wrong error makes a gate treat a write that took effect as one that did not, or the reverse.

use std::time::Duration;

use ggs_standin::{DownMode, PlatformFaults, PlatformHandle, PlatformOptions, start_platform};
use ggs_store::{
    HttpPlatform, MemoryPlatform, ObjectStore, RowPut, StoreError, TableStore, TableWrite,
    WriteOutcome,
};
use tokio::io::AsyncReadExt;

/// Timeout of a call, shorter than the delay of the slow platform (400 ms).
const TIMEOUT: Duration = Duration::from_millis(250);

/// Variant of a [`StoreError`], without its texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorKind {
    Unavailable,
    Unanswered,
    BadAnswer,
}

impl From<&StoreError> for ErrorKind {
    fn from(error: &StoreError) -> Self {
        match error {
            StoreError::Unavailable { .. } => Self::Unavailable,
            StoreError::Unanswered { .. } => Self::Unanswered,
            StoreError::BadAnswer { .. } => Self::BadAnswer,
        }
    }
}

/// A fault with the error expected of a write, and whether the row exists afterwards.
struct FaultCase {
    name: &'static str,
    faults: PlatformFaults,
    error: ErrorKind,
    written: bool,
}

fn fault_cases() -> Vec<FaultCase> {
    let none = PlatformFaults::default;
    vec![
        FaultCase {
            name: "refused connections",
            faults: PlatformFaults {
                down: DownMode::Refused,
                ..none()
            },
            error: ErrorKind::Unavailable,
            written: false,
        },
        FaultCase {
            name: "503",
            faults: PlatformFaults {
                down: DownMode::Unavailable,
                ..none()
            },
            error: ErrorKind::Unavailable,
            written: false,
        },
        FaultCase {
            name: "answer lost after the write",
            faults: PlatformFaults {
                lose_answers: 1,
                ..none()
            },
            error: ErrorKind::Unanswered,
            written: true,
        },
        FaultCase {
            name: "slow: the write takes effect after its timeout",
            faults: PlatformFaults {
                slow_ms: 400,
                ..none()
            },
            error: ErrorKind::Unanswered,
            written: true,
        },
        FaultCase {
            name: "silent connection",
            faults: PlatformFaults {
                silence_connections: true,
                ..none()
            },
            error: ErrorKind::Unanswered,
            written: false,
        },
    ]
}

fn row_write(key: &str) -> TableWrite {
    let put = RowPut {
        key: key.to_owned(),
        value: 1.into(),
    };
    TableWrite {
        checks: vec![],
        puts: vec![put],
    }
}

async fn start() -> (PlatformHandle, HttpPlatform) {
    let standin = start_platform(PlatformOptions::default())
        .await
        .expect("start");
    let platform = HttpPlatform::builder(&standin.url())
        .timeout(TIMEOUT)
        .build();
    // Leaves an idle connection in the pool, so that each fault affects a reused connection.
    assert_eq!(platform.get("row").await, Ok(None));
    (standin, platform)
}

#[actix_rt::test]
async fn errors_tell_whether_a_write_may_have_taken_effect() {
    for case in fault_cases() {
        let (standin, platform) = start().await;
        standin.set_faults(case.faults);
        // Lets the client see the closed connections before it chooses one from its pool.
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        let error = platform
            .write(&row_write("row"))
            .await
            .expect_err(case.name);
        assert_eq!(
            ErrorKind::from(&error),
            case.error,
            "{}: {error}",
            case.name
        );
        // Lets the slow write take effect: 400 ms after it was sent, 150 ms after its timeout.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        standin.set_faults(PlatformFaults::default());
        // Lets a platform that refused connections open its port again.
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        let row = platform.get("row").await.expect(case.name);
        assert_eq!(row.is_some(), case.written, "{}", case.name);
    }
}

/// Two pooled connections fall silent. If only the one that timed out were dropped, the next call
/// would use the other one and time out too.
#[actix_rt::test]
async fn calls_after_a_silent_connection_use_a_new_one() {
    let (standin, platform) = start().await;
    let both = futures_util::future::join(platform.get("a"), platform.get("b")).await;
    assert_eq!(
        both,
        (Ok(None), Ok(None)),
        "two idle connections in the pool"
    );
    standin.set_faults(PlatformFaults {
        silence_connections: true,
        ..PlatformFaults::default()
    });
    let error = platform.get("a").await.expect_err("silent");
    assert_eq!(ErrorKind::from(&error), ErrorKind::Unanswered, "{error}");
    assert_eq!(
        platform.get("a").await,
        Ok(None),
        "the other silent connection is not used"
    );
    assert_eq!(
        platform.write(&row_write("a")).await,
        Ok(WriteOutcome::Written)
    );
}

#[actix_rt::test]
async fn call_to_a_frozen_platform_times_out_as_unanswered() {
    let (standin, platform) = start().await;
    standin.set_faults(PlatformFaults {
        freeze: true,
        ..PlatformFaults::default()
    });
    let error = platform.get("row").await.expect_err("frozen");
    assert_eq!(ErrorKind::from(&error), ErrorKind::Unanswered, "{error}");
}

/// Bytes that a listener sends on each connection, and the error expected of a write.
struct AnswerCase {
    name: &'static str,
    answer: &'static str,
    error: ErrorKind,
}

#[actix_rt::test]
async fn faulty_answers_give_unanswered_or_bad_answer() {
    let cases = [
        AnswerCase {
            name: "closed at once",
            answer: "",
            error: ErrorKind::Unanswered,
        },
        AnswerCase {
            name: "body shorter than its length",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n\"written\"",
            error: ErrorKind::Unanswered,
        },
        AnswerCase {
            name: "truncated chunked body without content-length",
            answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n\"written\"\r\n",
            error: ErrorKind::Unanswered,
        },
        AnswerCase {
            name: "not HTTP",
            answer: "\0\0\0\0\r\n\r\n",
            error: ErrorKind::Unanswered,
        },
        AnswerCase {
            name: "another format",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nyes!",
            error: ErrorKind::BadAnswer,
        },
        AnswerCase {
            name: "redirect",
            answer: "HTTP/1.1 307 Moved\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n",
            error: ErrorKind::BadAnswer,
        },
        AnswerCase {
            name: "500: the write may have taken effect",
            answer: "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n",
            error: ErrorKind::Unanswered,
        },
    ];
    for case in cases {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let address = listener.local_addr().expect("address");
        let server = actix_rt::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("accept");
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let answer = case.answer.as_bytes();
                let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, answer).await;
            }
        });
        let platform = HttpPlatform::builder(&format!("http://{address}"));
        let platform = platform.timeout(TIMEOUT).build();
        let error = platform
            .write(&row_write("row"))
            .await
            .expect_err(case.name);
        assert_eq!(
            ErrorKind::from(&error),
            case.error,
            "{}: {error}",
            case.name
        );
        server.abort();
    }
}

/// A fault of the platform in memory with the error expected of a write, and whether the write
/// takes effect.
struct MemoryCase {
    name: &'static str,
    inject: fn(&MemoryPlatform),
    error: ErrorKind,
    written: bool,
}

#[actix_rt::test]
async fn memory_platform_write_fails_as_configured() {
    let cases = [
        MemoryCase {
            name: "down",
            inject: |platform| platform.set_down(true),
            error: ErrorKind::Unavailable,
            written: false,
        },
        MemoryCase {
            name: "answer lost",
            inject: |platform| platform.lose_answers(1),
            error: ErrorKind::Unanswered,
            written: true,
        },
        MemoryCase {
            name: "request lost",
            inject: |platform| platform.lose_requests(1),
            error: ErrorKind::Unanswered,
            written: false,
        },
    ];
    for case in cases {
        let platform = MemoryPlatform::default();
        (case.inject)(&platform);
        let error = platform
            .write(&row_write("row"))
            .await
            .expect_err(case.name);
        assert_eq!(ErrorKind::from(&error), case.error, "{}", case.name);
        platform.set_down(false);
        let row = platform.get("row").await.expect(case.name);
        assert_eq!(row.is_some(), case.written, "{}", case.name);
        assert_eq!(
            platform.write(&row_write("row")).await,
            Ok(WriteOutcome::Written)
        );
    }
}

/// `awc` reports no error for a truncated body, so the adapter has to compare its length.
#[actix_rt::test]
async fn truncated_object_is_not_returned_as_complete() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("bind");
    let address = listener.local_addr().expect("address");
    let server = actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept");
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf";
            let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, answer).await;
        }
    });
    let platform = HttpPlatform::builder(&format!("http://{address}")).build();
    let error = platform.fetch("bill").await.expect_err("truncated");
    assert_eq!(ErrorKind::from(&error), ErrorKind::Unanswered, "{error}");
    server.abort();
}
