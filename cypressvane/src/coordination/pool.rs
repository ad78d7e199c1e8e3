//! The queue of a pool of backend servers, kept by its home.
//!
//! Requests wait in the hosts that received them; the home orders their offers, counts what it
//! granted in tokens, and grants no more than each server's tail allows.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::coordination::demand::Demand;
pub use crate::coordination::offer::{Action, End, Offer, Spec, Ticket};
use crate::coordination::patience::{self, Pace, Refused};
use crate::coordination::queue::Queue;
pub use crate::coordination::server::Belief;
use crate::coordination::server::State;
use crate::coordination::servers::{Change, Likes, Room, Servers, WINDOW_SHARE};
use crate::protocol::dump;
use crate::protocol::refusal::{Code, Reason};
use crate::state::name::Name;
use crate::state::units::{millis_since, real};

/// Part of a higher tier's window that lower tiers may fill while it asks.
const LOWER_SHARE: f64 = 0.5;
/// Shortest wait that a refused caller is told.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Longest wait that a refused caller is told.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// A pool of backend servers with its queue.
#[derive(Debug)]
pub struct Pool {
    service: Name,
    waiting_max: usize,
    servers: Servers,
    queue: Queue,
    granted: HashMap<Ticket, Name>,
    demand: Demand,
    pace: Pace,
    refused: Refused,
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
            pace: Pace::default(),
            refused: Refused::default(),
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
        offer.returning |= self.refused.take(offer.mark, now);
        if let Some(reason) = self.unreachable(&offer, now) {
            self.refused.note(offer.mark, now);
            return vec![Action::Refuse {
                ticket: offer.ticket,
                reason,
            }];
        }
        let mut actions = Vec::new();
        self.demand
            .add(offer.rank, offer.prompt_tokens, offer.first_token, now);
        self.queue.push(offer);
        if self.queue.len() > self.waiting_max {
            actions.extend(self.shed());
        }
        actions.extend(self.grant(now));
        actions
    }

    fn grant_again(&self, ticket: &Ticket) -> Option<Action> {
        let server = self.servers.get(self.granted.get(ticket)?)?;
        Some(Action::Grant {
            ticket: ticket.clone(),
            server: server.name.clone(),
            address: server.address,
        })
    }

    /// Says why an offer cannot be met, where that is known on arrival.
    fn unreachable(&mut self, offer: &Offer, now: Instant) -> Option<Reason> {
        let ahead = self.time_ahead(offer.rank);
        let Some(soonest) = self.servers.soonest(offer.prompt_tokens.into(), now) else {
            let message = format!("no backend server of {} takes work", self.service);
            let wait = RETRY_MIN.min(patience::come_back(offer, now));
            return Some(Reason::later(Code::NoServer, message, wait));
        };
        if offer.early {
            let ahead = self.queue.ahead_of(offer);
            let is_useless = now + soonest > offer.deadline;
            let goes = self.queue.len() == 0 || patience::goes_on(&self.pace, offer, ahead, now);
            return (is_useless || !goes).then(|| self.early_reason(offer, now));
        }
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

    /// Why an offer is refused that is not likely to have its turn on time.
    fn early_reason(&self, offer: &Offer, now: Instant) -> Reason {
        let message = format!(
            "{} go before it and {:.0} a second have their turn; its turn was of use for {} ms and {} ms are over",
            self.queue.ahead_of(offer),
            self.pace.rate(now),
            millis_since(offer.arrived, patience::last_turn(offer)),
            millis_since(offer.arrived, now),
        );
        let wait = patience::come_back(offer, now);
        Reason::later(Code::DeadlineUnreachable, message, wait)
    }

    /// Refuses what has waited long enough to tell that it will not have its turn on time.
    fn refuse_early(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let (pace, queue) = (&self.pace, &mut self.queue);
            let goes = |offer: &Offer, ahead: usize| patience::goes_on(pace, offer, ahead, now);
            let Some(offer) = queue.pop_early(now, goes) else {
                return actions;
            };
            self.refused.note(offer.mark, now);
            let reason = self.early_reason(&offer, now);
            actions.push(Action::Refuse {
                ticket: offer.ticket,
                reason,
            });
        }
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

    /// Grants from the head of the queue while a server's tail allows.
    fn grant(&mut self, now: Instant) -> Vec<Action> {
        self.servers.wake(now);
        let mut actions = self.expire(now);
        while let Some(offer) = self.queue.first() {
            let prompt_tokens = u64::from(offer.prompt_tokens);
            let room = if offer.early {
                Room::ANY
            } else {
                room(&self.demand, offer, now)
            };
            let likes = Likes {
                opening: offer.opening,
                data_centre: offer.data_centre.clone(),
            };
            let Some(choice) = self.servers.choose(prompt_tokens, &room, &likes, now) else {
                break;
            };
            let Some(offer) = self.queue.pop_first() else {
                break;
            };
            if now + choice.first_token > offer.deadline {
                actions.push(self.too_late(offer));
                continue;
            }
            let (ticket, server) = (offer.ticket, choice.server);
            let address = self.servers.change(&server, |server| {
                server.send(ticket.clone(), prompt_tokens, now);
                server.note_opening(likes.opening, now);
                server.address
            });
            let Some(address) = address else { break };
            self.granted.insert(ticket.clone(), server.clone());
            self.pace.grant(now);
            actions.push(Action::Grant {
                ticket,
                server,
                address,
            });
        }
        actions
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
        let Some(server) = self.granted.get(ticket) else {
            return Vec::new();
        };
        self.servers
            .change(server, |server| server.first_token(ticket, now));
        self.grant(now)
    }

    /// Learns how a granted request ended.
    pub fn finish(&mut self, ticket: &Ticket, end: End, now: Instant) -> Vec<Action> {
        let Some(server) = self.granted.remove(ticket) else {
            return Vec::new();
        };
        self.servers.change(&server, |server| {
            server.finish(ticket);
            match end {
                End::Whole => server.recover(now),
                End::Unused => {}
                End::Broken => server.fail(false, now),
                End::Unreachable => server.fail(true, now),
                End::Leaving | End::Replaced => server.set_state(State::Leaving, now),
                End::Full => server.pause(now),
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
            self.granted.insert(ticket, server.clone());
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

    /// Refuses what waited until its deadline.
    fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(mut offer) = self.queue.pop_due(now) {
            if offer.early && !offer.late {
                offer.late = true;
                if patience::last_turn(&offer) > now {
                    self.queue.push(offer);
                    continue;
                }
            }
            self.refused.note(offer.mark, now);
            let reason = if offer.early {
                self.early_reason(&offer, now)
            } else {
                Reason::deadline_passed()
            };
            actions.push(Action::Refuse {
                ticket: offer.ticket,
                reason,
            });
        }
        actions.extend(self.refuse_early(now));
        actions
    }

    /// Refuses an offer whose turn came when its first token would be too late.
    fn too_late(&self, offer: Offer) -> Action {
        let ahead = self.time_ahead(offer.rank);
        let message = "the first token would come after the deadline";
        let reason = Reason::later(Code::DeadlineUnreachable, message, told_wait(ahead));
        Action::Refuse {
            ticket: offer.ticket,
            reason,
        }
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

fn told_wait(ahead: Duration) -> Duration {
    ahead.clamp(RETRY_MIN, RETRY_MAX)
}
