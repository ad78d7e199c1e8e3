//! A pool of backend servers and its queue, as kept by the pool's home.
//!
//! Requests wait on the hosts that received them. The home orders their offers, counts the granted prompt tokens, and
//! limits each server's backlog so that first tokens arrive in time.

mod grants;
mod intake;
mod sharing;

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use self::intake::refuse;
use crate::coordination::admission::{Admission, Kind};
use crate::coordination::demand::Demand;
use crate::coordination::dump;
pub use crate::coordination::notice::{Brittle, Incarnation, Notice, Receipt, ReportedLimit, Rest};
pub use crate::coordination::offer::{Action, End, Offer, Spec, Ticket, Warmup};
use crate::coordination::queue::Queue;
use crate::coordination::server::Server;
use crate::coordination::server::health::{Failure, State};
pub use crate::coordination::server::{Occupancy, Unheard};
use crate::coordination::servers::{LimitChange, Servers, StateChange};
use crate::coordination::share::Charge;
pub use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
pub use crate::state::config::EngineDefaults;
use crate::state::name::Name;

/// How long an answer of a server contradicts a report that it is unreachable. The holder and the hosts that it asked
/// may all have lost their links to the server, so such a report only pauses it.
const WITNESS_TIME: Duration = Duration::from_millis(300);

/// A granted request that has not ended.
#[derive(Debug)]
struct Granted {
    server: Name,
    at: Instant,
    /// When its holder last listed it as running; at first the time of the grant.
    confirmed: Instant,
    /// Forecast time to the first token.
    first_token: Duration,
    /// Forecast time to the first token if the server were idle; `None` once the first token has come, and for a request
    /// that is not refused early.
    idle: Option<Duration>,
    /// Forecast running time, if one is known.
    run_time: Option<Duration>,
    /// Class of requests with similar running times; `None` if another home granted the request.
    kind: Option<Kind>,
    /// What its account was charged, if accounts share the pool and this home granted it.
    charge: Option<Charge>,
}

impl Granted {
    /// Forecast time to its end; `mean` is the running time of a request that has no forecast.
    fn ends_in(&self, mean: Duration, now: Instant) -> Duration {
        let ends_at = self.at + self.run_time.unwrap_or(mean);
        ends_at.saturating_duration_since(now)
    }

    /// Records how long the first token took, or the whole answer of a plain call, once.
    fn teach_first_token(&mut self, admission: &mut Admission, now: Instant) {
        if let (Some(kind), Some(idle)) = (self.kind, self.idle.take()) {
            let took = now.saturating_duration_since(self.at);
            admission.note_first_token(kind, took, idle);
        }
    }
}

/// Whether an action refuses a request.
pub(crate) fn is_refusal_of(action: &Action, of: &Ticket) -> bool {
    matches!(action, Action::Refuse { ticket, .. } if ticket == of)
}

/// A pool of backend servers with its queue.
#[derive(Debug)]
pub struct Pool {
    service: Name,
    waiting_max: usize,
    servers: Servers,
    queue: Queue,
    granted: HashMap<Ticket, Granted>,
    demand: Demand,
    admission: Admission,
}

impl Pool {
    /// Creates a pool without servers; `waiting_max` is the maximum length of its queue.
    #[must_use]
    pub fn new(service: Name, waiting_max: usize) -> Self {
        Self::with_defaults(service, waiting_max, EngineDefaults::default())
    }

    /// Creates a pool without servers; `defaults` holds the initial estimates for each server that is added.
    #[must_use]
    pub fn with_defaults(service: Name, waiting_max: usize, defaults: EngineDefaults) -> Self {
        Self {
            service,
            waiting_max,
            servers: Servers::new(defaults),
            queue: Queue::default(),
            granted: HashMap::new(),
            demand: Demand::default(),
            admission: Admission::default(),
        }
    }

    /// Makes the retry times of refused requests reservations. It is to be called before the first offer.
    #[must_use]
    pub fn with_reservations(mut self) -> Self {
        self.admission.enable_reservations();
        self
    }

    /// Records that this home's process has just started, and does not know before `until` what runs on the servers.
    pub fn set_unaware_until(&mut self, until: Instant) {
        self.servers.set_unaware_until(until);
    }

