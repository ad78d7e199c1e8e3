//! The backend servers of a pool, indexed so that a decision scans few of them.

pub(crate) mod placement;
mod trials;
pub(crate) mod usual;

use std::cmp::Ordering;
use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::coordination::dump;
use crate::coordination::notice::Notice;
use crate::coordination::offer::{Offer, Spec, Ticket};
use crate::coordination::server::calls::Ran;
use crate::coordination::server::health::State;
use crate::coordination::server::{Server, Unheard, Work};
use crate::coordination::servers::trials::Trials;
use crate::coordination::servers::usual::Usual;
use crate::coordination::share::Capacity;
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::config::EngineDefaults;
use crate::state::name::Name;
use crate::state::units::to_f64;

/// A change of a server's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StateChange {
    pub(crate) server: Name,
    pub(crate) before: &'static str,
    pub(crate) after: &'static str,
    /// The host that received the statement of the server that led to the change, if one did.
    pub(crate) heard_by: Option<Name>,
}

/// A change of the limit that a server names; `None` if it names none.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitChange {
    pub(crate) server: Name,
    pub(crate) before: Option<f64>,
    pub(crate) after: Option<f64>,
    /// The host that received the new value, or the earlier value if the server no longer names a limit.
    pub(crate) heard_by: Name,
}

/// Time in which all hosts tell a new home which requests run: they notice within it that the home has changed.
pub(crate) const TAKEOVER_TIME: Duration = Duration::from_millis(500);

/// Most notices that are kept of servers that the host list does not have, or of later incarnations than it has.
const UNLISTED_MAX: usize = 1_024;

/// The servers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    /// Initial assumptions about a new server.
    defaults: EngineDefaults,
    list: Vec<Server>,
    by_name: HashMap<Name, usize>,
    /// Indexes of the servers that may be given a request now.
    open: BTreeSet<usize>,
    /// Servers that get nothing for a while, because they are down or because of their limits, sorted by the end of
    /// that time. Entries may be out of date.
    unavailable: BTreeSet<(Instant, usize)>,
    /// Contribution of each server to `rate`.
    rates: Vec<f64>,
    /// Prompt tokens per second of all servers that are not leaving.
    rate: f64,
    /// State of each server when it was last recorded.
    states: HashMap<Name, &'static str>,
    /// State changes that were not taken yet.
    changes: Vec<StateChange>,
    /// Requests that hear nothing from servers which others hear, not taken yet.
    unheard: Vec<Unheard>,
    /// Changes of limits that were not taken yet.
    limit_changes: Vec<LimitChange>,
    /// Notices of servers that the host list does not have, or of later incarnations than it has.
    unlisted: HashMap<Name, Notice>,
    /// This home's share of the servers' limits; `None` before it is known.
    share: Option<f64>,
    /// Until when other hosts may still tell of requests that an earlier home granted.
    takeover_until: Option<Instant>,
    /// Until when this home knows nothing of what runs, since its process has just started.
    unaware_until: Option<Instant>,
    /// Whether the load that servers state is used to keep their slots in use.
    uses_stated_load: bool,
    /// Whether servers are of versions that have not settled.
    has_settling: bool,
    /// Where the last scan began in a pool that is larger than one scan.
    scan_start: usize,
    /// Usual running times of plain calls.
    usual: Usual,
    /// Budget for trying servers on which calls are late.
    trials: Trials,
    /// Whether the paces that servers state are used.
    uses_stated_pace: bool,
}

impl Servers {
    /// Creates an empty set; `defaults` holds the initial assumptions about each server.
    pub(crate) fn new(defaults: EngineDefaults) -> Self {
        Self {
            defaults,
            ..Self::default()
        }
    }

    /// Applies the host list. A server that is no longer listed finishes its requests. Returns the requests that ran
    /// on servers which were restarted.
    pub(crate) fn apply_list(&mut self, specs: &[Spec], now: Instant) -> Vec<Ticket> {
        let known: HashMap<&Name, &Spec> = specs.iter().map(|spec| (&spec.name, spec)).collect();
        for server in &mut self.list {
            if !known.contains_key(&server.name) {
                server.apply_absence(now);
            }
        }
        let (kept, dropped): (Vec<_>, Vec<_>) = std::mem::take(&mut self.list)
            .into_iter()
            .partition(|server| known.contains_key(&server.name) || server.running() > 0);
        self.list = kept;
        for server in dropped {
            self.keep_notice(&server.name, server.notice(), now);
        }
        self.rebuild_indexes();
        let mut ended = Vec::new();
        for spec in specs {
            ended.extend(self.apply_entry(spec, now));
        }
        self.rebuild_indexes();
        self.has_settling = self.list.iter().any(Server::is_settling);
        self.admit_settling();
        ended
    }

