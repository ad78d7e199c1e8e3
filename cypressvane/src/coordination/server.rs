//! What a home believes of one backend server: what runs there, how fast it is, whether it is well.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::coordination::offer::{Spec, Ticket};
use crate::protocol::dump;
use crate::state::name::Name;
use crate::state::units::{millis_since, real};

/// Slowest and fastest speed believed of any server, in prompt tokens a second.
const RATE_RANGE: (f64, f64) = (50.0, 1_000_000.0);
/// Weight of the newest observation in the learnt speed.
const RATE_WEIGHT: f64 = 0.2;
/// Prompt tokens from which on an observation counts fully: a short prompt's time tells little.
const OBSERVED_TOKENS_FULL: f64 = 2_000.0;
/// Least backlog, in prompt tokens, whose time tells something of the speed.
const OBSERVED_TOKENS_MIN: u64 = 64;
/// Failures in a row after which a server is taken down.
const FAILURES_MAX: u32 = 3;
/// First time that a failing server is left alone.
const DOWN_FIRST: Duration = Duration::from_millis(500);
/// Longest time that a failing server is left alone.
const DOWN_MAX: Duration = Duration::from_secs(30);

/// Time for which a server that had no room is left alone: a few batches of a model engine.
const PAUSE: Duration = Duration::from_millis(100);

/// Whether a server takes work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// It takes work.
    Live,
    /// It is leaving: no new work.
    Leaving,
    /// It failed and is left alone until then.
    Down {
        /// When it is tried again.
        until: Instant,
    },
    /// It is tried with one request at a time.
    Trial,
}

impl State {
    /// The word for it in a dump.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Down { .. } => "down",
            Self::Trial => "trial",
        }
    }
}

/// How long a server is taken to keep what it read: less than its cache holds under load.
const OPENING_KEPT_FOR: Duration = Duration::from_secs(30);
/// Most openings that are remembered of one server.
const OPENINGS_MAX: usize = 1_024;

/// What is believed of a server that has not answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Prompt tokens that it reads a second.
    pub prefill_rate: f64,
    /// Time to the first token that a prompt takes however short it is.
    pub overhead: Duration,
    /// Time that is given for a server in the holder's own data centre.
    pub distance: Duration,
    /// Time that is given for a server that has lately read what a prompt begins with.
    pub opening: Duration,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            prefill_rate: 4_000.0,
            overhead: Duration::from_millis(5),
            distance: Duration::ZERO,
            opening: Duration::ZERO,
        }
    }
}

/// A request that was granted to the server.
#[derive(Clone, Copy, Debug)]
struct Running {
    prompt_tokens: u64,
    /// Backlog when it was sent, itself included.
    backlog: u64,
    sent: Instant,
    prefilled: bool,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Option<Name>,
    pub(crate) slots: u32,
    pub(crate) state: State,
    pub(crate) since: Instant,
    running: HashMap<Ticket, Running>,
    backlog: u64,
    rate: f64,
    /// Time from sending to the first token that is no sign of prefill speed.
    overhead: Duration,
    failures: u32,
    downs: u32,
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
            state: State::Live,
            since: now,
            running: HashMap::new(),
            backlog: 0,
            rate: belief.prefill_rate,
            overhead: belief.overhead,
            failures: 0,
            downs: 0,
            openings: HashMap::new(),
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

