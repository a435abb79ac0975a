//! Keeps idle connections for reuse and limits the number of connections to each server.
//!
//! A server accepts a limited number of connections, which the gates divide among themselves. The
//! pool counts idle connections and those in use, so that this gate stays within its part.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use foldhash::{HashMap, HashMapExt};
use ggs_model::Moment;

use crate::connection::IdleState;
use crate::{ConnectionOptions, ServerConnection};

/// Time for which the connections of a server are used once each after it sent bytes that belong to
/// no request: the next such bytes may arrive after a connection has been reused.
const DISTRUST_TIME: Duration = Duration::from_secs(10);

/// Connections to one address.
#[derive(Debug, Default)]
struct AddressEntry {
    /// Idle connections, the most recently used last.
    idle: Vec<ServerConnection>,
    /// Number of connections in use.
    busy: usize,
    /// Until when no connection is reused.
    distrusted_until: Moment,
}

impl AddressEntry {
    /// Takes an idle connection that may be reused: the most recently used, or the longest idle one
    /// if it must have rested.
    fn take_idle(&mut self, reuse: ConnectionReuse, now: Moment) -> Option<ServerConnection> {
        match reuse {
            ConnectionReuse::Never => None,
            ConnectionReuse::Any => self.idle.pop(),
            ConnectionReuse::Rested(time) => {
                let since = self.idle.first()?.idle_since?;
                (now.since(since) >= time).then(|| self.idle.remove(0))
            }
        }
    }
}

/// Which idle connections may be reused for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// None: a new one must be opened.
    Never,
    /// Any.
    Any,
    /// Those that have been idle for this time.
    Rested(Duration),
}

/// State shared by the pool's clones and the permits it has issued.
#[derive(Debug)]
struct PoolState {
    options: ConnectionOptions,
    entries: RefCell<HashMap<SocketAddr, AddressEntry>>,
    /// Limits of single servers; other servers have the limit of the options.
    limits: RefCell<HashMap<SocketAddr, usize>>,
}

