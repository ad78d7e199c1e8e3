//! Fair sharing of a pool between client accounts, by start-time fair queuing.
//!
//! Each tier has a virtual time. An account's *finish tag* is where the work that it was granted ends in virtual time;
//! its waiting offers follow one after the other from there, and the offer with the smallest start tag goes first.
//! Waiting offers cost nothing: only a grant moves the finish tag, and the end of the request corrects it to the work
//! that was really done.
//!
//! Granted work counts in its own tier and in all lower ones, which get what higher tiers leave. It does not count in
//! higher tiers, so what an account does at a low tier takes nothing from it at a high one.

mod chain;
mod level;
mod rate;
mod run_times;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use self::chain::{Chain, TAGS_PER_SECOND};
pub(crate) use self::chain::{Move, Place, Tag};
use self::level::Levels;
use self::rate::WorkRate;
use self::run_times::RunTimes;
use crate::coordination::admission::Kind;
use crate::coordination::dump;
use crate::coordination::offer::Offer;
use crate::state::clock::Instant;
use crate::state::fleet::WEIGHT_RANGE;
use crate::state::name::Name;
use crate::state::units::{millis_since, to_f64};

/// Longest age of the shares that a decision uses: short compared with the time over which use is averaged.
const LEVELS_AGE_MAX: Duration = Duration::from_millis(50);
/// Interval at which running requests are charged for the time by which they exceed their forecast.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which entries of inactive accounts are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Use, in servers, below which an account counts as inactive.
const USE_MIN: f64 = 0.001;
/// How long an inactive account that is ahead of the virtual time keeps its entry: longer than most requests run, so
/// that its debt is paid or forgotten by then.
const DEBT_RETENTION: Duration = Duration::from_secs(60);
/// Least time, in seconds, in which an account's waiting work is taken to be wanted.
const WANTED_MIN_SECONDS: f64 = 0.01;
/// Least cost of a request, in seconds of one server, so that each of an account's offers has a tag of its own.
const COST_MIN: f64 = 1e-5;
/// Running time that is assumed before any request has ended; all accounts get the same.
const RUN_TIME_DEFAULT: Duration = Duration::from_millis(100);

/// What the servers of a pool can do, as far as costs depend on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Number of servers that take work.
    pub(crate) servers: f64,
    /// Mean number of slots of a server.
    pub(crate) slots: f64,
    /// Mean rate at which a server reads prompts, in tokens per second.
    pub(crate) prefill_rate: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            servers: 0.0,
            slots: 1.0,
            prefill_rate: f64::INFINITY,
        }
    }
}

/// The virtual time of one tier, and the number of offers that wait there.
#[derive(Debug, Default)]
struct Clock {
    virtual_time: f64,
    /// Largest finish tag so far.
    last_finish: f64,
    waiting: usize,
}

/// An account that uses the pool, or did so a short time ago.
#[derive(Debug)]
struct Account {
    weight: f64,
    /// Its waiting offers and its finish tag at each tier.
    chains: BTreeMap<usize, Chain>,
    waiting: u64,
    running: u64,
    /// Granted work, in seconds of one server per second.
    used: WorkRate,
    /// Refusals since the entry was made.
    refused: u64,
    /// Time of its retry that was booked last.
    booked: Option<Instant>,
    /// When it last had an offer, a grant or an end.
    active: Instant,
}

/// What a granted request was charged.
#[derive(Clone, Debug)]
pub(crate) struct Charge {
    account: Name,
    /// Seconds of one server that were charged so far.
    cost: f64,
    /// Part of the cost that the prompt causes.
    prompt_cost: f64,
    /// What the account's finish tags had skipped when the request was granted, by tier.
    skipped: Vec<(usize, f64)>,
}

/// Where an account stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// Its share of the pool, in servers.
    pub(crate) share: f64,
    /// Its recent use, in servers.
    pub(crate) used: f64,
    /// Age of both.
    pub(crate) age: Duration,
    /// Forecast time until it is granted the next request beyond those that wait.
    pub(crate) wait: Duration,
    /// Time in which its share does the work of the request.
    pub(crate) interval: Duration,
}

/// The accounts of a pool.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    accounts: HashMap<Name, Account>,
    clocks: BTreeMap<usize, Clock>,
    run_times: RunTimes,
    /// Number of running requests that were charged.
    running: usize,
    capacity: Capacity,
    levels: Levels,
    /// When the levels were computed.
    levels_at: Option<Instant>,
    overdue_at: Option<Instant>,
    swept_at: Option<Instant>,
}

impl Shares {
    /// Whether the capacity and the shares are to be computed anew.
    pub(crate) fn is_outdated(&self, now: Instant) -> bool {
        is_due(self.levels_at, LEVELS_AGE_MAX, now)
    }