    /// Records that this host has become the home of the pool: others may hold requests that an earlier home granted.
    pub fn begin_term(&mut self, now: Instant) {
        self.servers.note_takeover(now);
        self.servers.reset_in_flight();
    }

    /// Records that a host takes this one for the home before this one does, and so before it hears what runs.
    ///
    /// If hosts disagree for long, only the first offer to a pool that keeps nothing begins a term.
    pub fn begin_early_term(&mut self, now: Instant) {
        if self.queue.len() == 0 && self.granted.is_empty() {
            self.begin_term(now);
        }
    }

    /// Updates the servers from the host list.
    pub fn set_servers(&mut self, specs: &[Spec], now: Instant) -> Vec<Action> {
        // These requests ran on an earlier process of a restarted server, so their end must not affect the new one.
        let ended = self.servers.apply_list(specs, now);
        self.release(ended, now);
        let mut actions = self.refuse_unservable(now);
        actions.extend(self.grant(now));
        actions
    }

    /// Handles an offer. Duplicates are harmless: a grant is sent again, a waiting offer is left in the queue.
    pub fn offer(&mut self, mut offer: Offer, now: Instant) -> Vec<Action> {
        if self.queue.contains(&offer.ticket) {
            return Vec::new();
        }
        if let Some(action) = self.repeat_grant(&offer) {
            return vec![action];
        }
        self.refresh_shares(now);
        // A grant that the offer may not use is an earlier one whose end was lost.
        let mut actions = self.finish(&offer.ticket, End::Unused, now);
        let Some(soonest) = self.servers.soonest_first_token(&offer, now) else {
            actions.push(self.refuse_without_server(offer, now));
            return actions;
        };
        if offer.early {
            self.note_demand(&offer, now);
            self.admission.mark_returning(&mut offer, now);
            // An account's start tags keep its repeated requests from gaining anything.
            offer.late &= !self.is_shared();
            actions.extend(self.admit(offer, now));
        } else if let Some(reason) = self.unreachable(&offer, soonest, now) {
            let reason = self.explain_share(&offer, reason, now);
            actions.push(refuse(offer, reason));
            return actions;
        } else {
            self.note_demand(&offer, now);
            self.enqueue(offer, now);
        }
        if self.queue.len() > self.waiting_max {
            actions.extend(self.shed(now));
        }
        actions.extend(self.grant(now));
        actions
    }

    /// Takes back the refusal of an offer that is passed to another shard instead.
    pub(crate) fn take_back_refusal(
        &mut self,
        actions: &mut Vec<Action>,
        ticket: &Ticket,
        mark: Option<u64>,
    ) {
        actions.retain(|action| !is_refusal_of(action, ticket));
        self.admission.forget_refusal(mark);
    }

    /// Adds an offer to its tier's demand.
    fn note_demand(&mut self, offer: &Offer, now: Instant) {
        self.demand.add(
            offer.rank,
            offer.prompt_tokens,
            offer.first_token_target,
            now,
        );
    }

    /// The grant of an offer that was already granted, to send it again; `None` if its versions have changed since, so
    /// that it may not use the grant.
    fn repeat_grant(&self, offer: &Offer) -> Option<Action> {
        let granted = self.granted.get(&offer.ticket)?;
        let server = self.servers.get(&granted.server)?;
        // A server that has become a canary since keeps what it was granted.
        if !offer.versions.allows(server.version.as_ref(), false) {
            return None;
        }
        Some(Action::Grant {
            ticket: offer.ticket.clone(),
            server: server.name.clone(),
            address: server.address,
            first_token: granted.first_token,
            limited: server.pacing.limit().is_some(),
            started_ms: server.incarnation().started_ms,
            version: server.version.clone(),
        })
    }

    /// Removes a waiting request from the queue, or takes back an unused grant.
    pub fn withdraw(&mut self, ticket: &Ticket, now: Instant) -> Vec<Action> {
        if self.queue.remove(ticket).is_some() {
            return Vec::new();
        }
        self.finish(ticket, End::Unused, now)
    }

