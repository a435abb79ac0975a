//! Sends a request to the servers of a service until one answers or no retry is allowed.
//!
//! [`RelayLoop`] chooses the server of each attempt and decides what follows a failure. It is
//! generic over [`ServerTransport`], so that these decisions are tested without sockets;
//! [`HttpTransport`] implements the trait over HTTP/1.1.
//!
//! HTTP uses the client codec of `actix-http` and not `awc`. The retry decision depends on whether
//! a connection was reused, whether any byte of the request was sent, and when the answer ended;
//! the connection pool of `awc` exposes none of these.

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
pub use pool::{ConnectionPermit, ConnectionPool, ConnectionReuse};
pub use relay::{AttemptGuard, RelayAnswer, RelayLoop, RetryBudget};
pub use request::{BodyTimeout, RelayRequest};
pub use retry::{NextStep, RetryContext, next_step};
pub use transport::{
    AnswerBody, AttemptPlan, HttpTransport, ServerAnswer, ServerTransport, announced_size,
    read_whole,
};