    /// Sets the pool's capacity and computes the shares from the recent use.
    pub(crate) fn refresh(&mut self, capacity: Capacity, now: Instant) {
        self.capacity = capacity;
        let demands = self.accounts.values();
        let demands = demands.map(|account| (account.used.at(now), account.weight));
        self.levels = Levels::of(demands.collect(), capacity.servers);
        self.levels_at = Some(now);
        if is_due(self.swept_at, SWEEP_INTERVAL, now) {
            self.swept_at = Some(now);
            self.sweep(now);
        }
    }

    /// Drops the entries of accounts that have nothing waiting or running and are behind the virtual time.
    fn sweep(&mut self, now: Instant) {
        let clocks = &self.clocks;
        let is_behind = |(rank, chain): (&usize, &Chain)| {
            let clock = clocks.get(rank);
            clock.is_some_and(|clock| chain.finish <= clock.virtual_time)
        };
        self.accounts.retain(|_, account| {
            account.waiting > 0
                || account.running > 0
                || account.used.at(now) >= USE_MIN
                || !account.chains.iter().all(is_behind)
                    && now.saturating_duration_since(account.active) < DEBT_RETENTION
        });
    }

    /// Forecast cost of an offer, in seconds of one server: the larger of its running time divided by the slots of a
    /// server, and the time in which a server reads its prompt.
    pub(crate) fn cost(&self, offer: &Offer) -> f64 {
        let run_time = self.run_times.forecast(&offer.account, Kind::of(offer));
        let run_time = run_time.unwrap_or(RUN_TIME_DEFAULT.as_secs_f64());
        (run_time / self.capacity.slots)
            .max(self.prompt_cost(offer))
            .max(COST_MIN)
    }

    /// Time in which a server reads the prompt of an offer, in seconds. A call of one token has no prompt.
    fn prompt_cost(&self, offer: &Offer) -> f64 {
        if offer.prompt_tokens <= 1 {
            return 0.0;
        }
        f64::from(offer.prompt_tokens) / self.capacity.prefill_rate
    }

    /// Adds a waiting offer; returns its start tag, and the tags of other offers of the account that change, in
    /// order: those that its weight changes, then those that its place changes.
    pub(crate) fn enter(&mut self, offer: &Offer, place: Place, now: Instant) -> (Tag, Vec<Move>) {
        let cost = self.cost(offer);
        let clock = self.clocks.entry(offer.rank).or_default();
        clock.waiting += 1;
        let account = self
            .accounts
            .entry(offer.account.clone())
            .or_insert_with(|| Account::new(now));
        account.active = now;
        account.waiting += 1;
        let mut moves = account.set_weight(offer.weight);
        // A change of the weight moves offers of other tiers too.
        let chain = account.chains.entry(offer.rank).or_default();
        chain.catch_up(clock.virtual_time);
        let (tag, further) = chain.insert(place, cost, account.weight);
        moves.extend(further.into_iter().map(|step| step.at(offer.rank)));
        (tag, moves)
    }

    /// The start tag that an offer would get.
    pub(crate) fn tag(&self, offer: &Offer, place: &Place) -> Tag {
        let virtual_time = self.virtual_time(offer.rank);
        let account = self.accounts.get(&offer.account);
        let chain = account.and_then(|account| account.chains.get(&offer.rank));
        let weight = checked_weight(offer.weight);
        chain.map_or(Tag(virtual_time), |chain| {
            chain.tag(place, virtual_time, weight)
        })
    }

    /// Removes a waiting offer, which costs its account nothing; returns the tags that change.
    pub(crate) fn leave(&mut self, offer: &Offer, place: &Place) -> Vec<Move> {
        self.note_left(offer);
        let Some(account) = self.accounts.get_mut(&offer.account) else {
            return Vec::new();
        };
        let weight = account.weight;
        let Some(chain) = account.chains.get_mut(&offer.rank) else {
            return Vec::new();
        };
        let moves = chain.remove(place, weight).into_iter();
        moves.map(|step| step.at(offer.rank)).collect()
    }