    pub(crate) fn set_state(&mut self, state: State, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Prompt tokens sent whose first answer token has not come.
    pub(crate) fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Prompt tokens a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether it may be given a request now.
    pub(crate) fn is_open(&self) -> bool {
        match self.state {
            State::Live => self.running.len() < self.slots as usize,
            State::Trial => self.running.is_empty(),
            State::Leaving | State::Down { .. } => false,
        }
    }

    /// Time until it takes work again; `None` when it is leaving.
    pub(crate) fn returns_in(&self, now: Instant) -> Option<Duration> {
        match self.state {
            State::Live | State::Trial => Some(Duration::ZERO),
            State::Down { until } => Some(until.saturating_duration_since(now)),
            State::Leaving => None,
        }
    }

    /// Time until a prompt sent now would have its first token.
    pub(crate) fn first_token_in(&self, prompt_tokens: u64, now: Instant) -> Duration {
        let tokens = self.backlog + prompt_tokens;
        self.overhead + Duration::from_secs_f64(real(tokens) / self.current_rate(now))
    }

    /// The learnt speed, or less when a prefill under way takes longer than it allows.
    fn current_rate(&self, now: Instant) -> f64 {
        if self.backlog == 0 {
            return self.rate;
        }
        self.running
            .values()
            .filter(|running| !running.prefilled)
            .map(|running| bound_of(running, self.overhead, now))
            .fold(self.rate, f64::min)
    }

    pub(crate) fn send(&mut self, ticket: Ticket, prompt_tokens: u64, now: Instant) {
        self.backlog += prompt_tokens;
        let running = Running {
            prompt_tokens,
            backlog: self.backlog,
            sent: now,
            prefilled: false,
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
        self.send(ticket.clone(), prompt_tokens, now);
        if prefilled {
            self.settle_prefill(ticket);
        }
    }

    /// Learns from a first token.
    pub(crate) fn first_token(&mut self, ticket: &Ticket, now: Instant) {
        let Some(running) = self.settle_prefill(ticket) else {
            return;
        };
        self.recover(now);
        let elapsed = now
            .saturating_duration_since(running.sent)
            .saturating_sub(self.overhead);
        if running.backlog < OBSERVED_TOKENS_MIN || elapsed.is_zero() {
            return;
        }
        let observed = real(running.backlog) / elapsed.as_secs_f64();
        let weight = RATE_WEIGHT * (real(running.backlog) / OBSERVED_TOKENS_FULL).min(1.0);
        let learnt = self.rate + weight * (observed - self.rate);
        self.rate = learnt.clamp(RATE_RANGE.0, RATE_RANGE.1);
    }

    /// Takes a request's prompt off the backlog, once.
    fn settle_prefill(&mut self, ticket: &Ticket) -> Option<Running> {
        let running = self.running.get_mut(ticket)?;
        if running.prefilled {
            return None;
        }
        running.prefilled = true;
        self.backlog = self.backlog.saturating_sub(running.prompt_tokens);
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
            state: self.state.text().to_owned(),
            since_ms: millis_since(self.since, now),
            running: self.running.len() as u64,
            slots: self.slots,
            backlog_tokens: self.backlog,
            prefill_rate: self.rate,
        }
    }

    /// A whole answer, or a first token: the server is well.
    pub(crate) fn recover(&mut self, now: Instant) {
        self.failures = 0;
        if self.state == State::Trial {
            self.downs = 0;
            self.set_state(State::Live, now);
        }
    }

    /// A refused connection or a broken answer.
    ///
    /// `hard` takes the server down at once: nothing listens there.
    pub(crate) fn fail(&mut self, hard: bool, now: Instant) {
        if self.state == State::Leaving {
            return;
        }
        self.failures += 1;
        let on_trial = self.state == State::Trial;
        if hard || on_trial || self.failures >= FAILURES_MAX {
            let rest = DOWN_FIRST
                .saturating_mul(1 << self.downs.min(8))
                .min(DOWN_MAX);
            self.downs += 1;
            self.failures = 0;
            self.set_state(
                State::Down {
                    until: now + self.spread(rest),
                },
                now,
            );
        }
    }

    /// The server had no room: it is left alone for a moment.
    pub(crate) fn pause(&mut self, now: Instant) {
        if matches!(self.state, State::Live | State::Trial) {
            let until = now + PAUSE;
            self.set_state(State::Down { until }, now);
        }
    }

    /// Adds up to half of `rest`, by the server's name, so that servers do not return together.
    fn spread(&self, rest: Duration) -> Duration {
        let sum = self
            .name
            .bytes()
            .fold(0_u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
        rest + rest.mul_f64(f64::from(sum % 100) / 200.0)
    }
}

fn is_kept(read: Instant, now: Instant) -> bool {
    now.saturating_duration_since(read) < OPENING_KEPT_FOR
}

/// The most prompt tokens a second that a prefill still under way allows.
fn bound_of(running: &Running, overhead: Duration, now: Instant) -> f64 {
    let elapsed = now
        .saturating_duration_since(running.sent)
        .saturating_sub(overhead);
    if elapsed.is_zero() {
        return f64::INFINITY;
    }
    (real(running.backlog) / elapsed.as_secs_f64()).max(RATE_RANGE.0)
}
