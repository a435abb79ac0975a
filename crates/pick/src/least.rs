//! Least own in-flight: the naive policy that others are compared with.

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};

use crate::{AttemptEnd, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerSeed, ServerSlot};

/// One known server.
#[derive(Clone, Copy, Debug)]
struct LeastServer {
    /// The run of the server.
    server: ServerId,
    /// Servers that held this position before.
    generation: u32,
    /// Attempts that have not ended.
    in_flight: u32,
    /// Whether it may be chosen.
    open: bool,
}

/// Chooses the server with the fewest attempts of this gate, in turn among equals.
#[derive(Clone, Debug, Default)]
pub struct LeastInFlight {
    servers: Vec<LeastServer>,
    turn: usize,
}

impl LeastInFlight {
    /// A chooser that knows no server.
    pub fn new() -> Self {
        Self::default()
    }

    /// The server in `slot`, unless the slot has been reused.
    fn entry(&mut self, slot: ServerSlot) -> Option<&mut LeastServer> {
        let entry = self.servers.get_mut(slot.index as usize)?;
        (entry.generation == slot.generation).then_some(entry)
    }

    /// Takes in a server that is not known.
    fn insert(&mut self, server: ServerId) {
        let free = self
            .servers
            .iter_mut()
            .find(|entry| !entry.open && entry.in_flight == 0);
        match free {
            Some(entry) => {
                let generation = entry.generation + 1;
                *entry = LeastServer {
                    server,
                    generation,
                    in_flight: 0,
                    open: true,
                };
            }
            None => {
                self.servers.push(LeastServer {
                    server,
                    generation: 0,
                    in_flight: 0,
                    open: true,
                });
            }
        }
    }
}

impl ServerChooser for LeastInFlight {
    fn replace_servers(&mut self, seeds: &[ServerSeed], _now: Moment) {
        for entry in &mut self.servers {
            entry.open = seeds.iter().any(|seed| seed.server == entry.server);
        }
        for seed in seeds {
            if !self
                .servers
                .iter()
                .any(|entry| entry.open && entry.server == seed.server)
            {
                self.insert(seed.server);
            }
        }
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        _now: Moment,
    ) -> Result<ServerSlot, ChoiceRefusal> {
        let count = self.servers.len();
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        let slots = (0..count).map(|step| (turn + step) % count);
        let chosen = slots
            .filter(|&index| self.servers[index].open)
            .min_by_key(|&index| {
                let entry = &self.servers[index];
                let tried = request
                    .tried
                    .iter()
                    .any(|slot| slot.index as usize == index);
                (tried, entry.in_flight)
            })
            .ok_or(ChoiceRefusal::NoServer)?;
        let entry = &mut self.servers[chosen];
        entry.in_flight += 1;
        Ok(ServerSlot {
            index: chosen as u32,
            generation: entry.generation,
        })
    }

    fn start_on(&mut self, slot: ServerSlot, _class: RequestClass, _now: Moment) -> bool {
        let Some(entry) = self.entry(slot).filter(|entry| entry.open) else {
            return false;
        };
        entry.in_flight += 1;
        true
    }

    fn finish(&mut self, end: &AttemptEnd, _now: Moment) {
        if let Some(entry) = self.entry(end.slot) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    fn report(&mut self, _slot: ServerSlot, _report: LoadReport, _now: Moment) {}

    fn peer_counts(&mut self, _gate: u64, _counts: &[(ServerId, u32)], _now: Moment) {}

    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        let open = self.servers.iter().filter(|entry| entry.open);
        counts.extend(open.map(|entry| (entry.server, entry.in_flight)));
    }

    fn server(&self, slot: ServerSlot) -> Option<ServerId> {
        let entry = self.servers.get(slot.index as usize)?;
        (entry.generation == slot.generation).then_some(entry.server)
    }

    fn slot_of(&self, server: ServerId) -> Option<ServerSlot> {
        let index = self
            .servers
            .iter()
            .position(|entry| entry.open && entry.server == server)?;
        Some(ServerSlot {
            index: index as u32,
            generation: self.servers[index].generation,
        })
    }

    fn probe_candidate(&self, _now: Moment) -> Option<ServerSlot> {
        None
    }
}