    fn apply_entry(&mut self, spec: &Spec, now: Instant) -> Vec<Ticket> {
        let index = self.by_name.get(&spec.name).copied().unwrap_or_else(|| {
            self.list.push(Server::new(spec, &self.defaults, now));
            self.list.len() - 1
        });
        let share = self.share;
        let (uses_stated_pace, uses_stated_load) = (self.uses_stated_pace, self.uses_stated_load);
        let server = &mut self.list[index];
        let ended = match server.compare_start(spec) {
            // An outdated entry, from before the server restarted.
            Ordering::Less => return Vec::new(),
            Ordering::Equal => Vec::new(),
            Ordering::Greater => {
                let restarted = Server::restarted(spec, &self.defaults, now);
                let mut before = std::mem::replace(server, restarted);
                before.forget(|_, _| true)
            }
        };
        server.apply_list(spec, now);
        server.use_stated_load(uses_stated_load);
        server.use_stated_pace(uses_stated_pace);
        if let Some(share) = share {
            server.set_limit_share(share, now);
        }
        if let Some(notice) = self.unlisted.remove(&spec.name) {
            match notice.incarnation.compare(&server.incarnation()) {
                Some(Ordering::Equal) => server.apply_notice(notice, now),
                Some(Ordering::Greater) => self.keep_notice(&spec.name, notice, now),
                Some(Ordering::Less) | None => {}
            }
        }
        ended
    }

    /// Rebuilds all indexes.
    fn rebuild_indexes(&mut self) {
        let servers = self.list.iter().enumerate();
        self.by_name = servers
            .map(|(index, server)| (server.name.clone(), index))
            .collect();
        let known = &self.by_name;
        self.states.retain(|name, _| known.contains_key(name));
        self.open.clear();
        self.unavailable.clear();
        self.rates = vec![0.0; self.list.len()];
        self.rate = 0.0;
        for index in 0..self.list.len() {
            self.reindex(index);
        }
    }

    /// Updates the indexes of one server after a change.
    fn reindex(&mut self, index: usize) {
        let server = &self.list[index];
        if server.is_open() {
            self.open.insert(index);
        } else {
            self.open.remove(&index);
        }
        let after = server.health.state.text();
        if let Some(before) = self.states.insert(server.name.clone(), after)
            && before != after
        {
            self.changes.push(StateChange {
                server: server.name.clone(),
                before,
                after,
                heard_by: server.state_heard_by().cloned(),
            });
        }
        if let Some(until) = server.health.state.ends_at() {
            self.unavailable.insert((until, index));
        }
        if let Some(at) = server.opens_at() {
            self.unavailable.insert((at, index));
        }
        if let Some(at) = server.eases_at() {
            self.unavailable.insert((at, index));
        }
        if let Some(at) = server.stall_ends_at() {
            self.unavailable.insert((at, index));
        }
        let rate = if server.health.state == State::Leaving {
            0.0
        } else {
            server.rate()
        };
        self.rate += rate - self.rates[index];
        self.rates[index] = rate;
    }

    /// Takes the state changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Puts servers that are no longer down or resting on trial, and opens those whose limits allow it.
    pub(crate) fn wake(&mut self, now: Instant) {
        // The indexes in `unavailable` refer to `list`, which changes only in `apply_list`, which also rebuilds them.
        let later = self.unavailable.split_off(&(now, usize::MAX));
        let due = std::mem::replace(&mut self.unavailable, later);
        for (until, index) in due {
            let is_alone = self.is_alone_at(index);
            let server = &mut self.list[index];
            if server.health.state.ends_at() == Some(until) {
                server.try_anew(now);
            }
            server.limit_stall(is_alone, now);
            server.update_limits(now);
            self.reindex(index);
        }
    }