    /// Sets whether the paces that servers state are used for forecasts.
    pub fn use_stated_pace(&mut self, uses: bool) {
        self.servers.use_stated_pace(uses);
    }

    /// Records the pace that the server of a granted request states, in percent of the usual time; one that is out of
    /// range has no effect.
    pub fn note_pace(&mut self, ticket: &Ticket, pace: u32, now: Instant) {
        if let Some(granted) = self.granted.get(ticket) {
            self.servers
                .change(&granted.server, |server| server.note_pace(pace, now));
        }
    }

    /// Records that the first token of a granted request arrived.
    pub fn note_first_token(&mut self, ticket: &Ticket, now: Instant) -> Vec<Action> {
        let Some(granted) = self.granted.get_mut(ticket) else {
            return Vec::new();
        };
        let server = self.servers.get(&granted.server);
        if !server.is_some_and(|server| server.is_disturbed(ticket)) {
            granted.teach_first_token(&mut self.admission, now);
        }
        self.servers.note(&granted.server, now, |server| {
            server.first_token(ticket, now);
        });
        self.grant(now)
    }

    /// Records that a granted request has heard nothing from its server for `silence`, longer than expected.
    pub fn note_silence(
        &mut self,
        ticket: &Ticket,
        silence: Duration,
        now: Instant,
    ) -> Vec<Action> {
        if let Some(granted) = self.granted.get(ticket) {
            let is_alone = self.servers.is_alone(&granted.server);
            self.servers.note(&granted.server, now, |server| {
                server.note_silence(ticket, silence, is_alone, now);
            });
        }
        self.grant(now)
    }

    /// Records that the server of a granted request, which was silent, has sent something.
    pub fn note_voice(&mut self, ticket: &Ticket, now: Instant) -> Vec<Action> {
        if let Some(granted) = self.granted.get(ticket) {
            self.servers
                .note(&granted.server, now, |server| server.hear(ticket, now));
        }
        self.grant(now)
    }

    /// Records the longest pause in a granted request's stream, just before the stream ends.
    pub fn note_longest_pause(&mut self, ticket: &Ticket, longest: Duration) {
        if let Some(granted) = self.granted.get(ticket) {
            self.servers
                .change(&granted.server, |server| server.paused(ticket, longest));
        }
    }

    /// Sets whether the load that servers state is used to keep their slots in use.
    pub fn use_stated_load(&mut self, uses: bool) {
        self.servers.use_stated_load(uses);
    }

    /// Records the load that the server of a granted request stated in its whole answer, just before the request ends.
    pub fn note_occupancy(&mut self, ticket: &Ticket, stated: Occupancy) {
        if let Some(granted) = self.granted.get(ticket) {
            self.servers
                .change(&granted.server, |server| server.note_occupancy(stated));
        }
    }

    /// Records the limit, in requests per second, in a server's answer to a granted request; `None` if the answer
    /// names no limit.
    pub fn apply_limit(
        &mut self,
        ticket: &Ticket,
        server: &Name,
        named: Option<f64>,
        now: Instant,
    ) -> Vec<Action> {
        // The time of the grant is unknown for a request that another home granted.
        let own = self.granted.get(ticket).filter(|own| own.kind.is_some());
        let granted_at = own.filter(|own| own.server == *server).map(|own| own.at);
        self.servers
            .apply_limit(server, named, granted_at, &ticket.holder, now);
        self.grant(now)
    }

    /// Records what a server has stated of itself.
    pub fn apply_notice(&mut self, server: &Name, notice: Notice, now: Instant) -> Vec<Action> {
        self.servers.apply_notice(server, notice, now);
        self.grant(now)
    }

    /// Whether the host list has a later incarnation of the server.
    #[must_use]
    pub fn is_outdated(&self, server: &Name, incarnation: Incarnation) -> bool {
        let listed = self.servers.get(server).map(Server::incarnation);
        let order = listed.and_then(|listed| incarnation.compare(&listed));
        order == Some(Ordering::Less)
    }

    /// Sets this home's share of the servers' limits, from 0 to 1.
    ///
    /// A home that is connected to only some of the hosts leaves the remaining share to another home that may be
    /// connected to the others.
    pub fn set_limit_share(&mut self, share: f64, now: Instant) -> Vec<Action> {
        self.servers.set_limit_share(share, now);
        self.grant(now)
    }

