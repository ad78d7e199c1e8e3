//! A home's model of one backend server: which requests run there, how fast it is, and which prompts it has read.

mod answers;
mod brittle;
pub(crate) mod calls;
pub(crate) mod health;
mod in_flight;
pub(crate) mod pace;
pub(crate) mod pacing;
mod pauses;
mod speed;
mod stall;
mod statements;
mod warmup;

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::dump;
use crate::coordination::estimate::Estimate;
use crate::coordination::notice::{Incarnation, Receipt, Rest};
use crate::coordination::offer::{Spec, Ticket};
use crate::coordination::server::answers::Answers;
use crate::coordination::server::brittle::Caution;
use crate::coordination::server::calls::{Begun, Calls, Ran};
use crate::coordination::server::health::{Failure, Health, State};
use crate::coordination::server::in_flight::InFlight;
pub use crate::coordination::server::in_flight::Occupancy;
use crate::coordination::server::pace::Pace;
use crate::coordination::server::pacing::Pacing;
use crate::coordination::server::pauses::Pauses;
use crate::coordination::server::speed::Speed;
pub use crate::coordination::server::stall::Unheard;
use crate::coordination::server::stall::{Hearing, Silence};
use crate::coordination::server::warmup::Pacer;
use crate::coordination::servers::usual::Class;
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::config::EngineDefaults;
use crate::state::name::Name;
use crate::state::pace::USUAL_PACE;
use crate::state::units::{millis, millis_since, to_f64, to_u32};

/// How long a server is assumed to keep what it read: less than its cache keeps it under load.
const OPENING_RETENTION: Duration = Duration::from_secs(30);
/// Most openings that are remembered of one server.
const OPENINGS_MAX: usize = 1_024;

/// Further requests fewer for each request that hears nothing from the server: others might hear nothing either.
const SILENT_COST: u32 = 3;
/// Prompt tokens of a request that states none.
const PLAIN_TOKENS_MAX: u64 = 1;

/// The properties of a request that matter to the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    /// Prompt length in tokens.
    pub(crate) prompt_tokens: u64,
    /// Longest pause between the events of the answer that is on time; zero if there is no such bound.
    pub(crate) pause: Duration,
    /// Estimated number of tokens in the answer; 0 if unknown.
    pub(crate) answer_tokens: u32,
    /// Time to the first token that is on time.
    pub(crate) first_token_target: Duration,
    /// Whether a whole answer without an earlier first token counts as the first token: true for a plain call, whose
    /// duration measures the server, and false for a generation, whose duration includes all of its tokens.
    pub(crate) is_route: bool,
    /// Class of the request, if this home granted it.
    pub(crate) class: Option<Class>,
    /// Seconds that a plain call of its class usually runs; `None` if none was observed.
    pub(crate) usual_seconds: Option<f64>,
}

impl Work {
    /// Whether it may be a plain call without a prompt, whose time does not depend on the server's backlog.
    pub(crate) fn is_plain(&self) -> bool {
        self.is_route && self.prompt_tokens <= PLAIN_TOKENS_MAX
    }
}

/// A request that was granted to the server.
#[derive(Clone, Copy, Debug)]
struct Running {
    work: Work,
    /// Prompt tokens to read before the first token when the request was sent, its own included.
    backlog: u64,
    sent: Instant,
    /// Forecast time to the first token when the request was sent.
    forecast: Duration,
    begun: Begun,
    prefilled: bool,
    /// When the first token came.
    first_token: Option<Instant>,
    /// Most prompt tokens that the server had to read at once while the request ran.
    peak_backlog: u64,
    /// Its present silence, if its holder has reported it.
    silence: Option<Silence>,
    /// Whether a silence has lengthened its times.
    is_disturbed: bool,
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Option<Name>,
    pub(crate) slots: u32,
    /// Version of the server's software.
    pub(crate) version: Option<Name>,
    /// Whether the server gets only requests that name its version.
    is_tried: bool,
    /// Whether that is so only until its version has settled or the servers of all others leave.
    is_settling: bool,
    /// When the server was started, by its own clock.
    started_ms: Option<u64>,
    pub(crate) health: Health,
    /// Keeps the server to the limit that it names.
    pub(crate) pacing: Pacing,
    /// How it became known that the server is leaving, if its answers say so.
    leaving: Option<Receipt>,
    /// The last rest that the server asked for.
    rest: Option<Rest>,
    /// Withholds slots while the server is brittle.
    caution: Caution,
    /// Keeps the server to what it can take while it may be cold.
    warmup: Pacer,
    running: HashMap<Ticket, Running>,
    /// Granted requests that are under way; `None` if the load that the server states is not used.
    in_flight: Option<InFlight>,
    backlog: u64,
    /// When the server last gave a first token or a whole answer.
    last_answer: Option<Instant>,
    hearing: Hearing,
    speed: Speed,
    pauses: Pauses,
    answers: Answers,
    calls: Calls,
    pace: Pace,
    /// Whether the stated pace is used, and not just shown.
    uses_stated_pace: bool,
    /// The plain call that has just ended.
    ran: Option<Ran>,
    /// Length in tokens of the prompts that the server gets.
    prompts: Estimate,
    /// The openings of the prompts that the server read, and when. An opening identifies the beginning of a prompt.
    openings: HashMap<u64, Instant>,
}