    /// Applies the limit that a server's answer names; `granted` is when its request was granted here, and `by` the host
    /// that received the answer.
    pub(crate) fn apply_limit(
        &mut self,
        name: &Name,
        named: Option<f64>,
        granted: Option<Instant>,
        by: &Name,
        now: Instant,
    ) {
        self.change_limit(name, |server| server.apply_limit(named, granted, by, now));
    }

    /// Applies what a server has stated of itself. The server, or this incarnation of it, may not be listed yet.
    pub(crate) fn apply_notice(&mut self, name: &Name, notice: Notice, now: Instant) {
        let listed = self.get(name).map(Server::incarnation);
        match listed.and_then(|listed| notice.incarnation.compare(&listed)) {
            Some(Ordering::Equal) => {
                self.change_limit(name, |server| server.apply_notice(notice, now));
            }
            Some(Ordering::Less) => {}
            Some(Ordering::Greater) | None => self.keep_notice(name, notice, now),
        }
    }

    /// Keeps a notice until its incarnation of the server is listed.
    fn keep_notice(&mut self, name: &Name, notice: Notice, now: Instant) {
        if notice.is_empty(now) {
            return;
        }
        if self.unlisted.len() >= UNLISTED_MAX {
            // Some of these servers will never be listed, and it is unknown which.
            self.unlisted.clear();
        }
        match self.unlisted.entry(name.clone()) {
            Entry::Occupied(mut kept) => kept.get_mut().merge(notice),
            Entry::Vacant(vacant) => {
                vacant.insert(notice);
            }
        }
    }

    /// Changes a server's limit, and records a change of its value.
    fn change_limit(&mut self, name: &Name, change: impl FnOnce(&mut Server)) {
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

    /// Sets this home's share of the servers' limits.
    pub(crate) fn set_limit_share(&mut self, share: f64, now: Instant) {
        if self.share == Some(share) {
            return;
        }
        self.share = Some(share);
        for index in 0..self.list.len() {
            self.list[index].set_limit_share(share, now);
            self.reindex(index);
        }
    }

    /// Forgets how many requests are under way to and from the servers.
    pub(crate) fn reset_in_flight(&mut self) {
        for index in 0..self.list.len() {
            self.list[index].reset_in_flight();
            self.reindex(index);
        }
    }

    /// Sets whether the load that servers state is used to keep their slots in use.
    pub(crate) fn use_stated_load(&mut self, uses: bool) {
        self.uses_stated_load = uses;
        for index in 0..self.list.len() {
            self.list[index].use_stated_load(uses);
            self.reindex(index);
        }
    }

    /// Returns the number of servers that name a limit.
    pub(crate) fn limited_count(&self) -> usize {
        let is_limited = |server: &&Server| server.pacing.limit().is_some();
        self.list.iter().filter(is_limited).count()
    }

    /// Returns the number of servers that are brittle.
    pub(crate) fn brittle_count(&self) -> usize {
        let is_brittle = |server: &&Server| server.is_brittle();
        self.list.iter().filter(is_brittle).count()
    }

    /// Returns the requests per second that the servers' limits allow; `None` if no server takes work, or if one that
    /// does names no limit.
    pub(crate) fn requests_per_second(&self) -> Option<f64> {
        let mut working = self
            .list
            .iter()
            .filter(|server| server.takes_work())
            .peekable();
        working.peek()?;
        working.map(|server| server.pacing.rate()).sum()
    }

    /// Returns how long the servers' limits delay a request that has `ahead` others before it; `None` if no server
    /// takes work, or if one that does names no limit.
    pub(crate) fn paced_wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let rate = self.requests_per_second()?;
        let working = self.list.iter().filter(|server| server.takes_work());
        let allowed: f64 = working
            .filter_map(|server| server.pacing.allowance(now))
            .sum();
        let missing = (to_f64(ahead as u64) + 1.0 - allowed).max(0.0);
        Duration::try_from_secs_f64(missing / rate).ok()
    }