    /// Records how a granted request ended.
    pub fn finish(&mut self, ticket: &Ticket, end: End, now: Instant) -> Vec<Action> {
        let Some(mut granted) = self.granted.remove(ticket) else {
            return Vec::new();
        };
        let server = self.servers.get(&granted.server);
        let is_disturbed = server.is_some_and(|server| server.is_disturbed(ticket));
        let slots = server.map_or(1, |server| server.slots);
        let kind = granted.kind.filter(|_| end == End::Whole);
        // The first request of a kind is learned even if its silence was reported: before its time is known, silences are
        // reported too soon.
        if let Some(kind) = kind.filter(|kind| !is_disturbed || !self.admission.knows(kind)) {
            let ran = now.saturating_duration_since(granted.at);
            self.admission.note_run_time(kind, ran);
            self.note_run_time(granted.charge.as_ref(), kind, ran, now);
            granted.teach_first_token(&mut self.admission, now);
        }
        self.settle(granted.charge, granted.at, slots, end, now);
        let server = self.servers.get(&granted.server);
        let is_stalled = server.is_some_and(Server::is_stalled);
        let may_fail = is_stalled || matches!(end, End::Broken | End::Unreachable);
        let is_alone = may_fail && self.servers.is_alone(&granted.server);
        self.servers.note(&granted.server, now, |server| {
            let is_unanswered = matches!(
                end,
                End::Unused | End::Broken | End::Severed | End::Overtaken | End::Outrun
            );
            if end == End::Outrun {
                server.excuse(ticket, now);
            }
            let is_explained = is_unanswered && server.abandon(ticket);
            match end {
                End::Whole => server.answered(ticket, now),
                End::Leaving | End::Replaced | End::Full => server.hear(ticket, now),
                _ => {}
            }
            server.finish(ticket);
            if is_unanswered && !is_explained {
                server.note_broken_off(now);
            }
            match end {
                End::Whole => server.health.recover(now),
                End::Unused | End::Severed | End::Overtaken | End::Outrun => {}
                End::Broken if is_explained => {}
                End::Broken if is_alone => server.health.fail_alone(now),
                End::Broken => server.fail(Failure::Broken, now),
                End::Unreachable if server.has_answered_since(granted.at) => {}
                End::Unreachable if server.has_answered_within(WITNESS_TIME, now) => {
                    server.health.pause_full(None, now);
                }
                End::Unreachable if is_alone => server.fail(Failure::UnreachableAlone, now),
                End::Unreachable => server.fail(Failure::Unreachable, now),
                End::Leaving | End::Replaced => server.health.set(State::Leaving, now),
                End::Full => server.note_full(now),
            }
            server.limit_stall(is_alone, now);
        });
        self.grant(now)
    }

    /// Adopts a running request that an earlier home granted. One that is known already stays as it is.
    pub fn adopt(
        &mut self,
        ticket: Ticket,
        server: &Name,
        prompt_tokens: u32,
        prefilled: bool,
        now: Instant,
    ) {
        self.queue.remove(&ticket);
        if self.granted.contains_key(&ticket) {
            return;
        }
        self.servers.note_takeover(now);
        let adopted = self.servers.change(server, |server| {
            server.adopt(&ticket, prompt_tokens.into(), prefilled, now);
        });
        if adopted.is_some() {
            let granted = Granted {
                server: server.clone(),
                at: now,
                confirmed: now,
                first_token: Duration::ZERO,
                idle: None,
                run_time: None,
                kind: None,
                charge: None,
            };
            self.granted.insert(ticket, granted);
        }
    }

