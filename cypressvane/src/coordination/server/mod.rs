//! What a home believes of one backend server: what runs there, how fast it is, what it has read.

mod answers;
pub(crate) mod health;
pub(crate) mod pacing;
mod pauses;
mod speed;

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::dump;
use crate::coordination::estimate::Estimate;
use crate::coordination::offer::{Spec, Ticket};
use crate::coordination::server::answers::Answers;
use crate::coordination::server::health::{Health, State};
use crate::coordination::server::pacing::{Pacing, Sent};
use crate::coordination::server::pauses::Pauses;
use crate::coordination::server::speed::Speed;
use crate::state::clock::Instant;
use crate::state::config::Belief;
use crate::state::name::Name;
use crate::state::units::{millis, millis_since, real, whole};

/// How long a server is taken to keep what it read: less than its cache holds under load.
const OPENING_KEPT_FOR: Duration = Duration::from_secs(30);
/// Most openings that are remembered of one server.
const OPENINGS_MAX: usize = 1_024;

/// What a request is for the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    /// Its prompt, in tokens.
    pub(crate) prompt_tokens: u64,
    /// Longest pause between its events that is on time; zero where there is no such bound.
    pub(crate) pause: Duration,
    /// How many tokens its answer is likely to have; 0 where nothing is known of it.
    pub(crate) answer_tokens: u32,
    /// Whether an answer without an earlier sign of its beginning is a call's, whose time tells of the
    /// server; a generation's includes all of its tokens.
    pub(crate) is_route: bool,
}

/// A request that was granted to the server.
#[derive(Clone, Copy, Debug)]
struct Running {
    work: Work,
    /// Prompt tokens before its first token when it was sent, its own included.
    backlog: u64,
    sent: Instant,
    /// When its first token was forecast.
    forecast: Duration,
    prefilled: bool,
    /// When its first token came.
    first_token: Option<Instant>,
    /// Most prompt tokens that were to be read by the server at once while it ran.
    alongside: u64,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Option<Name>,
    pub(crate) slots: u32,
    /// When it was started, by its own clock.
    started_ms: Option<u64>,
    pub(crate) health: Health,
    /// Keeps it to the limit that it names.
    pub(crate) pacing: Pacing,
    running: HashMap<Ticket, Running>,
    backlog: u64,
    /// When something that it was given was answered last.
    heard: Option<Instant>,
    speed: Speed,
    pauses: Pauses,
    answers: Answers,
    /// Prompt tokens of a request that is given to it.
    prompts: Estimate,
    /// What the prompts that it read began with, and when.
    openings: HashMap<u64, Instant>,
}

impl Server {
    pub(crate) fn new(spec: &Spec, belief: &Belief, now: Instant) -> Self {
        Self {
            name: spec.name.clone(),
            address: spec.address,
            data_centre: spec.data_centre.clone(),
            slots: spec.slots,
            started_ms: spec.started_ms,
            health: Health::new(now),
            pacing: Pacing::default(),
            running: HashMap::new(),
            backlog: 0,
            heard: None,
            speed: Speed::believing(belief.prefill_rate, belief.overhead),
            pauses: Pauses::default(),
            answers: Answers::default(),
            prompts: Estimate::default(),
            openings: HashMap::new(),
        }
    }

    /// How the start that an entry of the host list tells of compares with the one that is known; equal where either is not
    /// told.
    pub(crate) fn compare_start(&self, spec: &Spec) -> Ordering {
        let both = spec.started_ms.zip(self.started_ms);
        both.map_or(Ordering::Equal, |(told, known)| told.cmp(&known))
    }

    /// Takes over what the host list says of it. At another address it is another process, which is tried first and has
    /// named no limit.
    pub(crate) fn follow(&mut self, spec: &Spec, now: Instant) {
        self.slots = spec.slots;
        self.data_centre.clone_from(&spec.data_centre);
        self.started_ms = spec.started_ms.or(self.started_ms);
        if self.address != spec.address {
            self.address = spec.address;
            self.pacing = Pacing::after(now);
            self.health.set(State::Trial, now);
        }
    }

    /// The server after it was started again: what is believed of the one before is over.
    pub(crate) fn restarted(spec: &Spec, belief: &Belief, now: Instant) -> Self {
        Self {
            pacing: Pacing::after(now),
            ..Self::new(spec, belief, now)
        }
    }