    /// Takes the changes of limits since the last call.
    pub(crate) fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.limit_changes)
    }

    /// Changes the server with this name, if it is known.
    pub(crate) fn change<T>(
        &mut self,
        name: &Name,
        change: impl FnOnce(&mut Server) -> T,
    ) -> Option<T> {
        let index = self.by_name.get(name).copied()?;
        let result = change(&mut self.list[index]);
        self.reindex(index);
        Some(result)
    }

    /// Returns the server with this name.
    pub(crate) fn get(&self, name: &Name) -> Option<&Server> {
        self.by_name.get(name).map(|index| &self.list[*index])
    }

    /// Records that a host has told of a request that an earlier home granted; others may follow.
    pub(crate) fn note_takeover(&mut self, now: Instant) {
        if self.takeover_until.is_none_or(|until| until <= now) {
            self.takeover_until = Some(now + TAKEOVER_TIME);
        }
    }

    /// Records that this home's process has just started, and does not know before `until` what runs on the servers.
    pub(crate) fn set_unaware_until(&mut self, until: Instant) {
        self.unaware_until = Some(until);
    }

    /// Whether a server gets nothing for now, since requests may run on it that this home does not know.
    ///
    /// While hosts tell a new home what runs, a server that ends when it has to turn requests away gets nothing. While
    /// the home knows neither that nor which servers those are, each gets one request at a time.
    fn is_spared(&self, server: &Server, now: Instant) -> bool {
        let is_within = |until: Option<Instant>| until.is_some_and(|until| now < until);
        server.is_brittle() && is_within(self.takeover_until)
            || server.running() > 0 && is_within(self.unaware_until)
    }

    /// Whether any server that does not stand still may be given a request now.
    pub(crate) fn is_any_ready(&self) -> bool {
        let mut open = self.open.iter().map(|index| &self.list[*index]);
        open.any(|server| !server.is_stalled())
    }

    /// Whether any server may be given a request now.
    pub(crate) fn is_any_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Whether any server that these versions include may be given a request now.
    pub(crate) fn is_any_open_to(&self, versions: &Constraint) -> bool {
        let mut open = self.open.iter().map(|index| &self.list[*index]);
        open.any(|server| server.is_allowed_by(versions))
    }

    /// Whether any server that these versions include is not leaving.
    pub(crate) fn has_server_for(&self, versions: &Constraint) -> bool {
        let is_staying = |server: &Server| server.health.state != State::Leaving;
        let mut staying = self.list.iter().filter(|server| is_staying(server));
        staying.any(|server| server.is_allowed_by(versions))
    }

    /// Lets servers of versions that have not settled get new requests if all others leave, so that the service goes on.
    /// Servers that are down count as staying.
    pub(crate) fn admit_settling(&mut self) {
        if self.has_settling && !self.has_server_for(&Constraint::Any) {
            let settling = self.list.iter_mut().filter(|server| server.is_settling());
            settling.for_each(Server::end_settling);
            self.has_settling = false;
        }
    }

    /// Returns the share of the working servers' slots that these versions include, from 0 to 1; 1 if none works.
    pub(crate) fn slot_share(&self, versions: &Constraint) -> f64 {
        let (mut all, mut allowed) = (0, 0);
        for server in self.list.iter().filter(|server| server.takes_work()) {
            all += server.slots;
            if server.is_allowed_by(versions) {
                allowed += server.slots;
            }
        }
        if all == 0 {
            return 1.0;
        }
        f64::from(allowed) / f64::from(all)
    }

    /// Returns the prompt tokens per second of all servers that are not leaving.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Removes and returns every request that `gone` selects by its ticket and the time when it was sent.
    pub(crate) fn forget(&mut self, gone: impl Fn(&Ticket, Instant) -> bool) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for index in 0..self.list.len() {
            let forgotten = self.list[index].forget(&gone);
            if !forgotten.is_empty() {
                tickets.extend(forgotten);
                self.reindex(index);
            }
        }
        tickets
    }

    /// Returns the free slots of live servers that their limits allow to be filled now.
    pub(crate) fn free_slots(&self, now: Instant) -> u32 {
        let free_slots = |server: &Server| match server.health.state {
            State::Live => server.free_slots(now),
            State::Trial | State::Leaving | State::Down { .. } | State::Resting { .. } => 0,
        };
        self.list.iter().map(free_slots).sum()
    }

    /// Returns the slots of live servers that are in use, or that may be filled now.
    pub(crate) fn live_slots(&self, now: Instant) -> usize {
        let live = self.list.iter();
        let live = live.filter(|server| server.health.state == State::Live);
        live.map(|server| server.running() + server.free_slots(now) as usize)
            .sum()
    }

    /// Returns the number of servers that take work.
    pub(crate) fn working_count(&self) -> usize {
        self.list
            .iter()
            .filter(|server| server.takes_work())
            .count()
    }

    /// Returns what the servers that take work can do together.
    pub(crate) fn capacity(&self) -> Capacity {
        let working = || self.list.iter().filter(|server| server.takes_work());
        let slots = working().map(|server| server.slots).sum();
        let rate = working().map(Server::rate).sum();
        Capacity::of(working().count(), slots, rate)
    }

    /// Returns the numbers of servers that are leaving by their own statement, and of those that rest.
    pub(crate) fn barred_counts(&self) -> (usize, usize) {
        let count = |is_counted: fn(State) -> bool| {
            let barred = self.list.iter().filter(|server| {
                server.state_heard_by().is_some() && is_counted(server.health.state)
            });
            barred.count()
        };
        (
            count(|state| state == State::Leaving),
            count(|state| matches!(state, State::Resting { .. })),
        )
    }

    /// Returns the time until the first server takes work, if none does because of servers that rest.
    pub(crate) fn rests_for(&self, now: Instant) -> Option<Duration> {
        let mut is_any_resting = false;
        let mut soonest: Option<Duration> = None;
        for server in &self.list {
            if server.takes_work() {
                return None;
            }
            is_any_resting |= matches!(server.health.state, State::Resting { .. });
            let available = server.available_in(now);
            soonest = soonest.into_iter().chain(available).min();
        }
        soonest.filter(|_| is_any_resting)
    }

    /// Whether no server other than `name` takes work.
    pub(crate) fn is_alone(&self, name: &Name) -> bool {
        let mut others = self.list.iter().filter(|server| server.name != *name);
        !others.any(Server::takes_work)
    }

    /// Whether no server other than the one at `index` takes work.
    fn is_alone_at(&self, index: usize) -> bool {
        let mut list = self.list.iter().enumerate();
        !list.any(|(other, server)| other != index && server.takes_work())
    }

    /// Records a sign of life that a server gave for a request, or the report of a silence, and judges its silences.
    pub(crate) fn note(&mut self, name: &Name, now: Instant, note: impl FnOnce(&mut Server)) {
        let noted = self.change(name, |server| {
            note(server);
            (server.judge_silences(now), server.take_ran())
        });
        let Some((unheard, ran)) = noted else { return };
        self.unheard.extend(unheard);
        if let Some(ran) = ran {
            self.learn_call(name, &ran, now);
        }
    }

    /// Learns from a plain call that has ended: what is unusual of the server, and what is usual for the call's class.
    fn learn_call(&mut self, name: &Name, ran: &Ran, now: Instant) {
        let Some(class) = ran.work.class else { return };
        let usual = self.usual.seconds(&class);
        // Before anything is known of a class, silences are reported too soon: every call that takes longer than that would
        // count as disturbed, and the class would never be known.
        if ran.is_disturbed && usual.is_some() {
            return;
        }
        let ratio = self.change(name, |server| {
            if let Some(usual) = usual {
                server.learn_call(ran, usual, now);
            }
            server.call_ratio()
        });
        if let Some(ratio) = ratio {
            self.usual.learn(class, ran.seconds, ratio);
        }
    }

    /// Returns the load that an offer puts on a server.
    pub(crate) fn work_of(&self, offer: &Offer) -> Work {
        let work = offer.work();
        let class = work.class.filter(|_| work.is_plain());
        Work {
            usual_seconds: class.and_then(|class| self.usual.seconds(&class)),
            ..work
        }
    }

    /// Sets whether the paces that servers state are used for forecasts.
    pub(crate) fn use_stated_pace(&mut self, uses: bool) {
        self.uses_stated_pace = uses;
        for server in &mut self.list {
            server.use_stated_pace(uses);
        }
    }

    /// Takes the requests that hear nothing from servers which others hear, since the last call.
    pub(crate) fn take_unheard(&mut self) -> Vec<Unheard> {
        std::mem::take(&mut self.unheard)
    }

    /// Number of servers that stand still.
    pub(crate) fn stalled_count(&self) -> usize {
        self.list
            .iter()
            .filter(|server| server.is_stalled())
            .count()
    }

    /// Returns the servers' part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Server> {
        self.list.iter().map(|server| server.dump(now)).collect()
    }
}