/// A pool of connections by server address; clones share one set of connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    state: Rc<PoolState>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(options: ConnectionOptions) -> Self {
        let entries = RefCell::new(HashMap::new());
        Self {
            state: Rc::new(PoolState {
                options,
                entries,
                limits: RefCell::new(HashMap::new()),
            }),
        }
    }

    /// The options that apply to all connections of the pool.
    pub fn options(&self) -> &ConnectionOptions {
        &self.state.options
    }

    /// Replaces the connection limits of single servers and closes idle connections beyond them.
    ///
    /// Connections in use finish their requests. A server that is missing from `limits` keeps its
    /// limit as long as the pool has an entry for its address.
    pub fn replace_connection_limits(&self, limits: impl IntoIterator<Item = (SocketAddr, usize)>) {
        let mut entries = self.state.entries.borrow_mut();
        let mut kept_limits = self.state.limits.borrow_mut();
        kept_limits.retain(|address, _| entries.contains_key(address));
        for (address, limit) in limits {
            kept_limits.insert(address, limit);
            if let Some(entry) = entries.get_mut(&address) {
                let room = limit.saturating_sub(entry.busy);
                let excess = entry.idle.len().saturating_sub(room);
                // Close the connections that have been idle longest.
                entry.idle.drain(..excess);
            }
        }
    }

    /// The most connections that may be open to `address`, idle ones included.
    pub fn connection_limit(&self, address: SocketAddr) -> usize {
        let limits = self.state.limits.borrow();
        limits
            .get(&address)
            .copied()
            .unwrap_or(self.state.options.connection_limit)
    }

    /// Reserves a connection to `address`; `None` if the limit's connections are all in use.
    ///
    /// Returns an idle connection together with the permit, if one is still usable and `reuse` allows
    /// it. Otherwise the holder of the permit may open a connection; if
    /// that would exceed the limit, the pool first closes an idle one.
    pub fn reserve(
        &self,
        address: SocketAddr,
        reuse: ConnectionReuse,
        now: Moment,
    ) -> Option<(ConnectionPermit, Option<ServerConnection>)> {
        let limit = self.connection_limit(address);
        let mut entries = self.state.entries.borrow_mut();
        let entry = entries.entry(address).or_default();
        let idle_timeout = self.state.options.idle_timeout;
        entry.idle.retain(|connection| {
            let since = connection.idle_since.unwrap_or(now);
            now.since(since) <= idle_timeout
        });
        let mut reused = None;
        while reused.is_none() {
            let Some(connection) = entry.take_idle(reuse, now) else {
                break;
            };
            match connection.idle_state() {
                IdleState::Usable => reused = Some(connection),
                IdleState::Closed => {}
                IdleState::HasBytes => {
                    entry.idle.clear();
                    entry.distrusted_until = now + DISTRUST_TIME;
                }
            }
        }
        if reused.is_none() && entry.busy + entry.idle.len() >= limit {
            // Close the connection that has been idle longest.
            if entry.idle.is_empty() {
                return None;
            }
            entry.idle.remove(0);
        }
        entry.busy += 1;
        let permit = ConnectionPermit {
            pool: self.clone(),
            address,
        };
        Some((permit, reused))
    }

    /// Closes the idle connections to `address`.
    ///
    /// Called when a connection turns out to be stale: if connection tracking between gate and
    /// server, as in a firewall or NAT, has dropped one connection, it has often dropped the others
    /// too.
    pub fn discard_idle(&self, address: SocketAddr) {
        if let Some(entry) = self.state.entries.borrow_mut().get_mut(&address) {
            entry.idle.clear();
        }
    }

    /// Closes the idle connections to `address`, and reuses none of its connections for some time, as
    /// the server sent bytes that belong to no request.
    pub fn distrust(&self, address: SocketAddr, now: Moment) {
        if let Some(entry) = self.state.entries.borrow_mut().get_mut(&address) {
            entry.idle.clear();
            entry.distrusted_until = now + DISTRUST_TIME;
        }
    }

    /// Whether there is an idle connection to `address` that has not reached its timeout; the server
    /// may have closed it.
    pub fn has_idle(&self, address: SocketAddr, now: Moment) -> bool {
        let entries = self.state.entries.borrow();
        let newest = entries.get(&address).and_then(|entry| entry.idle.last());
        let idle_since = newest.and_then(|connection| connection.idle_since);
        idle_since.is_some_and(|since| now.since(since) <= self.state.options.idle_timeout)
    }

    /// Number of connections to `address`, both idle and in use.
    pub fn connection_count(&self, address: SocketAddr) -> usize {
        let entries = self.state.entries.borrow();
        entries
            .get(&address)
            .map_or(0, |entry| entry.busy + entry.idle.len())
    }

    /// Closes idle connections that exceed the idle timeout or were closed by the server, and
    /// removes the entries of addresses without connections.
    pub fn sweep(&self, now: Moment) {
        let idle_timeout = self.state.options.idle_timeout;
        self.state.entries.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|connection| {
                let since = connection.idle_since.unwrap_or(now);
                now.since(since) <= idle_timeout && connection.idle_state() == IdleState::Usable
            });
            entry.busy > 0 || !entry.idle.is_empty() || now < entry.distrusted_until
        });
    }
}

/// Permit for one connection to a server, counted against the limit until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    pool: ConnectionPool,
    address: SocketAddr,
}

impl ConnectionPermit {
    /// Releases the permit and returns a reusable connection to the pool. The connection is closed
    /// instead if the limit was lowered in the meantime and would be exceeded.
    pub fn put_back(self, mut connection: ServerConnection, now: Moment) {
        connection.idle_since = Some(now);
        let limit = self.pool.connection_limit(self.address);
        let mut entries = self.pool.state.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(&self.address)
            && now >= entry.distrusted_until
            && entry.busy + entry.idle.len() <= limit
        {
            entry.idle.push(connection);
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut entries = self.pool.state.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(&self.address) {
            entry.busy = entry.busy.saturating_sub(1);
        }
    }
}