impl Server {
    pub(crate) fn new(spec: &Spec, defaults: &EngineDefaults, now: Instant) -> Self {
        Self {
            name: spec.name.clone(),
            address: spec.address,
            data_centre: spec.data_centre.clone(),
            slots: spec.slots,
            version: spec.version.clone(),
            is_tried: spec.tried || spec.settling,
            is_settling: spec.settling,
            started_ms: spec.started_ms,
            health: Health::new(now),
            pacing: Pacing::default(),
            leaving: None,
            rest: None,
            caution: Caution::default(),
            warmup: Pacer::new(spec.warmup, now),
            running: HashMap::new(),
            in_flight: None,
            backlog: 0,
            last_answer: None,
            hearing: Hearing::default(),
            speed: Speed::with_prior(defaults.prefill_rate, defaults.overhead),
            pauses: Pauses::default(),
            answers: Answers::default(),
            calls: Calls::default(),
            pace: Pace::default(),
            uses_stated_pace: false,
            ran: None,
            prompts: Estimate::default(),
            openings: HashMap::new(),
        }
    }

    /// Compares the start time in an entry of the host list with the known one; equal if either is missing.
    pub(crate) fn compare_start(&self, spec: &Spec) -> Ordering {
        let both = spec.started_ms.zip(self.started_ms);
        both.map_or(Ordering::Equal, |(listed, known)| listed.cmp(&known))
    }

