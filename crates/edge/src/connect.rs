//! Opens connections to servers. How that ends is counted, so that a server that refuses can be told
//! from a network that does not answer, and shows whether this gate reaches the servers.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use ggs_reach::ReachEvent;
use ggs_relay::ServerConnection;
use strum::IntoStaticStr;

use crate::core::EdgeCore;
use crate::service::ServiceState;

/// How opening a connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ConnectOutcome {
    /// It is open.
    Opened,
    /// The host answered that nothing listens.
    Refused,
    /// The connection was reset.
    Reset,
    /// Nothing answered in time.
    TimedOut,
    /// Another error of the operating system.
    Failed,
}

impl From<&io::Error> for ConnectOutcome {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset => Self::Reset,
            ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

impl<W, S> EdgeCore<W, S> {
    /// Opens a connection to a server of a service.
    pub(crate) async fn open_connection(
        &self,
        service: &ServiceState,
        address: SocketAddr,
    ) -> io::Result<ServerConnection> {
        let opened = ServerConnection::open(address, self.pool.options(), &self.codec).await;
        let outcome = opened.as_ref().err().map(ConnectOutcome::from);
        let outcome = outcome.unwrap_or(ConnectOutcome::Opened);
        self.metrics.count_connect(outcome);
        let event = match outcome {
            ConnectOutcome::Opened => ReachEvent::Opened,
            _ => ReachEvent::NotOpened,
        };
        self.note_reach(service, address, event);
        opened
    }
}