    fn note_left(&mut self, offer: &Offer) {
        if let Some(clock) = self.clocks.get_mut(&offer.rank) {
            clock.waiting = clock.waiting.saturating_sub(1);
        }
        if let Some(account) = self.accounts.get_mut(&offer.account) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Removes a waiting offer that is granted, and charges its account; returns the tags that change.
    pub(crate) fn grant(
        &mut self,
        offer: &Offer,
        place: &Place,
        now: Instant,
    ) -> Option<(Charge, Vec<Move>)> {
        self.note_left(offer);
        let prompt_cost = self.prompt_cost(offer);
        let account = self.accounts.get_mut(&offer.account)?;
        let weight = account.weight;
        let granted = account.chains.get_mut(&offer.rank)?.take(place)?;
        let cost = granted.cost;
        account.running += 1;
        self.running += 1;
        account.active = now;
        account.used.add(cost, now);
        let (mut skipped, mut moves) = (Vec::new(), Vec::new());
        for (rank, clock) in self.clocks.range_mut(offer.rank..) {
            let chain = account.chains.entry(*rank).or_default();
            let start = if *rank == offer.rank {
                granted.tag.0
            } else {
                chain.catch_up(clock.virtual_time);
                chain.finish
            };
            // Offers that wait at a lower tier keep their lead over those that arrive there later.
            if *rank == offer.rank || clock.waiting == 0 {
                clock.virtual_time = clock.virtual_time.max(start);
            }
            skipped.push((*rank, chain.skipped));
            let further = chain.charge(cost, weight);
            clock.last_finish = clock.last_finish.max(chain.finish);
            moves.extend(further.into_iter().map(|step| step.at(*rank)));
        }
        let charge = Charge {
            account: offer.account.clone(),
            cost,
            prompt_cost,
            skipped,
        };
        Some((charge, moves))
    }

    /// Corrects what a running request was charged if it has run for longer than forecast; returns the tags that change.
    pub(crate) fn extend(
        &mut self,
        charge: &mut Charge,
        ran: Duration,
        slots: u32,
        now: Instant,
    ) -> Vec<Move> {
        let cost = ran.as_secs_f64() / f64::from(slots.max(1));
        if cost <= charge.cost {
            return Vec::new();
        }
        self.correct(charge, cost, now)
    }

    /// Corrects what a request was charged to the work that it did, at its end; returns the tags that change.
    pub(crate) fn settle(&mut self, mut charge: Charge, done: &Done, now: Instant) -> Vec<Move> {
        let in_slot = done.ran.as_secs_f64() / f64::from(done.slots.max(1));
        let prompt = if done.is_prompt_read {
            charge.prompt_cost
        } else {
            0.0
        };
        if let Some(account) = self.accounts.get_mut(&charge.account) {
            account.running = account.running.saturating_sub(1);
            account.active = now;
        }
        let moves = self.correct(&mut charge, in_slot.max(prompt), now);
        self.running = self.running.saturating_sub(1);
        self.end_busy_period();
        moves
    }

    /// Makes all accounts even once the pool has nothing to do: what one got alone took nothing from another.
    fn end_busy_period(&mut self) {
        if self.running > 0 || self.clocks.values().any(|clock| clock.waiting > 0) {
            return;
        }
        for clock in self.clocks.values_mut() {
            clock.virtual_time = clock.virtual_time.max(clock.last_finish);
        }
    }

    fn correct(&mut self, charge: &mut Charge, cost: f64, now: Instant) -> Vec<Move> {
        let difference = cost - charge.cost;
        charge.cost = cost;
        let Some(account) = self.accounts.get_mut(&charge.account) else {
            return Vec::new();
        };
        account.used.add(difference, now);
        let weight = account.weight;
        let mut moves = Vec::new();
        for (rank, skipped_before) in &mut charge.skipped {
            let Some(chain) = account.chains.get_mut(rank) else {
                continue;
            };
            let further = chain.correct(difference, skipped_before, weight);
            if let Some(clock) = self.clocks.get_mut(rank) {
                clock.last_finish = clock.last_finish.max(chain.finish);
            }
            moves.extend(further.into_iter().map(|step| step.at(*rank)));
        }
        moves
    }

    /// Whether running requests are to be charged for the time by which they exceed their forecast.
    pub(crate) fn is_overdue_check_due(&mut self, now: Instant) -> bool {
        let due = is_due(self.overdue_at, OVERDUE_INTERVAL, now);
        if due {
            self.overdue_at = Some(now);
        }
        due
    }

    /// Records the running time of a request that got a whole answer.
    pub(crate) fn note_run_time(
        &mut self,
        charge: &Charge,
        kind: Kind,
        ran: Duration,
        now: Instant,
    ) {
        self.run_times.note(&charge.account, kind, ran, now);
    }

    /// Counts a refusal.
    pub(crate) fn note_refusal(&mut self, account: &Name) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.refused += 1;
        }
    }

    /// Work per weight, in seconds of one server, until an offer with this start tag has its turn.
    fn lead(&self, offer: &Offer, tag: Tag) -> f64 {
        (tag.0 - self.virtual_time(offer.rank)).max(0.0) / TAGS_PER_SECOND
    }

    fn virtual_time(&self, rank: usize) -> f64 {
        self.clocks
            .get(&rank)
            .map_or(0.0, |clock| clock.virtual_time)
    }

    /// Work per second and weight that an account gets while it has offers waiting: its share, or what it got recently
    /// if that is more.
    fn pace(&self, account: Option<&Account>, weight: f64, now: Instant) -> f64 {
        let used = account.map_or(0.0, |account| account.used.at(now));
        let level = self.levels.level_for(used, weight);
        level.max(used / weight)
    }

    /// Forecast time until an offer with this start tag has its account's turn; `None` if the pool has no capacity.
    pub(crate) fn wait(&self, offer: &Offer, tag: Tag, now: Instant) -> Option<Duration> {
        let lead = self.lead(offer, tag);
        let weight = checked_weight(offer.weight);
        let pace = self.pace(self.accounts.get(&offer.account), weight, now);
        Duration::try_from_secs_f64(lead / pace).ok()
    }

    /// Where the account of a refused offer stands; `None` if it does not ask for more than its share.
    pub(crate) fn above_share(&self, offer: &Offer, tag: Tag, now: Instant) -> Option<Standing> {
        let account = self.accounts.get(&offer.account)?;
        let weight = account.weight;
        let used = account.used.at(now);
        let share = self.levels.level_for(used, weight) * weight;
        let lead = self.lead(offer, tag);
        // What it has waiting is wanted in the time in which this offer is.
        let wanted_in = if offer.early {
            offer.first_token_target
        } else {
            offer
                .first_token_deadline
                .saturating_duration_since(offer.arrived)
        };
        let asked = used + lead * weight / wanted_in.as_secs_f64().max(WANTED_MIN_SECONDS);
        if asked <= share || share <= 0.0 {
            return None;
        }
        let pace = self.pace(Some(account), weight, now) * weight;
        let in_time = |work: f64| Duration::try_from_secs_f64(work / pace).unwrap_or_default();
        Some(Standing {
            share,
            used,
            age: self
                .levels_at
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
            wait: in_time(lead * weight),
            interval: in_time(self.cost(offer)),
        })
    }

    /// Books the retry of a refused offer of an account above its share, at the account's own rate.
    ///
    /// A retry that would be later than `longest` is asked for after that.
    pub(crate) fn book(
        &mut self,
        account: &Name,
        standing: &Standing,
        earliest: Duration,
        longest: Duration,
        now: Instant,
    ) -> Duration {
        let Some(account) = self.accounts.get_mut(account) else {
            return earliest;
        };
        let first = now + standing.wait.max(earliest);
        let after = account.booked.map_or(first, |booked| booked.max(first));
        let booked = after + standing.interval;
        let wait = booked.saturating_duration_since(now);
        if wait > longest {
            return longest.max(earliest);
        }
        account.booked = Some(booked);
        wait
    }

    /// State dump entries, sorted by account.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Share> {
        let entry = |(name, account): (&Name, &Account)| {
            let used = account.used.at(now);
            dump::Share {
                account: name.clone(),
                weight: account.weight,
                share: self.levels.level_for(used, account.weight) * account.weight,
                used,
                age_ms: self.levels_at.map_or(0, |at| millis_since(at, now)),
                waiting: account.waiting,
                running: account.running,
                refused: account.refused,
            }
        };
        let mut entries: Vec<_> = self.accounts.iter().map(entry).collect();
        entries.sort_by(|one, other| one.account.cmp(&other.account));
        entries
    }
}