    /// Notes what a prompt that it is given begins with.
    pub(crate) fn note_opening(&mut self, opening: Option<u64>, now: Instant) {
        let Some(opening) = opening else { return };
        if self.openings.len() >= OPENINGS_MAX {
            self.openings.retain(|_, at| is_kept(*at, now));
        }
        if self.openings.len() < OPENINGS_MAX {
            self.openings.insert(opening, now);
        }
    }

    /// Whether it has lately read a prompt that begins so.
    pub(crate) fn knows_opening(&self, opening: u64, now: Instant) -> bool {
        self.openings
            .get(&opening)
            .is_some_and(|at| is_kept(*at, now))
    }

    /// Requests that run there.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Places that nothing runs in and that its limit lets be taken at once.
    pub(crate) fn idle_places(&self, now: Instant) -> u32 {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let idle = self.slots.saturating_sub(running);
        let allowance = self.pacing.allowance(now).map(whole);
        allowance.map_or(idle, |allowance| idle.min(allowance))
    }

    /// Prompt tokens sent whose first answer token has not come.
    pub(crate) fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Prompt tokens a second that it reads, or fewer where its limit lets no more come.
    pub(crate) fn rate(&self) -> f64 {
        let read = self.speed.rate();
        let limited = self.pacing.rate().zip(self.prompts.mean());
        limited.map_or(read, |(requests, prompt)| read.min(requests * prompt))
    }

    /// Whether it takes work, if it has room.
    pub(crate) fn works(&self) -> bool {
        matches!(self.health.state, State::Live | State::Trial)
    }

    /// Whether it may be given a request now.
    pub(crate) fn is_open(&self) -> bool {
        self.pacing.opens_at().is_none() && self.has_room()
    }

    /// Whether a request could run there, its limit aside.
    fn has_room(&self) -> bool {
        match self.health.state {
            State::Live => self.running.len() < self.slots as usize,
            State::Trial => self.running.is_empty(),
            State::Leaving | State::Down { .. } => false,
        }
    }

    /// Time until it may be given a request, as far as its health and its limit go; `None` when it is leaving.
    pub(crate) fn returns_in(&self, now: Instant) -> Option<Duration> {
        let opens_in = |at: Instant| at.saturating_duration_since(now);
        let paced = self.pacing.opens_at().map(opens_in).unwrap_or_default();
        Some(self.health.returns_in(now)?.max(paced))
    }

    /// Time until a prompt sent now would have its first token.
    pub(crate) fn first_token_in(&self, prompt_tokens: u64, now: Instant) -> Duration {
        self.first_token_if_well(prompt_tokens) + self.overdue(now)
    }

    /// The same, if nothing there were overdue.
    pub(crate) fn first_token_if_well(&self, prompt_tokens: u64) -> Duration {
        self.speed.time(self.backlog + prompt_tokens)
    }

    /// Time to the first token of a prompt that would go to it while nothing else is read there.
    pub(crate) fn first_token_alone(&self, prompt_tokens: u64) -> Duration {
        self.speed.time(prompt_tokens)
    }

    /// How long the server has been silent beyond the forecast of what waits there.
    ///
    /// A server that turns silent shows it by this before any answer of it has failed. One request that
    /// is stuck while others are answered says nothing of the server.
    fn overdue(&self, now: Instant) -> Duration {
        if self.backlog == 0 {
            return Duration::ZERO;
        }
        let waits = self.running.values().filter(|running| !running.prefilled);
        let overdue = waits.map(|running| {
            let since = self.heard.map_or(running.sent, |at| at.max(running.sent));
            let silent = now.saturating_duration_since(since);
            silent.saturating_sub(running.forecast)
        });
        overdue.max().unwrap_or_default()
    }

    /// Whether most streams would be on time between events while a prompt of so many tokens is read;
    /// what was not seen yet is tried.
    pub(crate) fn is_even(&self, prompt_tokens: u64, pause: Duration) -> bool {
        pause.is_zero()
            || self
                .pauses
                .likely(prompt_tokens)
                .is_none_or(|likely| likely <= pause)
    }

    /// Whether the streams that run there would stay on time if it read such a prompt as well.
    pub(crate) fn spares_others(&self, prompt_tokens: u64) -> bool {
        let bounds = self.running.values().map(|running| running.work.pause);
        let tightest = bounds.filter(|pause| !pause.is_zero()).min();
        tightest.is_none_or(|pause| self.is_even(self.backlog + prompt_tokens, pause))
    }

