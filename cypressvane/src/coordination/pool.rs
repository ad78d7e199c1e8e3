//! The queue of a pool of backend servers, kept by its home.
//!
//! Requests wait in the hosts that received them; the home orders their offers, counts what it
//! granted in tokens, and grants no more than each server's tail allows.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::coordination::admission::{self, Admission, Kind};
use crate::coordination::demand::Demand;
use crate::coordination::health::State;
pub use crate::coordination::offer::{Action, End, Offer, Spec, Ticket};
use crate::coordination::queue::Queue;
pub use crate::coordination::server::Belief;
use crate::coordination::servers::{Change, Choice, Room, Servers, WINDOW_SHARE};
use crate::protocol::dump;
use crate::protocol::refusal::{Code, Reason};
use crate::state::name::Name;
use crate::state::units::real;

/// Part of a higher tier's window that lower tiers may fill while it asks.
const LOWER_SHARE: f64 = 0.5;
/// Shortest wait that a refused caller is told.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Longest wait that a refused caller is told.
const RETRY_MAX: Duration = Duration::from_secs(60);
/// Most offers that are looked at for one grant: those behind them have no turn before them anyway.
const OFFERS_LOOKED_AT: usize = 32;

/// A request that was granted and has not ended.
#[derive(Debug)]
struct Granted {
    server: Name,
    at: Instant,
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
        self.servers.follow(specs, now);
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
            self.admission.meet(&mut offer, now);
            actions.extend(self.admit(offer, now));
        } else {
            match self.unreachable(&offer, soonest, now) {
                Some(reason) => return vec![refuse(offer, reason)],
                None => self.wait(offer, now),
            }
        }
        if self.queue.len() > self.waiting_max {
            actions.extend(self.shed());
        }
        actions.extend(self.grant(now));
        actions
    }

    /// Lets an offer wait of which it is decided early, or refuses it.
    fn admit(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
        let (queue, servers) = (&self.queue, &self.servers);
        let fastest = servers.fastest(offer.prompt_tokens.into());
        if !offer.late {
            let until = admission::on_time_until(&offer, fastest);
            let ahead = queue.ahead_of(&offer);
            if self.admission.comes_by(ahead, until, now) {
                self.push(offer, until, now);
                return None;
            }
            offer.late = true;
        }
        let until = self.admission.late_until(&offer, fastest);
        let ahead = queue.ahead_of(&offer);
        if self.admission.waits_late(&offer, ahead, until, now) {
            self.push(offer, until, now);
            return None;
        }
        Some(self.refuse_early(offer, now))
    }

    fn wait(&mut self, offer: Offer, now: Instant) {
        let until = offer.deadline;
        self.push(offer, until, now);
    }

    fn push(&mut self, offer: Offer, until: Instant, now: Instant) {
        self.demand
            .add(offer.rank, offer.prompt_tokens, offer.first_token, now);
        self.queue.push(offer, until);
    }

    fn grant_again(&self, ticket: &Ticket) -> Option<Action> {
        let server = self.servers.get(&self.granted.get(ticket)?.server)?;
        Some(Action::Grant {
            ticket: ticket.clone(),
            server: server.name.clone(),
            address: server.address,
        })
    }

    /// Refuses an offer that no server could take.
    fn refuse_without_server(&mut self, offer: Offer, now: Instant) -> Action {
        let message = format!("no backend server of {} takes work", self.service);
        let wait = if offer.early {
            self.admission.come_back(&offer, now)
        } else {
            RETRY_MIN
        };
        refuse(offer, Reason::later(Code::NoServer, message, wait))
    }

    /// Says why an offer cannot be met, where that is known on arrival.
    fn unreachable(&self, offer: &Offer, soonest: Duration, now: Instant) -> Option<Reason> {
        let ahead = self.time_ahead(offer.rank);
        if now + ahead + soonest <= offer.deadline {
            return None;
        }
        let message = format!(
            "the queue of {} is longer than the deadline allows",
            self.service
        );
        Some(Reason::later(
            Code::DeadlineUnreachable,
            message,
            told_wait(ahead + soonest),
        ))
    }

    /// Refuses an offer that is not likely to have its turn while it is of use.
    fn refuse_early(&mut self, offer: Offer, now: Instant) -> Action {
        let ahead = self.queue.ahead_of(&offer);
        let reason = self.admission.refuse(&offer, ahead, now);
        refuse(offer, reason)
    }

    /// Lets go of those at the end of the queue whose forecast has turned.
    fn reconsider(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.reconsider_late(now);
        while let Some((offer, until)) = self.queue.last(false) {
            let ahead = self.queue.count(false) - 1;
            if !offer.early || self.admission.comes_by(ahead, until, now) {
                break;
            }
            let ticket = offer.ticket.clone();
            let Some(offer) = self.queue.remove(&ticket) else {
                break;
            };
            actions.extend(self.miss(offer, now));
        }
        actions
    }

    fn reconsider_late(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((offer, until)) = self.queue.last(true) {
            let ahead = self.queue.count(true) - 1;
            if self.admission.waits_late(offer, ahead, until, now) {
                break;
            }
            let ticket = offer.ticket.clone();
            let Some(offer) = self.queue.remove(&ticket) else {
                break;
            };
            actions.push(self.refuse_early(offer, now));
        }
        actions
    }

    /// Decides over an offer that will not have its turn on time.
    fn miss(&mut self, mut offer: Offer, now: Instant) -> Option<Action> {
        offer.late = true;
        self.admit(offer, now)
    }

    /// Time that the pool needs for what waits at `rank` and above, when all its servers work.
    fn time_ahead(&self, rank: usize) -> Duration {
        let tokens = self.queue.tokens_down_to(rank);
        let rate = self.servers.rate();
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(real(tokens) / rate)
    }

    /// Refuses the last of the lowest tier that waits.
    fn shed(&mut self) -> Option<Action> {
        let offer = self.queue.pop_last()?;
        let ahead = self.time_ahead(offer.rank);
        let message = format!("the queue of {} is full", self.service);
        let reason = Reason::later(Code::Overloaded, message, told_wait(ahead));
        Some(Action::Refuse {
            ticket: offer.ticket,
            reason,
        })
    }

    /// Grants in the order of the queue while a server's tail allows.
    fn grant(&mut self, now: Instant) -> Vec<Action> {
        self.servers.wake(now);
        let mut actions = self.expire(now);
        while let Some((ticket, choice)) = self.next_turn(now) {
            let Some(offer) = self.queue.remove(&ticket) else {
                break;
            };
            if now + choice.first_token > offer.deadline {
                // The time that it had was spent in the queue, whichever instant this is.
                actions.push(refuse(offer, Reason::deadline_passed()));
                continue;
            }
            let (server, work) = (choice.server, offer.work());
            let address = self.servers.change(&server, |server| {
                server.send(ticket.clone(), work, now);
                server.note_opening(offer.opening, now);
                server.address
            });
            let Some(address) = address else { break };
            let granted = Granted {
                server: server.clone(),
                at: now,
                kind: Some(Kind::of(&offer)),
            };
            self.granted.insert(ticket.clone(), granted);
            self.admission.granted(&offer, now);
            actions.push(Action::Grant {
                ticket,
                server,
                address,
            });
        }
        actions
    }

    /// The offer that has the next turn, and where.
    ///
    /// One of which it is decided early lets those behind it past while no server suits it; another
    /// one at the head keeps the lower tiers waiting.
    fn next_turn(&mut self, now: Instant) -> Option<(Ticket, Choice)> {
        if !self.servers.is_any_open() {
            return None;
        }
        for offer in self.queue.in_order().take(OFFERS_LOOKED_AT) {
            if offer.early {
                if let Some(choice) = self.servers.place(offer, now) {
                    return Some((offer.ticket.clone(), choice));
                }
                continue;
            }
            let (tokens, likes) = (offer.prompt_tokens.into(), offer.likes());
            let room = room(&self.demand, offer, now);
            let choice = self.servers.choose(tokens, &room, &likes, now)?;
            return Some((offer.ticket.clone(), choice));
        }
        None
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

    /// Learns how a granted request ended.
    pub fn finish(&mut self, ticket: &Ticket, end: End, now: Instant) -> Vec<Action> {
        let Some(granted) = self.granted.remove(ticket) else {
            return Vec::new();
        };
        if let (Some(kind), End::Whole) = (granted.kind, end) {
            let ran = now.saturating_duration_since(granted.at);
            self.admission.ran(kind, ran);
        }
        self.servers.change(&granted.server, |server| {
            if end == End::Whole {
                server.answered(ticket, now);
            }
            server.finish(ticket);
            match end {
                End::Whole => server.health.recover(now),
                End::Unused => {}
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

    /// Decides over what has waited for as long as it keeps its place.
    fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(offer) = self.queue.pop_due(now) {
            actions.extend(if !offer.early {
                Some(refuse(offer, Reason::deadline_passed()))
            } else if offer.late {
                Some(self.refuse_early(offer, now))
            } else {
                self.miss(offer, now)
            });
        }
        actions.extend(self.reconsider(now));
        actions
    }

    /// Takes the changes of what is believed of servers since the last look.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        self.servers.take_changes()
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
            waiting: self.queue.dump(now),
            waiting_tokens: self.waiting_tokens(),
            servers: self.servers.dump(now),
        }
    }
}

/// How far an offer may fill a server: up to half of its own promised first-token time, and, while
/// higher tiers ask, up to half of what those may fill.
fn room(demand: &Demand, offer: &Offer, now: Instant) -> Room {
    let own = offer.first_token.mul_f64(WINDOW_SHARE);
    let higher = demand.above(offer.rank, now);
    let window = higher.map_or(own, |higher| {
        own.min(higher.first_token.mul_f64(WINDOW_SHARE * LOWER_SHARE))
    });
    Room { window, higher }
}

fn refuse(offer: Offer, reason: Reason) -> Action {
    Action::Refuse {
        ticket: offer.ticket,
        reason,
    }
}

fn told_wait(ahead: Duration) -> Duration {
    ahead.clamp(RETRY_MIN, RETRY_MAX)
}
