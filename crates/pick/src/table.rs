//! Table of servers with slots that are never reused while an attempt on them is open.

use std::collections::HashMap;

use foldhash::fast::FixedState;
use ggs_model::ServerId;

use crate::{ServerHandle, ServerSpec};

/// One known server and what a policy keeps of it.
#[derive(Clone, Debug)]
pub(crate) struct TableEntry<T> {
    /// The run of the server.
    pub(crate) server: ServerId,
    /// Servers that held this position before.
    pub(crate) generation: u32,
    /// Attempts that have not ended.
    pub(crate) in_flight: u32,
    /// Whether it may be chosen.
    pub(crate) listed: bool,
    /// What the policy keeps.
    pub(crate) value: T,
}

impl<T> TableEntry<T> {
    /// Whether another run may take the position.
    fn is_free(&self) -> bool {
        !self.listed && self.in_flight == 0
    }
}

/// Servers by handle.
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
    /// Replaces the servers that may be chosen; `make` yields the value of a run that is new or was
    /// absent, given what was kept of it.
    pub(crate) fn replace(
        &mut self,
        specs: &[ServerSpec],
        mut make_value: impl FnMut(&ServerSpec, Option<&T>) -> T,
    ) {
        let was_listed: Vec<bool> = self.entries.iter().map(|entry| entry.listed).collect();
        for entry in &mut self.entries {
            entry.listed = false;
        }
        // Known runs open first, so that a new run cannot take the position of one that stays.
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

    /// Takes in a run that is not known.
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

    /// All positions, also those whose server may not be chosen.
    pub(crate) fn entries(&self) -> &[TableEntry<T>] {
        &self.entries
    }

    /// All positions, to change.
    pub(crate) fn entries_mut(&mut self) -> &mut [TableEntry<T>] {
        &mut self.entries
    }

    /// Number of servers that may be chosen.
    pub(crate) const fn listed_count(&self) -> usize {
        self.listed_count
    }

    /// The server in `handle`, unless the position went to another run.
    pub(crate) fn get(&self, handle: ServerHandle) -> Option<&TableEntry<T>> {
        let entry = self.entries.get(handle.index as usize)?;
        (entry.generation == handle.generation).then_some(entry)
    }

    /// The server in `handle`, to change.
    pub(crate) fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut TableEntry<T>> {
        let entry = self.entries.get_mut(handle.index as usize)?;
        (entry.generation == handle.generation).then_some(entry)
    }

    /// The handle at a position.
    pub(crate) fn handle_at(&self, index: usize) -> ServerHandle {
        ServerHandle {
            index: index as u32,
            generation: self.entries[index].generation,
        }
    }

    /// The position of a known run, whether or not it may be chosen.
    pub(crate) fn index_of(&self, server: ServerId) -> Option<usize> {
        self.indexes.get(&server).map(|&index| index as usize)
    }

    /// The handle of a server that may be chosen.
    pub(crate) fn listed_handle(&self, server: ServerId) -> Option<ServerHandle> {
        let index = self.index_of(server)?;
        self.entries[index].listed.then(|| self.handle_at(index))
    }

    /// Counts an attempt as started at a position.
    pub(crate) fn start(&mut self, index: usize) -> ServerHandle {
        self.entries[index].in_flight += 1;
        self.handle_at(index)
    }

    /// Counts an attempt as ended; yields the entry unless the handle is stale.
    pub(crate) fn end(&mut self, handle: ServerHandle) -> Option<&mut TableEntry<T>> {
        let entry = self.get_mut(handle)?;
        entry.in_flight = entry.in_flight.saturating_sub(1);
        Some(entry)
    }

    /// Adds the in-flight count of each server that may be chosen.
    pub(crate) fn counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        let listed = self.entries.iter().filter(|entry| entry.listed);
        counts.extend(listed.map(|entry| (entry.server, entry.in_flight)));
    }
}