/// How a granted request ended, as far as its cost depends on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Done {
    /// Time for which it had a slot.
    pub(crate) ran: Duration,
    /// Slots of its server.
    pub(crate) slots: u32,
    /// Whether the server may have read its prompt.
    pub(crate) is_prompt_read: bool,
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            weight: 1.0,
            chains: BTreeMap::new(),
            waiting: 0,
            running: 0,
            used: WorkRate::default(),
            refused: 0,
            booked: None,
            active: now,
        }
    }

    /// Sets the weight; returns the tags that change.
    fn set_weight(&mut self, weight: f64) -> Vec<Move> {
        let weight = checked_weight(weight);
        if weight.to_bits() == self.weight.to_bits() {
            return Vec::new();
        }
        self.weight = weight;
        let mut moves = Vec::new();
        for (rank, chain) in &mut self.chains {
            let further = chain.retag_all(weight).into_iter();
            moves.extend(further.map(|step| step.at(*rank)));
        }
        moves
    }
}

/// Clamps a weight to the allowed range; 1 if it is not a number.
pub(crate) fn checked_weight(weight: f64) -> f64 {
    if weight.is_nan() {
        return 1.0;
    }
    weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1)
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

impl Capacity {
    /// Capacity of servers with these slots in total, and this prefill rate in total.
    pub(crate) fn of(servers: usize, slots: u32, prefill_rate: f64) -> Self {
        if servers == 0 {
            return Self::default();
        }
        let servers = to_f64(servers as u64);
        Self {
            servers,
            slots: (f64::from(slots) / servers).max(1.0),
            prefill_rate: (prefill_rate / servers).max(1.0),
        }
    }
}
