//! Table of servers, addressed by handles with a generation.
//!
//! An index is reused for another server only when no attempt is in flight on the old one, and then
//! with a new generation. So the end of an attempt never counts for the wrong server.

use std::collections::HashMap;

use foldhash::fast::FixedState;
use ggs_model::ServerId;

use crate::{ServerHandle, ServerSpec};

/// One server and what a policy stores for it.
#[derive(Clone, Debug)]
pub(crate) struct TableEntry<T> {
    /// Address and incarnation.
    pub(crate) server: ServerId,
    /// Number of incarnations that had this index before.
    pub(crate) generation: u32,
    /// In-flight attempts of this gate.
    pub(crate) in_flight: u32,
    /// Whether the server is in the current list and may be chosen.
    pub(crate) listed: bool,
    /// Data of the policy.
    pub(crate) value: T,
}

impl<T> TableEntry<T> {
    /// Whether the index may be reused for another incarnation.
    fn is_free(&self) -> bool {
        !self.listed && self.in_flight == 0
    }
}

/// Servers by handle; unlisted ones stay until their index is reused.
#[derive(Clone, Debug)]
pub(crate) struct ServerTable<T> {
    entries: Vec<TableEntry<T>>,
    indexes: HashMap<ServerId, u32, FixedState>,
    listed_count: usize,
}

impl<T> Default for ServerTable<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            indexes: HashMap::with_hasher(FixedState::default()),
            listed_count: 0,
        }
    }
}

impl<T> ServerTable<T> {
    /// Replaces the list of servers that may be chosen.
    ///
    /// `make_value` returns the value of an incarnation that is new, or that returns to the list;
    /// for the latter it is given the old value.
    pub(crate) fn replace(
        &mut self,
        specs: &[ServerSpec],
        mut make_value: impl FnMut(&ServerSpec, Option<&T>) -> T,
    ) {
        let was_listed: Vec<bool> = self.entries.iter().map(|entry| entry.listed).collect();
        for entry in &mut self.entries {
            entry.listed = false;
        }
        // Known incarnations first, so that a new one cannot take the index of one that stays.
        for spec in specs {
            let Some(&index) = self.indexes.get(&spec.server) else {
                continue;
            };
            let entry = &mut self.entries[index as usize];
            if !was_listed[index as usize] && !entry.listed {
                entry.value = make_value(spec, Some(&entry.value));
            }
            entry.listed = true;
        }
        for spec in specs {
            if !self.indexes.contains_key(&spec.server) {
                let value = make_value(spec, None);
                self.insert(spec.server, value);
            }
        }
        self.listed_count = self.entries.iter().filter(|entry| entry.listed).count();
    }

    /// Inserts a new incarnation, at a free index if there is one.
    fn insert(&mut self, server: ServerId, value: T) {
        let free = self.entries.iter().position(TableEntry::is_free);
        let index = free.unwrap_or(self.entries.len());
        let mut entry = TableEntry {
            server,
            generation: 0,
            in_flight: 0,
            listed: true,
            value,
        };
        match self.entries.get_mut(index) {
            Some(old) => {
                self.indexes.remove(&old.server);
                entry.generation = old.generation.wrapping_add(1);
                *old = entry;
            }
            None => self.entries.push(entry),
        }
        self.indexes.insert(server, index as u32);
    }

    /// All entries by index, including unlisted servers.
    pub(crate) fn entries(&self) -> &[TableEntry<T>] {
        &self.entries
    }

    /// Mutable form of `entries`.
    pub(crate) fn entries_mut(&mut self) -> &mut [TableEntry<T>] {
        &mut self.entries
    }

    /// Number of listed servers.
    pub(crate) const fn listed_count(&self) -> usize {
        self.listed_count
    }

    /// The entry of `handle`, unless its index was reused for another incarnation.
    pub(crate) fn get(&self, handle: ServerHandle) -> Option<&TableEntry<T>> {
        let entry = self.entries.get(handle.index as usize)?;
        (entry.generation == handle.generation).then_some(entry)
    }

    /// Mutable form of `get`.
    pub(crate) fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut TableEntry<T>> {
        let entry = self.entries.get_mut(handle.index as usize)?;
        (entry.generation == handle.generation).then_some(entry)
    }

    /// The current handle for an index.
    pub(crate) fn handle_at(&self, index: usize) -> ServerHandle {
        ServerHandle {
            index: index as u32,
            generation: self.entries[index].generation,
        }
    }

    /// The index of a known incarnation, listed or not.
    pub(crate) fn index_of(&self, server: ServerId) -> Option<usize> {
        self.indexes.get(&server).map(|&index| index as usize)
    }

    /// The handle of a listed server.
    pub(crate) fn listed_handle(&self, server: ServerId) -> Option<ServerHandle> {
        let index = self.index_of(server)?;
        self.entries[index].listed.then(|| self.handle_at(index))
    }

    /// Counts an attempt as in flight on the server at `index`.
    pub(crate) fn start(&mut self, index: usize) -> ServerHandle {
        self.entries[index].in_flight += 1;
        self.handle_at(index)
    }

    /// Counts an attempt as ended; returns the entry unless the handle is stale.
    pub(crate) fn end(&mut self, handle: ServerHandle) -> Option<&mut TableEntry<T>> {
        let entry = self.get_mut(handle)?;
        entry.in_flight = entry.in_flight.saturating_sub(1);
        Some(entry)
    }

    /// Appends the in-flight count of each listed server.
    pub(crate) fn counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        let listed = self.entries.iter().filter(|entry| entry.listed);
        counts.extend(listed.map(|entry| (entry.server, entry.in_flight)));
    }
}