    /// Counts a request that is granted the server.
    pub(crate) fn send(&mut self, ticket: Ticket, work: Work, now: Instant) {
        self.pacing.take(now);
        self.prompts.learn(real(work.prompt_tokens));
        self.run(ticket, work, now);
    }

    /// Counts a request that runs there.
    fn run(&mut self, ticket: Ticket, work: Work, now: Instant) {
        let before = self.backlog;
        self.backlog += work.prompt_tokens;
        for other in self.running.values_mut() {
            other.alongside = other.alongside.max(self.backlog);
        }
        let running = Running {
            work,
            backlog: self.backlog,
            sent: now,
            forecast: self.speed.time(self.backlog),
            prefilled: false,
            first_token: None,
            alongside: before,
        };
        self.running.insert(ticket, running);
    }

    /// Counts a request that another home granted.
    pub(crate) fn adopt(
        &mut self,
        ticket: &Ticket,
        prompt_tokens: u64,
        prefilled: bool,
        now: Instant,
    ) {
        if self.running.contains_key(ticket) {
            return;
        }
        let work = Work {
            prompt_tokens,
            pause: Duration::ZERO,
            answer_tokens: 0,
            is_route: false,
        };
        self.run(ticket.clone(), work, now);
        if prefilled {
            self.settle_prefill(ticket);
        }
    }

    /// Takes in what an answer says of the server's limit; `sent` is when its request was granted here.
    pub(crate) fn hear_limit(
        &mut self,
        named: Option<f64>,
        sent: Option<Instant>,
        by: &Name,
        now: Instant,
    ) {
        let sent = sent.map(|at| Sent {
            at,
            running: self.running_since(at),
        });
        self.pacing.hear(named, sent, by, now);
    }

    /// Requests that run there and were sent at that time or later.
    fn running_since(&self, time: Instant) -> usize {
        let is_since = |running: &&Running| running.sent >= time;
        self.running.values().filter(is_since).count()
    }

    /// Takes a request's prompt off the backlog, once.
    fn settle_prefill(&mut self, ticket: &Ticket) -> Option<Running> {
        let running = self.running.get_mut(ticket)?;
        if running.prefilled {
            return None;
        }
        running.prefilled = true;
        self.backlog = self.backlog.saturating_sub(running.work.prompt_tokens);
        Some(*running)
    }

    /// Forgets a request that ended; tells whether it was here.
    pub(crate) fn finish(&mut self, ticket: &Ticket) -> bool {
        self.settle_prefill(ticket);
        self.running.remove(ticket).is_some()
    }

    /// Forgets and returns every request of which `gone` says so, given when it was sent.
    pub(crate) fn forget(&mut self, gone: impl Fn(&Ticket, Instant) -> bool) -> Vec<Ticket> {
        let is_gone = |(ticket, running): &(&Ticket, &Running)| gone(ticket, running.sent);
        let tickets: Vec<Ticket> = self
            .running
            .iter()
            .filter(is_gone)
            .map(|(ticket, _)| ticket.clone())
            .collect();
        for ticket in &tickets {
            self.finish(ticket);
        }
        tickets
    }

    /// Its part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> dump::Server {
        dump::Server {
            name: self.name.clone(),
            state: self.health.state.text().to_owned(),
            since_ms: millis_since(self.health.since, now),
            running: self.running.len() as u64,
            slots: self.slots,
            backlog_tokens: self.backlog,
            prefill_rate: self.speed.rate(),
            first_token_ms: millis(self.speed.fixed()),
            limit: self.pacing.limit().map(|limit| dump::Limit {
                per_second: limit.per_second,
                since_ms: millis_since(limit.since, now),
                heard_by: limit.heard_by.clone(),
            }),
        }
    }

    /// A refused connection or a broken answer; `hard` takes the server down at once.
    pub(crate) fn fail(&mut self, hard: bool, now: Instant) {
        self.health.fail(hard, share_of(&self.name), now);
    }
}

/// A number from 0 to 1 that differs from server to server.
fn share_of(name: &Name) -> f64 {
    let sum = name
        .bytes()
        .fold(0_u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
    f64::from(sum % 100) / 100.0
}

fn is_kept(read: Instant, now: Instant) -> bool {
    now.saturating_duration_since(read) < OPENING_KEPT_FOR
}
