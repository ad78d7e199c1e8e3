//! The backend servers of a pool, indexed so that a decision looks at few of them.

pub(crate) mod placement;

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::coordination::dump;
use crate::coordination::offer::{Spec, Ticket};
use crate::coordination::server::Server;
use crate::coordination::server::health::State;
use crate::coordination::server::pacing::Told;
use crate::state::clock::Instant;
use crate::state::config::Belief;
use crate::state::name::Name;
use crate::state::units::real;

/// A change of what is believed of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) server: Name,
    pub(crate) before: &'static str,
    pub(crate) after: &'static str,
}

/// A change of the limit that a server names; `None` where it names none.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitChange {
    pub(crate) server: Name,
    pub(crate) before: Option<f64>,
    pub(crate) after: Option<f64>,
    /// The host that heard it.
    pub(crate) heard_by: Name,
}

/// Most limits that are kept of servers which the host list does not have yet.
const UNLISTED_MAX: usize = 1_024;

/// The servers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    /// What is believed of a new one.
    belief: Belief,
    list: Vec<Server>,
    by_name: HashMap<Name, usize>,
    /// Those that may be given a request now.
    open: BTreeSet<usize>,
    /// Those that get nothing for a while, since they are left alone or by their limits, by the end of it; an entry may
    /// be out of date.
    resting: BTreeSet<(Instant, usize)>,
    /// Each server's part of the pool's speed.
    parts: Vec<f64>,
    /// Prompt tokens a second of all servers that stay.
    rate: f64,
    /// What is believed of each server, as it was told last.
    told: HashMap<Name, &'static str>,
    /// Changes of belief that were not told yet.
    changes: Vec<Change>,
    /// Changes of limits that were not told yet.
    limit_changes: Vec<LimitChange>,
    /// Limits of servers that the host list does not have yet.
    unlisted: HashMap<Name, Told>,
    /// This home's part of the servers' limits; `None` before it is known.
    part: Option<f64>,
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

    /// Takes over what the host list says; a server that is no longer there finishes its work. Returns the requests that ran
    /// at servers which were started again.
    pub(crate) fn follow(&mut self, specs: &[Spec], now: Instant) -> Vec<Ticket> {
        let known: HashMap<&Name, &Spec> = specs.iter().map(|spec| (&spec.name, spec)).collect();
        for server in &mut self.list {
            if !known.contains_key(&server.name) {
                server.health.set(State::Leaving, now);
            }
        }
        self.list
            .retain(|server| known.contains_key(&server.name) || server.running() > 0);
        self.index();
        let mut over = Vec::new();
        for spec in specs {
            over.extend(self.follow_one(spec, now));
        }
        self.index();
        over
    }

    fn follow_one(&mut self, spec: &Spec, now: Instant) -> Vec<Ticket> {
        let index = self.by_name.get(&spec.name).copied().unwrap_or_else(|| {
            self.list.push(Server::new(spec, &self.belief, now));
            self.list.len() - 1
        });
        let part = self.part;
        let told = self.unlisted.remove(&spec.name);
        let server = &mut self.list[index];
        let over = match server.compare_start(spec) {
            // An entry of an earlier start that comes late.
            Ordering::Less => return Vec::new(),
            Ordering::Equal => Vec::new(),
            Ordering::Greater => {
                let restarted = Server::restarted(spec, &self.belief, now);
                let mut before = std::mem::replace(server, restarted);
                before.forget(|_, _| true)
            }
        };
        server.follow(spec, now);
        if let Some(part) = part {
            server.pacing.share(part, now);
        }
        if let Some(told) = told {
            server.pacing.hear_earlier(&told, now);
        }
        if spec.leaving {
            server.health.set(State::Leaving, now);
        } else if server.health.state == State::Leaving {
            server.health.set(State::Trial, now);
        }
        over
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
        if let Some(at) = server.pacing.opens_at() {
            self.resting.insert((at, index));
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

    /// Puts servers on trial that were left alone for long enough, and opens those whose limits allow it.
    pub(crate) fn wake(&mut self, now: Instant) {
        // An index in these is of the list, which only `follow` changes.
        let later = self.resting.split_off(&(now, usize::MAX));
        let due = std::mem::replace(&mut self.resting, later);
        for (until, index) in due {
            let server = &mut self.list[index];
            if server.health.state == (State::Down { until }) {
                server.health.set(State::Trial, now);
            }
            server.pacing.look(now);
            self.settle(index);
        }
    }

    /// Takes in what a server's answer says of its limit; `sent` is when its request was granted here.
    pub(crate) fn hear_limit(
        &mut self,
        name: &Name,
        named: Option<f64>,
        sent: Option<Instant>,
        by: &Name,
        now: Instant,
    ) {
        self.pace(name, |server| server.hear_limit(named, sent, by, now));
    }

    /// Takes in a limit that a host heard some time ago, also of a server that is not listed yet.
    pub(crate) fn hear_earlier_limit(&mut self, name: &Name, told: Told, now: Instant) {
        if self.by_name.contains_key(name) {
            self.pace(name, |server| server.pacing.hear_earlier(&told, now));
            return;
        }
        if self.unlisted.len() >= UNLISTED_MAX {
            // Some are of servers that will never be listed, and which ones is not known.
            self.unlisted.clear();
        }
        self.unlisted.insert(name.clone(), told);
    }

    /// Changes what is known of a server's limit, and notes a change of its value.
    fn pace(&mut self, name: &Name, change: impl FnOnce(&mut Server)) {
        let value = |server: &Server| {
            let limit = server.pacing.limit()?;
            Some((limit.per_second, limit.heard_by.clone()))
        };
        let values = self.change(name, |server| {
            let before = value(server);
            change(server);
            (before, value(server))
        });
        let Some((before, after)) = values else {
            return;
        };
        let per_second = |value: &Option<(f64, Name)>| value.as_ref().map(|value| value.0);
        let (was, is) = (per_second(&before), per_second(&after));
        if let Some((_, heard_by)) = after.or(before)
            && was != is
        {
            self.limit_changes.push(LimitChange {
                server: name.clone(),
                before: was,
                after: is,
                heard_by,
            });
        }
    }

    /// Sets this home's part of the servers' limits.
    pub(crate) fn share(&mut self, part: f64, now: Instant) {
        if self.part == Some(part) {
            return;
        }
        self.part = Some(part);
        for index in 0..self.list.len() {
            self.list[index].pacing.share(part, now);
            self.settle(index);
        }
    }

    /// Number of servers that name a limit.
    pub(crate) fn limited(&self) -> usize {
        let is_limited = |server: &&Server| server.pacing.limit().is_some();
        self.list.iter().filter(is_limited).count()
    }

    /// Requests a second that the servers' limits allow; `None` while one takes work that names no limit.
    pub(crate) fn requests_per_second(&self) -> Option<f64> {
        let mut working = self.list.iter().filter(|server| server.works()).peekable();
        working.peek()?;
        working.map(|server| server.pacing.rate()).sum()
    }

    /// Time that the servers' limits make a request wait that has `ahead` others before it; none while a server takes
    /// work that names no limit.
    pub(crate) fn paced_wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let rate = self.requests_per_second()?;
        let working = self.list.iter().filter(|server| server.works());
        let allowed: f64 = working
            .filter_map(|server| server.pacing.allowance(now))
            .sum();
        let missing = (real(ahead as u64) + 1.0 - allowed).max(0.0);
        Duration::try_from_secs_f64(missing / rate).ok()
    }

    /// Takes the changes of limits since the last look.
    pub(crate) fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limit_changes)
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
    pub(crate) fn idle_places(&self, now: Instant) -> u32 {
        let idle = |server: &Server| match server.health.state {
            State::Live => server.idle_places(now),
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