    /// Releases the grants of a holder that are missing from its list of running requests.
    ///
    /// Grants younger than `age` are skipped, since they may not have reached the holder yet.
    pub fn reconcile(
        &mut self,
        holder: &Name,
        incarnation: u64,
        running: &[u64],
        age: Duration,
        now: Instant,
    ) -> Vec<Action> {
        let running: HashSet<u64> = running.iter().copied().collect();
        let is_lost = |ticket: &Ticket, sent: Instant| {
            ticket.holder == *holder
                && ticket.incarnation == incarnation
                && !running.contains(&ticket.sequence)
                && now.saturating_duration_since(sent) >= age
        };
        let lost = self.servers.forget(is_lost);
        self.release(lost, now);
        for sequence in running {
            let ticket = Ticket {
                holder: holder.clone(),
                incarnation,
                sequence,
            };
            if let Some(granted) = self.granted.get_mut(&ticket) {
                granted.confirmed = now;
            }
        }
        self.grant(now)
    }

    /// Releases the grants that their holders have not listed as running for `age`.
    ///
    /// A holder that never received a grant cannot list it, and the slot would leak. The requests of a holder that is
    /// disconnected for that long are no longer counted either, so their servers may get as many further requests
    /// meanwhile.
    pub fn forget_unconfirmed(&mut self, age: Duration, now: Instant) -> Vec<Action> {
        let granted = &self.granted;
        let is_lost = |ticket: &Ticket, _| {
            let confirmed = granted.get(ticket).map(|granted| granted.confirmed);
            confirmed.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        let lost = self.servers.forget(is_lost);
        self.release(lost, now);
        self.grant(now)
    }

    /// Drops all requests of a holder's incarnations before `before`; `u64::MAX` drops those of a host that is gone.
    pub fn forget(&mut self, holder: &Name, before: u64, now: Instant) -> Vec<Action> {
        let gone = |ticket: &Ticket| ticket.holder == *holder && ticket.incarnation < before;
        self.queue.forget(gone);
        let lost = self.servers.forget(|ticket, _| gone(ticket));
        self.release(lost, now);
        self.grant(now)
    }

    /// Refuses offers that can no longer be met, and grants others to servers that are available again.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.refresh_shares(now);
        self.charge_overdue(now);
        self.grant(now)
    }

    /// Takes the changes of server states since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<StateChange> {
        self.servers.take_changes()
    }

    /// Takes the requests that hear nothing from servers which others hear, since the last call.
    #[must_use]
    pub fn take_unheard(&mut self) -> Vec<Unheard> {
        self.servers.take_unheard()
    }

    /// Number of servers that stand still.
    #[must_use]
    pub fn stalled_count(&self) -> usize {
        self.servers.stalled_count()
    }

    /// Takes the changes of server limits since the last call.
    pub(crate) fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.servers.take_limit_changes()
    }

    /// Number of servers with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.servers.limited_count()
    }

    /// Number of servers that are brittle.
    #[must_use]
    pub fn brittle_count(&self) -> usize {
        self.servers.brittle_count()
    }

    /// Numbers of servers that are leaving by their own statement, and of those that rest.
    #[must_use]
    pub fn barred_counts(&self) -> (usize, usize) {
        self.servers.barred_counts()
    }

    /// Whether the ticket's request waits in the queue.
    #[must_use]
    pub fn is_waiting(&self, ticket: &Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Whether the ticket's request waits, or is granted and has not ended.
    #[must_use]
    pub fn contains(&self, ticket: &Ticket) -> bool {
        self.is_waiting(ticket) || self.granted.contains_key(ticket)
    }

    /// Whether a new offer would have to wait.
    #[must_use]
    pub fn is_saturated(&self) -> bool {
        self.queue.len() > 0 || !self.servers.is_any_ready()
    }

    /// Free slots of live servers, as far as the servers' limits allow their use, minus the waiting requests.
    #[must_use]
    pub fn free_slots(&self, now: Instant) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.servers.free_slots(now).saturating_sub(waiting)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of granted requests that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Prompt tokens of the waiting requests.
    #[must_use]
    pub fn waiting_tokens(&self) -> u64 {
        self.queue.tokens_at_or_above(usize::MAX)
    }

    /// Number of servers that accept requests.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.servers.working_count()
    }

    /// The pool's entry in the state dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> dump::Pool {
        dump::Pool {
            service: self.service.clone(),
            shard: 0,
            shards: 1,
            home: true,
            waiting: self.queue.dump(now),
            waiting_tokens: self.waiting_tokens(),
            shares: self.share_dump(now),
            servers: self.servers.dump(now),
        }
    }
}
