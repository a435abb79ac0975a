//! Idle connections to servers, and the count of all connections held to each.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use foldhash::{HashMap, HashMapExt};
use ggs_model::Moment;

use crate::{ConnectionOptions, ServerConnection};

/// Connections to one address.
#[derive(Debug, Default)]
struct AddressEntry {
    /// Connections between two requests, the latest used last.
    idle: Vec<ServerConnection>,
    /// Connections in use.
    busy: usize,
}

/// State shared by the pool and the connections out of it.
#[derive(Debug)]
struct PoolState {
    options: ConnectionOptions,
    entries: RefCell<HashMap<SocketAddr, AddressEntry>>,
    /// Shares of single servers; others have the share of the options.
    limits: RefCell<HashMap<SocketAddr, usize>>,
}

/// Connections to servers by address; clones share their connections.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    state: Rc<PoolState>,
}

impl ConnectionPool {
    /// A pool without connections.
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

    /// Limits of the pool's connections.
    pub fn options(&self) -> &ConnectionOptions {
        &self.state.options
    }

    /// Replaces the shares of single servers, and closes idle connections beyond them.
    ///
    /// Connections in use finish their requests. A server that `shares` leaves out keeps its share
    /// while connections to it are held.
    pub fn replace_connection_limits(&self, limits: impl IntoIterator<Item = (SocketAddr, usize)>) {
        let mut entries = self.state.entries.borrow_mut();
        let mut kept_limits = self.state.limits.borrow_mut();
        kept_limits.retain(|address, _| entries.contains_key(address));
        for (address, limit) in limits {
            kept_limits.insert(address, limit);
            if let Some(entry) = entries.get_mut(&address) {
                let room = limit.saturating_sub(entry.busy);
                let excess = entry.idle.len().saturating_sub(room);
                // The oldest go.
                entry.idle.drain(..excess);
            }
        }
    }

    /// Connections that may be held to `address`.
    pub fn connection_limit(&self, address: SocketAddr) -> usize {
        let limits = self.state.limits.borrow();
        limits
            .get(&address)
            .copied()
            .unwrap_or(self.state.options.connection_limit)
    }

    /// Reserves a place for a connection, `None` when the share is in use.
    ///
    /// An idle connection that is still quiet comes with it unless `fresh` is set; an idle one is
    /// closed where a fresh one would exceed the share.
    pub fn reserve(
        &self,
        address: SocketAddr,
        new_connection: bool,
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
        while !new_connection && reused.is_none() {
            let Some(connection) = entry.idle.pop() else {
                break;
            };
            reused = Some(connection).filter(ServerConnection::is_open_and_idle);
        }
        if reused.is_none() && entry.busy + entry.idle.len() >= limit {
            // The oldest idle connection makes room.
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
    /// Whatever lost track of one connection between two hosts has often lost track of the others.
    pub fn discard_idle(&self, address: SocketAddr) {
        if let Some(entry) = self.state.entries.borrow_mut().get_mut(&address) {
            entry.idle.clear();
        }
    }

    /// Connections held to `address`, idle ones included.
    pub fn connection_count(&self, address: SocketAddr) -> usize {
        let entries = self.state.entries.borrow();
        entries
            .get(&address)
            .map_or(0, |entry| entry.busy + entry.idle.len())
    }

    /// Closes idle connections that are too old or were closed by their server, and forgets
    /// addresses without connections.
    pub fn sweep(&self, now: Moment) {
        let idle_timeout = self.state.options.idle_timeout;
        self.state.entries.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|connection| {
                let since = connection.idle_since.unwrap_or(now);
                now.since(since) <= idle_timeout && connection.is_open_and_idle()
            });
            entry.busy > 0 || !entry.idle.is_empty()
        });
    }
}

/// A reserved place; given back when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    pool: ConnectionPool,
    address: SocketAddr,
}

impl ConnectionPermit {
    /// Gives the place back together with a connection that may carry another request; the
    /// connection is closed if it is beyond a share that became smaller.
    pub fn put_back(self, mut connection: ServerConnection, now: Moment) {
        connection.idle_since = Some(now);
        let limit = self.pool.connection_limit(self.address);
        let mut entries = self.pool.state.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(&self.address)
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