    /// Returns the known incarnation of the server.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            address: self.address,
            started_ms: self.started_ms,
        }
    }

    /// Applies an entry of the host list. At another address there is another process, which starts on trial and
    /// without the notices of the previous one.
    pub(crate) fn apply_list(&mut self, spec: &Spec, now: Instant) {
        self.slots = spec.slots;
        self.version.clone_from(&spec.version);
        self.is_tried = spec.tried || spec.settling;
        self.is_settling = spec.settling;
        self.data_centre.clone_from(&spec.data_centre);
        self.started_ms = spec.started_ms.or(self.started_ms);
        self.warmup.apply_list(spec.warmup, now);
        if self.address != spec.address {
            self.address = spec.address;
            self.pacing = Pacing::reset_at(now);
            (self.leaving, self.rest) = (None, None);
            self.caution = Caution::default();
            self.try_anew(now);
        }
        if spec.leaving || self.leaving.is_some() {
            self.health.set(State::Leaving, now);
        } else if self.health.state == State::Leaving {
            self.health.set(State::Trial, now);
            self.resume_rest(now);
        }
    }

    /// Returns the server after a restart: nothing that was learned of the previous process applies.
    pub(crate) fn restarted(spec: &Spec, defaults: &EngineDefaults, now: Instant) -> Self {
        Self {
            pacing: Pacing::reset_at(now),
            ..Self::new(spec, defaults, now)
        }
    }

    /// Records the opening of a prompt that the server gets.
    pub(crate) fn record_opening(&mut self, opening: Option<u64>, now: Instant) {
        let Some(opening) = opening else { return };
        if self.openings.len() >= OPENINGS_MAX {
            self.openings.retain(|_, at| is_remembered(*at, now));
        }
        if self.openings.len() < OPENINGS_MAX {
            self.openings.insert(opening, now);
        }
    }

    /// Whether the server has recently read a prompt with this opening.
    pub(crate) fn has_opening(&self, opening: u64, now: Instant) -> bool {
        self.openings
            .get(&opening)
            .is_some_and(|at| is_remembered(*at, now))
    }

    /// Returns the number of requests that run on the server.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the share of the server's slots that are taken.
    pub(crate) fn occupancy(&self) -> f64 {
        to_f64(self.running.len() as u64) / f64::from(self.slots.max(1))
    }

    /// Returns the free slots that the server's limit allows to be filled now.
    pub(crate) fn free_slots(&self, now: Instant) -> u32 {
        if self.is_stalled() {
            return 0;
        }
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let free = self.usable_slots().saturating_sub(running);
        let paced = self.pacing.allowance(now).map(to_u32);
        let allowances = paced.into_iter().chain(self.warmup.allowance(now));
        allowances.fold(free, u32::min)
    }

    /// Returns the slots that may be filled.
    fn usable_slots(&self) -> u32 {
        let withheld = self.caution.withheld(self.slots);
        self.slots
            .saturating_sub(withheld)
            .saturating_sub(self.abandoned())
            .saturating_add(self.further_requests())
    }

    /// Returns the number of requests that may be granted beyond the slots, since as many are under way.
    fn further_requests(&self) -> u32 {
        // A brittle server ends when it has to turn requests away.
        if self.is_brittle() || self.is_stalled() {
            return 0;
        }
        let further = self.in_flight.map_or(0, InFlight::further);
        further.saturating_sub(self.silent_requests().saturating_mul(SILENT_COST))
    }

    /// Sets whether the load that the server states is used to keep its slots in use.
    pub(crate) fn use_stated_load(&mut self, uses: bool) {
        self.in_flight = uses.then(|| self.in_flight.unwrap_or_default());
    }

    /// Forgets how many requests are under way.
    pub(crate) fn reset_in_flight(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            *in_flight = InFlight::default();
        }
    }

    /// Records the load that the server stated in a whole answer whose end has just reached the home.
    pub(crate) fn note_occupancy(&mut self, stated: Occupancy) {
        let is_full = self.running.len() >= self.usable_slots() as usize;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.note(stated, self.slots, is_full);
        }
    }

    /// Whether the server states that it ends when it has to turn requests away.
    pub(crate) fn is_brittle(&self) -> bool {
        self.caution.stated().is_some()
    }

    /// Returns when more of its slots may be filled, if some are withheld since it is brittle.
    pub(crate) fn eases_at(&self) -> Option<Instant> {
        self.caution.eases_at()
    }

    /// Returns when the server's limits let it have the next request; `None` if it may get one now.
    pub(crate) fn opens_at(&self) -> Option<Instant> {
        self.pacing.opens_at().max(self.warmup.opens_at())
    }

    /// Updates when the server's limits let it have the next request.
    pub(crate) fn update_limits(&mut self, now: Instant) {
        self.pacing.update(now);
        self.warmup.update(now);
        self.caution.update(now);
    }

    /// Sets this home's share of the server's limits.
    pub(crate) fn set_limit_share(&mut self, share: f64, now: Instant) {
        self.pacing.set_share(share, now);
        self.warmup.set_share(share, now);
    }

    /// Returns the prompt tokens of the requests that have no first token yet.
    pub(crate) fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Returns the prompt tokens that the server reads per second, or fewer if its limit lets fewer come.
    pub(crate) fn rate(&self) -> f64 {
        let read_rate = self.speed.rate();
        let limited = self.pacing.rate().zip(self.prompts.mean());
        limited.map_or(read_rate, |(requests, prompt)| {
            read_rate.min(requests * prompt)
        })
    }

    /// Whether the server's version has joined others too recently to get new requests.
    pub(crate) fn is_settling(&self) -> bool {
        self.is_settling
    }

    /// Lets the server get new requests before its version has settled.
    pub(crate) fn end_settling(&mut self) {
        self.is_tried = false;
        self.is_settling = false;
    }

    /// Whether requests with this constraint may run on the server.
    pub(crate) fn is_allowed_by(&self, versions: &Constraint) -> bool {
        versions.allows(self.version.as_ref(), self.is_tried)
    }

    /// Whether the server takes work, if it has room.
    pub(crate) fn takes_work(&self) -> bool {
        matches!(self.health.state, State::Live | State::Trial)
    }

    /// Whether the server may be given a request now.
    pub(crate) fn is_open(&self) -> bool {
        self.opens_at().is_none() && self.has_room()
    }

    /// Whether a request could run on the server, apart from its limit.
    fn has_room(&self) -> bool {
        match self.health.state {
            State::Live => self.running.len() < self.usable_slots() as usize,
            // Requests that hang from before the trial do not hold it up.
            State::Trial => {
                self.running.is_empty()
                    || self.is_silent_throughout()
                        && self.running.len() < self.usable_slots() as usize
            }
            State::Leaving | State::Down { .. } | State::Resting { .. } => false,
        }
    }

    /// Returns the time until the server may be given a request, by its health and its limit; `None` if it is
    /// leaving.
    pub(crate) fn available_in(&self, now: Instant) -> Option<Duration> {
        let opens_in = |at: Instant| at.saturating_duration_since(now);
        let paced_for = self.opens_at().map(opens_in).unwrap_or_default();
        Some(self.health.available_in(now)?.max(paced_for))
    }

    /// Returns the forecast time to the first token of a request sent now, plus the time that the server is overdue.
    pub(crate) fn first_token_in(&self, work: &Work, now: Instant) -> Duration {
        self.first_token_behind_backlog(work, now) + self.overdue(now)
    }

    /// Returns the forecast time to the first token of a request sent now, behind the current backlog. That of a plain
    /// call is the end of its answer.
    pub(crate) fn first_token_behind_backlog(&self, work: &Work, now: Instant) -> Duration {
        self.call_time(work, now)
            .unwrap_or_else(|| self.read_time(self.backlog + work.prompt_tokens))
    }

    /// Returns the forecast time to the first token of a request while the server reads nothing else.
    pub(crate) fn first_token_when_idle(&self, work: &Work, now: Instant) -> Duration {
        self.call_time(work, now)
            .unwrap_or_else(|| self.read_time(work.prompt_tokens))
    }

    /// Returns the forecast time until the current backlog has been read, plus the time that the server is overdue.
    pub(crate) fn backlog_time(&self, now: Instant) -> Duration {
        self.read_time(self.backlog) + self.overdue(now)
    }

    fn read_time(&self, prompt_tokens: u64) -> Duration {
        self.speed.time_to_first_token(prompt_tokens)
    }

    /// Returns how long the server has been silent beyond the forecast for the requests that wait there.
    ///
    /// This detects a server that stops answering before any of its answers has failed. One request that is stuck
    /// while others are answered says nothing about the server.
    fn overdue(&self, now: Instant) -> Duration {
        if let Some(since) = self.stalled_since() {
            return now.saturating_duration_since(since);
        }
        if self.backlog == 0 {
            return Duration::ZERO;
        }
        let waiting = self.running.values().filter(|running| !running.prefilled);
        let overdue = waiting.map(|running| {
            let since = self
                .heard_at()
                .map_or(running.sent, |at| at.max(running.sent));
            let silent = now.saturating_duration_since(since);
            silent.saturating_sub(running.forecast)
        });
        overdue.max().unwrap_or_default()
    }

    /// Whether the pauses of most streams would stay within `pause` while a prompt of this length is read. Lengths
    /// without an observation are assumed to, so that they are tried.
    pub(crate) fn keeps_pauses_within(&self, prompt_tokens: u64, pause: Duration) -> bool {
        pause.is_zero()
            || self
                .pauses
                .likely(prompt_tokens)
                .is_none_or(|likely| likely <= pause)
    }

    /// Whether the streams that run on the server would stay on time if it read such a prompt as well.
    pub(crate) fn keeps_streams_on_time(&self, prompt_tokens: u64) -> bool {
        let bounds = self.running.values().map(|running| running.work.pause);
        let tightest = bounds.filter(|pause| !pause.is_zero()).min();
        tightest.is_none_or(|pause| self.keeps_pauses_within(self.backlog + prompt_tokens, pause))
    }

    /// Counts a request that is granted to the server.
    pub(crate) fn send(&mut self, ticket: Ticket, work: Work, now: Instant) {
        self.pacing.take(now);
        self.warmup.take(now);
        self.prompts.observe(to_f64(work.prompt_tokens));
        self.add_running(ticket, work, now);
    }

    /// Adds a running request.
    fn add_running(&mut self, ticket: Ticket, work: Work, now: Instant) {
        let before = self.backlog;
        let forecast = self.first_token_behind_backlog(&work, now);
        let begun = self.begin_call(&work, now);
        self.backlog += work.prompt_tokens;
        for other in self.running.values_mut() {
            other.peak_backlog = other.peak_backlog.max(self.backlog);
        }
        let running = Running {
            work,
            backlog: self.backlog,
            sent: now,
            forecast,
            begun,
            prefilled: false,
            first_token: None,
            peak_backlog: before,
            silence: None,
            is_disturbed: self.is_stalled(),
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
            first_token_target: Duration::ZERO,
            is_route: false,
            class: None,
            usual_seconds: None,
        };
        self.add_running(ticket.clone(), work, now);
        if prefilled {
            self.finish_prefill(ticket);
        }
    }

    /// Removes a request's prompt from the backlog, once.
    fn finish_prefill(&mut self, ticket: &Ticket) -> Option<Running> {
        let running = self.running.get_mut(ticket)?;
        if running.prefilled {
            return None;
        }
        running.prefilled = true;
        self.backlog = self.backlog.saturating_sub(running.work.prompt_tokens);
        Some(*running)
    }

    /// Removes a request that ended; returns whether it was running here.
    pub(crate) fn finish(&mut self, ticket: &Ticket) -> bool {
        self.finish_prefill(ticket);
        self.end_silence(ticket);
        self.running.remove(ticket).is_some()
    }

    /// Removes and returns every request that `gone` selects by its ticket and the time when it was sent.
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

    /// Returns the server's part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> dump::Server {
        dump::Server {
            name: self.name.clone(),
            state: self.health.state.text().to_owned(),
            silent_ms: self.stalled_since().map(|since| millis_since(since, now)),
            since_ms: millis_since(self.health.since, now),
            heard_by: self.state_heard_by().cloned(),
            rest_ms: match self.health.state {
                State::Resting { until } => Some(millis_since(now, until)),
                _ => None,
            },
            running: self.running.len() as u64,
            slots: self.slots,
            version: self.version.clone(),
            backlog_tokens: self.backlog,
            prefill_rate: self.speed.rate(),
            first_token_ms: millis(self.speed.overhead()),
            further: self.further_requests(),
            call_ms: self.mean_call_time().map(millis),
            learned_pace: self
                .mean_call_time()
                .map(|_| learned_pace(self.call_ratio())),
            stated_pace: self.pace.stated().map(|stated| dump::StatedPace {
                pace: stated.pace,
                age_ms: millis_since(stated.at, now),
                weight: self.stated_pace_weight(now),
            }),
            brittle: self.caution.stated().map(|stated| stated.tolerance),
            limit: self.pacing.limit().map(|limit| dump::Limit {
                per_second: limit.per_second,
                since_ms: millis_since(limit.since, now),
                heard_by: limit.heard_by.clone(),
            }),
        }
    }

    /// Sets whether the pace that the server states is used for forecasts.
    pub(crate) fn use_stated_pace(&mut self, uses: bool) {
        self.uses_stated_pace = uses;
    }

    /// Records the pace that the server states.
    pub(crate) fn note_pace(&mut self, pace: u32, now: Instant) {
        self.pace.note(pace, now);
    }

    /// Records a refused connection or a broken answer.
    pub(crate) fn fail(&mut self, failure: Failure, now: Instant) {
        self.health.fail(failure, jitter_of(&self.name), now);
        // A server that goes on working may fail a part of its requests.
        if self.health.state != State::Live {
            self.reset_in_flight();
        }
    }
}

/// Returns a ratio of running times as a pace.
fn learned_pace(ratio: f64) -> u32 {
    to_u32((ratio * f64::from(USUAL_PACE)).round())
}

/// Returns a number from 0 to 1 that depends on the server's name.
fn jitter_of(name: &Name) -> f64 {
    let sum = name
        .bytes()
        .fold(0_u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
    f64::from(sum % 100) / 100.0
}

fn is_remembered(read_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(read_at) < OPENING_RETENTION
}
