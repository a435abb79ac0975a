//! The request path: attempts on server connections, deadlines and whole answers.
//!
//! [`RelayLoop`] decides which server an attempt goes to and what follows a failure. It is generic
//! over a [`ServerTransport`], so that the decisions are tested without sockets; [`HttpTransport`] is
//! the adapter that speaks HTTP/1.1.
//!
//! HTTP goes through `actix-http`'s client codec and not through `awc`: the path has to know whether
//! a connection was used before, whether any byte of a request left, and when an answer ended, and
//! `awc`'s pool hides all three.

mod body;
mod connection;
mod failure;
mod pool;
mod relay;
mod request;
mod retry;
mod transport;

pub use body::{BodyError, RelayBody};
pub use connection::{AnswerFraming, ConnectionOptions, ServerConnection};
pub use failure::{AttemptFailure, FailureKind, RelayFailure};
pub use pool::{ConnectionPermit, ConnectionPool};
pub use relay::{AttemptGuard, RelayAnswer, RelayLoop, RetrySource};
pub use request::{BodyTimeout, RelayRequest};
pub use retry::{NextStep, RetryContext, next_step};
pub use transport::{
    AnswerBody, AttemptPlan, HttpTransport, ServerAnswer, ServerTransport, announced_size,
    read_whole,
};
