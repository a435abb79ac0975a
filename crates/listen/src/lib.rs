//! Serves HTTP/1.1 connections of callers.
//!
//! A caller may send further requests before the first is answered, and it takes whatever follows
//! an answer that closes the connection as not read, so it sends that again. A request must
//! therefore not be passed on before it is certain that no answer before it closes the connection.
//! The dispatcher of `actix-http` decodes requests ahead and runs all that it has decoded; a
//! [`serve_connection`] decodes one request at a time, with the codec of `actix-http`, and decides
//! before each whether it may start:
//!
//! - a request starts when all before it are answered, and no answer has closed the connection;
//! - a request that the handler allows to overlap, because it is idempotent, may start earlier if
//!   all that are unanswered overlap too. An answer that would close the connection then leaves
//!   that to the answer of the last request that has started.
//!
//! Answers are written in the order of their requests. [`accept_connections`] runs the accept loop
//! around it.

mod accept;
mod arrivals;
mod body;
mod connection;
mod exchange;

pub use accept::{OpenConnections, RequestHandler, accept_connections};
pub use connection::{ListenError, ListenOptions, serve_connection};
