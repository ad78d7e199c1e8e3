//! The queue of a pool of backend servers, kept by its home.
//!
//! Requests wait in the hosts that received them; the home orders their offers, counts what it
//! granted in tokens, and grants no more than each server's tail allows.

mod intake;
mod turns;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use self::intake::refuse;
use crate::coordination::admission::{Admission, Kind};
use crate::coordination::demand::Demand;
use crate::coordination::dump;
pub use crate::coordination::offer::{Action, End, Offer, Spec, Ticket};
use crate::coordination::queue::Queue;
use crate::coordination::server::health::State;
pub use crate::coordination::server::pacing::Told;
use crate::coordination::servers::{Change, LimitChange, Servers};
use crate::state::clock::Instant;
pub use crate::state::config::Belief;
use crate::state::name::Name;

/// A request that was granted and has not ended.
#[derive(Debug)]
struct Granted {
    server: Name,
    at: Instant,
    /// When its holder was last known to run it.
    confirmed: Instant,
    /// Forecast time to the first token.
    first_token: Duration,
    /// What it has in common with others that run for about as long; `None` when another home
    /// granted it.
    kind: Option<Kind>,
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
    /// A pool without servers; `waiting_max` bounds its queue.
    #[must_use]
    pub fn new(service: Name, waiting_max: usize) -> Self {
        Self::believing(service, waiting_max, Belief::default())
    }

    /// A pool without servers, of each of which `belief` is believed at first.
    #[must_use]
    pub fn believing(service: Name, waiting_max: usize, belief: Belief) -> Self {
        Self {
            service,
            waiting_max,
            servers: Servers::new(belief),
            queue: Queue::default(),
            granted: HashMap::new(),
            demand: Demand::default(),
            admission: Admission::default(),
        }
    }

    /// Takes over what the host list says of the servers.
    pub fn set_servers(&mut self, specs: &[Spec], now: Instant) -> Vec<Action> {
        // What ran before a server was started again says nothing of it.
        for ticket in self.servers.follow(specs, now) {
            self.granted.remove(&ticket);
        }
        self.grant(now)
    }

    /// Takes an offer in. An offer that is known already is harmless: its grant is said again.
    pub fn offer(&mut self, mut offer: Offer, now: Instant) -> Vec<Action> {
        if self.queue.contains(&offer.ticket) {
            return Vec::new();
        }
        if let Some(action) = self.grant_again(&offer.ticket) {
            return vec![action];
        }
        let Some(soonest) = self.servers.soonest(offer.prompt_tokens.into(), now) else {
            return vec![self.refuse_without_server(offer, now)];
        };
        let mut actions = Vec::new();
        if offer.early {
            self.note_demand(&offer, now);
            self.admission.meet(&mut offer, now);
            actions.extend(self.admit(offer, now));
        } else if let Some(reason) = self.unreachable(&offer, soonest, now) {
            return vec![refuse(offer, reason)];
        } else {
            self.note_demand(&offer, now);
            self.wait(offer);
        }
        if self.queue.len() > self.waiting_max {
            actions.extend(self.shed(now));
        }
        actions.extend(self.grant(now));
        actions
    }

    /// Counts what an offer asks of the pool.
    fn note_demand(&mut self, offer: &Offer, now: Instant) {
        self.demand
            .add(offer.rank, offer.prompt_tokens, offer.first_token, now);
    }

    fn grant_again(&self, ticket: &Ticket) -> Option<Action> {
        let granted = self.granted.get(ticket)?;
        let server = self.servers.get(&granted.server)?;
        Some(Action::Grant {
            ticket: ticket.clone(),
            server: server.name.clone(),
            address: server.address,
            first_token: granted.first_token,
            limited: server.pacing.limit().is_some(),
        })
    }

    /// Takes a waiting request off the queue, or a grant back that was not used.
    pub fn withdraw(&mut self, ticket: &Ticket, now: Instant) -> Vec<Action> {
        if self.queue.remove(ticket).is_some() {
            return Vec::new();
        }
        self.finish(ticket, End::Unused, now)
    }

    /// Learns that the first token of a granted request came.
    pub fn first_token(&mut self, ticket: &Ticket, now: Instant) -> Vec<Action> {
        let Some(granted) = self.granted.get(ticket) else {
            return Vec::new();
        };
        self.servers
            .change(&granted.server, |server| server.first_token(ticket, now));
        self.grant(now)
    }

    /// Learns the longest pause of a granted request's stream, which is about to end.
    pub fn paused(&mut self, ticket: &Ticket, longest: Duration) {
        if let Some(granted) = self.granted.get(ticket) {
            self.servers
                .change(&granted.server, |server| server.paused(ticket, longest));
        }
    }

    /// Learns how many requests a second the server takes that answers a granted request; `None` where its answer
    /// names no limit.
    pub fn hear_limit(
        &mut self,
        ticket: &Ticket,
        server: &Name,
        named: Option<f64>,
        now: Instant,
    ) -> Vec<Action> {
        // Of a request that another home granted it is not known when it was sent.
        let own = self.granted.get(ticket).filter(|own| own.kind.is_some());
        let sent = own.filter(|own| own.server == *server).map(|own| own.at);
        self.servers
            .hear_limit(server, named, sent, &ticket.holder, now);
        self.grant(now)
    }

    /// Learns a limit of a server that a host heard some time ago.
    pub fn hear_earlier_limit(&mut self, server: &Name, told: Told, now: Instant) -> Vec<Action> {
        self.servers.hear_earlier_limit(server, told, now);
        self.grant(now)
    }

