//! The backend servers of a pool, indexed so that a decision looks at few of them.

pub(crate) mod placement;

use std::collections::{BTreeSet, HashMap};

use crate::coordination::dump;
use crate::coordination::offer::{Spec, Ticket};
use crate::coordination::server::Server;
use crate::coordination::server::health::State;
use crate::state::clock::Instant;
use crate::state::config::Belief;
use crate::state::name::Name;

/// A change of what is believed of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) server: Name,
    pub(crate) before: &'static str,
    pub(crate) after: &'static str,
}

/// The servers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    /// What is believed of a new one.
    belief: Belief,
    list: Vec<Server>,
    by_name: HashMap<Name, usize>,
    /// Those that may be given a request now.
    open: BTreeSet<usize>,
    /// Those that are left alone, by the end of it; an entry may be out of date.
    resting: BTreeSet<(Instant, usize)>,
    /// Each server's part of the pool's speed.
    parts: Vec<f64>,
    /// Prompt tokens a second of all servers that stay.
    rate: f64,
    /// What is believed of each server, as it was told last.
    told: HashMap<Name, &'static str>,
    /// Changes of belief that were not told yet.
    changes: Vec<Change>,
    /// Where the next look begins in a pool larger than a look.
    next: usize,
}

impl Servers {
    /// No servers yet; `belief` is what will be believed of each at first.
    pub(crate) fn new(belief: Belief) -> Self {
        Self {
            belief,
            ..Self::default()
        }
    }

    /// Takes over what the host list says; a server that is no longer there finishes its work.
    pub(crate) fn follow(&mut self, specs: &[Spec], now: Instant) {
        let known: HashMap<&Name, &Spec> = specs.iter().map(|spec| (&spec.name, spec)).collect();
        for server in &mut self.list {
            if !known.contains_key(&server.name) {
                server.health.set(State::Leaving, now);
            }
        }
        self.list
            .retain(|server| known.contains_key(&server.name) || server.running() > 0);
        self.index();
        for spec in specs {
            self.follow_one(spec, now);
        }
        self.index();
    }

    fn follow_one(&mut self, spec: &Spec, now: Instant) {
        let index = self.by_name.get(&spec.name).copied().unwrap_or_else(|| {
            self.list.push(Server::new(spec, &self.belief, now));
            self.list.len() - 1
        });
        let server = &mut self.list[index];
        server.slots = spec.slots;
        server.data_centre.clone_from(&spec.data_centre);
        if server.address != spec.address {
            server.address = spec.address;
            server.health.set(State::Trial, now);
        }
        if spec.leaving {
            server.health.set(State::Leaving, now);
        } else if server.health.state == State::Leaving {
            server.health.set(State::Trial, now);
        }
    }

    /// Builds all indexes anew.
    fn index(&mut self) {
        let names = self.list.iter().enumerate();
        self.by_name = names
            .map(|(index, server)| (server.name.clone(), index))
            .collect();
        let known = &self.by_name;
        self.told.retain(|name, _| known.contains_key(name));
        self.open.clear();
        self.resting.clear();
        self.parts = vec![0.0; self.list.len()];
        self.rate = 0.0;
        for index in 0..self.list.len() {
            self.settle(index);
        }
    }

    /// Brings the indexes of one server up to date after it has changed.
    fn settle(&mut self, index: usize) {
        let server = &self.list[index];
        if server.is_open() {
            self.open.insert(index);
        } else {
            self.open.remove(&index);
        }
        let after = server.health.state.text();
        if let Some(before) = self.told.insert(server.name.clone(), after)
            && before != after
        {
            self.changes.push(Change {
                server: server.name.clone(),
                before,
                after,
            });
        }
        if let State::Down { until } = server.health.state {
            self.resting.insert((until, index));
        }
        let part = if server.health.state == State::Leaving {
            0.0
        } else {
            server.rate()
        };
        self.rate += part - self.parts[index];
        self.parts[index] = part;
    }

    /// Takes the changes of belief since the last look.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Puts servers on trial that were left alone for long enough.
    pub(crate) fn wake(&mut self, now: Instant) {
        while let Some((until, index)) = self.resting.first().copied() {
            if until > now {
                return;
            }
            self.resting.pop_first();
            if self.list[index].health.state == (State::Down { until }) {
                self.list[index].health.set(State::Trial, now);
                self.settle(index);
            }
        }
    }

    /// Changes the server of that name, if it is known.
    pub(crate) fn change<T>(
        &mut self,
        name: &Name,
        change: impl FnOnce(&mut Server) -> T,
    ) -> Option<T> {
        let index = self.by_name.get(name).copied()?;
        let result = change(&mut self.list[index]);
        self.settle(index);
        Some(result)
    }

    /// The server of that name.
    pub(crate) fn get(&self, name: &Name) -> Option<&Server> {
        self.by_name.get(name).map(|index| &self.list[*index])
    }

    /// Whether any server may be given a request now.
    pub(crate) fn is_any_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Prompt tokens a second of all servers that stay.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Forgets and returns every request of which `gone` says so, given when it was sent.
    pub(crate) fn forget(&mut self, gone: impl Fn(&Ticket, Instant) -> bool) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for index in 0..self.list.len() {
            let forgotten = self.list[index].forget(&gone);
            if !forgotten.is_empty() {
                tickets.extend(forgotten);
                self.settle(index);
            }
        }
        tickets
    }

    /// Places of live servers that nothing runs in.
    pub(crate) fn idle_places(&self) -> u32 {
        let idle = |server: &Server| match server.health.state {
            State::Live => server.idle_places(),
            State::Trial | State::Leaving | State::Down { .. } => 0,
        };
        self.list.iter().map(idle).sum()
    }

    /// Number of servers that take work.
    pub(crate) fn working(&self) -> usize {
        self.list.iter().filter(|server| server.works()).count()
    }

    /// Whether no server but that one takes work.
    pub(crate) fn is_alone(&self, name: &Name) -> bool {
        let mut others = self.list.iter().filter(|server| server.name != *name);
        !others.any(Server::works)
    }

    /// Their part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Server> {
        self.list.iter().map(|server| server.dump(now)).collect()
    }
}