    /// Sets this home's part of the limits that servers name, from 0 to 1: a home that hears only some of the hosts
    /// leaves the rest to another one that may hear the others.
    pub fn share(&mut self, part: f64, now: Instant) -> Vec<Action> {
        self.servers.share(part, now);
        self.grant(now)
    }

    /// Learns how a granted request ended.
    pub fn finish(&mut self, ticket: &Ticket, end: End, now: Instant) -> Vec<Action> {
        let Some(granted) = self.granted.remove(ticket) else {
            return Vec::new();
        };
        if let (Some(kind), End::Whole) = (granted.kind, end) {
            let ran = now.saturating_duration_since(granted.at);
            self.admission.ran(kind, ran);
        }
        let is_alone = end == End::Broken && self.servers.is_alone(&granted.server);
        self.servers.change(&granted.server, |server| {
            if end == End::Whole {
                server.answered(ticket, now);
            }
            server.finish(ticket);
            match end {
                End::Whole => server.health.recover(now),
                End::Unused => {}
                End::Broken if is_alone => server.health.fail_alone(now),
                End::Broken => server.fail(false, now),
                End::Unreachable => server.fail(true, now),
                End::Leaving | End::Replaced => server.health.set(State::Leaving, now),
                End::Full => server.health.pause(now),
            }
        });
        self.grant(now)
    }

    /// Counts a request that an earlier home granted.
    pub fn adopt(
        &mut self,
        ticket: Ticket,
        server: &Name,
        prompt_tokens: u32,
        prefilled: bool,
        now: Instant,
    ) {
        self.queue.remove(&ticket);
        let adopted = self.servers.change(server, |server| {
            server.adopt(&ticket, prompt_tokens.into(), prefilled, now);
        });
        if adopted.is_some() {
            let granted = Granted {
                server: server.clone(),
                at: now,
                confirmed: now,
                first_token: Duration::ZERO,
                kind: None,
            };
            self.granted.insert(ticket, granted);
        }
    }

    /// Takes back the grants of a holder that it does not list as running.
    ///
    /// Only grants older than `age` are meant: a younger one may not have reached the holder yet.
    pub fn reconcile(
        &mut self,
        holder: &Name,
        incarnation: u64,
        running: &[u64],
        age: Duration,
        now: Instant,
    ) -> Vec<Action> {
        let running: HashSet<u64> = running.iter().copied().collect();
        let lost = |ticket: &Ticket, sent: Instant| {
            ticket.holder == *holder
                && ticket.incarnation == incarnation
                && !running.contains(&ticket.sequence)
                && now.saturating_duration_since(sent) >= age
        };
        for ticket in self.servers.forget(lost) {
            self.granted.remove(&ticket);
        }
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

    /// Takes back the grants that their holders have not listed as running for `age`.
    ///
    /// A holder that missed a grant has nothing to list, so that its place would be taken for good. One that is
    /// cut off for so long has its requests counted no more: their servers get as many others meanwhile.
    pub fn forget_unconfirmed(&mut self, age: Duration, now: Instant) -> Vec<Action> {
        let granted = &self.granted;
        let is_lost = |ticket: &Ticket, _| {
            let confirmed = granted.get(ticket).map(|granted| granted.confirmed);
            confirmed.is_none_or(|at| now.saturating_duration_since(at) >= age)
        };
        for ticket in self.servers.forget(is_lost) {
            self.granted.remove(&ticket);
        }
        self.grant(now)
    }

    /// Forgets all requests of a host that is gone, or of its earlier incarnations.
    pub fn forget(&mut self, holder: &Name, before: u64, now: Instant) -> Vec<Action> {
        let gone = |ticket: &Ticket| ticket.holder == *holder && ticket.incarnation < before;
        self.queue.forget(gone);
        for ticket in self.servers.forget(|ticket, _| gone(ticket)) {
            self.granted.remove(&ticket);
        }
        self.grant(now)
    }

    /// Refuses what can no longer be met, and grants to servers that came back.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.grant(now)
    }

    /// Takes the changes of what is believed of servers since the last look.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        self.servers.take_changes()
    }

    /// Takes the changes of servers' limits since the last look.
    pub(crate) fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.servers.take_limit_changes()
    }

    /// Number of servers that name a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        self.servers.limited()
    }

    /// Whether the ticket's request waits here.
    #[must_use]
    pub fn is_waiting(&self, ticket: &Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Whether the ticket's request waits or was granted here.
    #[must_use]
    pub fn knows(&self, ticket: &Ticket) -> bool {
        self.is_waiting(ticket) || self.granted.contains_key(ticket)
    }

    /// Whether a further offer would have to wait.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.queue.len() > 0 || !self.servers.is_any_open()
    }

    /// Places of live servers that nobody waits for.
    #[must_use]
    pub fn idle_places(&self, now: Instant) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.servers.idle_places(now).saturating_sub(waiting)
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

    /// Prompt tokens that wait.
    #[must_use]
    pub fn waiting_tokens(&self) -> u64 {
        self.queue.tokens_down_to(usize::MAX)
    }

    /// Number of servers that take work.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.servers.working()
    }

    /// Its part of the state dump.
    #[must_use]
    pub fn dump(&self, now: Instant) -> dump::Pool {
        dump::Pool {
            service: self.service.clone(),
            shard: 0,
            shards: 1,
            home: true,
            waiting: self.queue.dump(now),
            waiting_tokens: self.waiting_tokens(),
            servers: self.servers.dump(now),
        }
    }
}
