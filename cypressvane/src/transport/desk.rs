//! The requests that this host holds, and the pools whose home it is.
//!
//! As a holder it offers each waiting request to the pool's home and hears back; as a home it keeps
//! the queue. Both sides meet here, so that a host that is its own home sends nothing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};

use crate::coordination::policy::Queue;
use crate::coordination::pool::{self, Action, End, Pool, Spec, Ticket};
use crate::protocol::dump;
use crate::protocol::message::{self, Message};
use crate::protocol::refusal::Reason;
use crate::state::name::Name;
use crate::transport::links::Links;
use crate::transport::node::{lock, millis};

/// Time after which an offer without an answer is said again.
const OFFER_AGAIN: Duration = Duration::from_secs(1);
/// Age from which a grant that its holder does not list is taken as lost.
const RECONCILE_AFTER: Duration = Duration::from_secs(2);

/// What a holder hears of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// It may be sent to this server.
    Grant {
        /// The server.
        server: Name,
        /// Where it answers.
        address: SocketAddr,
    },
    /// It is refused.
    Refuse(Reason),
}

/// The facts of a request that is to wait.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub(crate) service: Name,
    pub(crate) rank: usize,
    pub(crate) priority: i64,
    pub(crate) prompt_tokens: u32,
    pub(crate) arrived: Instant,
    /// When the whole answer is due.
    pub(crate) deadline: Instant,
    /// When a first token is no more use.
    pub(crate) due: Instant,
    pub(crate) first_token: Duration,
}

#[derive(Debug)]
enum Stage {
    Waiting { offered: Instant },
    Granted { server: Name, prefilled: bool },
}

#[derive(Debug)]
struct Held {
    wish: Wish,
    home: Name,
    stage: Stage,
    words: Sender<Word>,
}

/// Both sides of this host.
#[derive(Debug)]
pub(crate) struct Desk {
    me: Name,
    incarnation: u64,
    waiting_max: usize,
    links: Arc<Links>,
    next: AtomicU64,
    held: Mutex<HashMap<u64, Held>>,
    pools: Mutex<HashMap<Name, Arc<Mutex<Pool>>>>,
    specs: ArcSwap<HashMap<Name, Vec<Spec>>>,
}

/// A held request's place; dropping it gives up the request or its grant.
#[derive(Debug)]
pub(crate) struct Place {
    desk: Arc<Desk>,
    sequence: u64,
    words: Receiver<Word>,
    ended: bool,
}

impl Desk {
    pub(crate) fn new(me: Name, incarnation: u64, waiting_max: usize, links: Arc<Links>) -> Self {
        Self {
            me,
            incarnation,
            waiting_max,
            links,
            next: AtomicU64::new(1),
            held: Mutex::new(HashMap::new()),
            pools: Mutex::new(HashMap::new()),
            specs: ArcSwap::default(),
        }
    }

    /// Number of requests that this host holds.
    pub(crate) fn held(&self) -> usize {
        lock(&self.held).len()
    }

    /// Offers a request to its home.
    pub(crate) fn hold(self: &Arc<Self>, wish: &Wish) -> Place {
        let (sender, words) = async_channel::bounded(1);
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let home = self.links.home_of(&wish.service);
        let now = Instant::now();
        let stage = Stage::Waiting { offered: now };
        let held = Held {
            wish: wish.clone(),
            home: home.clone(),
            stage,
            words: sender,
        };
        lock(&self.held).insert(sequence, held);
        self.offer(&home, sequence, wish, now);
        Place {
            desk: Arc::clone(self),
            sequence,
            words,
            ended: false,
        }
    }

    fn offer(&self, home: &Name, sequence: u64, wish: &Wish, now: Instant) {
        let offer = message::Offer {
            service: wish.service.clone(),
            sequence,
            rank: wish.rank,
            priority: wish.priority,
            prompt_tokens: wish.prompt_tokens,
            waited_ms: millis(now.saturating_duration_since(wish.arrived)),
            left_ms: millis(wish.due.saturating_duration_since(now)),
            first_token_ms: millis(wish.first_token),
        };
        self.say(home, Message::Offer(offer), now);
    }

    /// Says something to a home, which may be this host.
    fn say(&self, home: &Name, message: Message, now: Instant) {
        if *home == self.me {
            self.take(home, self.incarnation, message, now);
        } else {
            self.links.send(home, message);
        }
    }

    /// Takes in what a host says, this one included.
    pub(crate) fn take(&self, from: &Name, incarnation: u64, message: Message, now: Instant) {
        let ticket = |sequence| Ticket {
            holder: from.clone(),
            incarnation,
            sequence,
        };
        match message {
            Message::Offer(offer) => {
                let service = offer.service.clone();
                let offer = pool_offer(ticket(offer.sequence), &offer, now);
                self.act(&service, |pool| pool.offer(offer, now));
            }
            Message::Withdraw { service, sequence } => {
                self.act(&service, |pool| pool.withdraw(&ticket(sequence), now));
            }
            Message::FirstToken { service, sequence } => {
                self.act(&service, |pool| pool.first_token(&ticket(sequence), now));
            }
            Message::Finish {
                service,
                sequence,
                end,
            } => {
                self.act(&service, |pool| pool.finish(&ticket(sequence), end, now));
            }
            Message::Adopt {
                service,
                sequence,
                server,
                prompt_tokens,
                prefilled,
            } => {
                self.act(&service, |pool| {
                    pool.adopt(ticket(sequence), &server, prompt_tokens, prefilled, now);
                    Vec::new()
                });
            }
            Message::Reconcile { service, running } => {
                self.act(&service, |pool| {
                    pool.reconcile(from, incarnation, &running, RECONCILE_AFTER, now)
                });
            }
            Message::Grant {
                service,
                sequence,
                server,
                address,
            } => {
                self.hear_grant(from, &service, sequence, server, address, now);
            }
            Message::Refuse {
                sequence,
                code,
                message,
                retry_after_ms,
            } => {
                self.hear_refusal(sequence, message::reason(code, message, retry_after_ms));
            }
            Message::Heartbeat { .. } => {}
        }
    }

    /// Lets a pool decide, and tells the holders.
    fn act(&self, service: &Name, decide: impl FnOnce(&mut Pool) -> Vec<Action>) {
        let pool = self.pool(service);
        let actions = decide(&mut lock(&pool));
        let now = Instant::now();
        for action in actions {
            self.tell(service, action, now);
        }
    }

    fn pool(&self, service: &Name) -> Arc<Mutex<Pool>> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(service.clone()).or_insert_with(|| {
            let mut pool = Pool::new(service.clone(), self.waiting_max);
            let specs = self.specs.load();
            // A new pool has no queue, so there is nothing to grant.
            pool.set_servers(
                specs.get(service).map_or(&[], Vec::as_slice),
                Instant::now(),
            );
            Arc::new(Mutex::new(pool))
        });
        Arc::clone(pool)
    }

    fn tell(&self, service: &Name, action: Action, now: Instant) {
        match action {
            Action::Grant {
                ticket,
                server,
                address,
            } if ticket.holder == self.me => {
                let sequence = ticket.sequence;
                self.hear_grant(&self.me, service, sequence, server, address, now);
            }
            Action::Refuse { ticket, reason } if ticket.holder == self.me => {
                self.hear_refusal(ticket.sequence, reason);
            }
            Action::Grant {
                ticket,
                server,
                address,
            } => {
                let (service, sequence) = (service.clone(), ticket.sequence);
                let message = Message::Grant {
                    service,
                    sequence,
                    server,
                    address,
                };
                self.links.send(&ticket.holder, message);
            }
            Action::Refuse { ticket, reason } => {
                self.links
                    .send(&ticket.holder, Message::refuse(ticket.sequence, &reason));
            }
        }
    }

    /// Uses a grant, or returns it when the request no longer waits.
    fn hear_grant(
        &self,
        home: &Name,
        service: &Name,
        sequence: u64,
        server: Name,
        address: SocketAddr,
        now: Instant,
    ) {
        let mut held = lock(&self.held);
        if let Some(held) = held.get_mut(&sequence) {
            match &held.stage {
                Stage::Waiting { .. } => {
                    held.stage = Stage::Granted {
                        server: server.clone(),
                        prefilled: false,
                    };
                    held.home = home.clone();
                    // The place is there as long as it is held, and hears one word at a time.
                    let _ = held.words.try_send(Word::Grant { server, address });
                    return;
                }
                // The same grant said again.
                Stage::Granted { .. } if held.home == *home => return,
                Stage::Granted { .. } => {}
            }
        }
        drop(held);
        let service = service.clone();
        self.say(home, Message::Withdraw { service, sequence }, now);
    }

    fn hear_refusal(&self, sequence: u64, reason: Reason) {
        let held = lock(&self.held);
        let Some(held) = held.get(&sequence) else {
            return;
        };
        if matches!(held.stage, Stage::Waiting { .. }) {
            let _ = held.words.try_send(Word::Refuse(reason));
        }
    }

    /// Follows the host list: the servers of each service.
    pub(crate) fn set_specs(&self, specs: HashMap<Name, Vec<Spec>>, now: Instant) {
        let specs = Arc::new(specs);
        self.specs.store(Arc::clone(&specs));
        let services: Vec<Name> = lock(&self.pools).keys().cloned().collect();
        for service in services {
            let specs = specs.get(&service).map_or(&[][..], Vec::as_slice);
            self.act(&service, |pool| pool.set_servers(specs, now));
        }
    }

    /// Forgets all that earlier incarnations of a host asked for; `u64::MAX` means the host is gone.
    pub(crate) fn forget(&self, holder: &Name, before: u64, now: Instant) {
        for service in self.services() {
            self.act(&service, |pool| pool.forget(holder, before, now));
        }
    }

    fn services(&self) -> Vec<Name> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Refuses what is too late, and grants to servers that came back.
    pub(crate) fn tick(&self, now: Instant) {
        for service in self.services() {
            self.act(&service, |pool| pool.tick(now));
        }
    }

    /// Says offers without an answer again.
    pub(crate) fn offer_again(&self, now: Instant) {
        let mut again = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let Stage::Waiting { offered } = &mut held.stage else {
                continue;
            };
            if now.saturating_duration_since(*offered) >= OFFER_AGAIN {
                *offered = now;
                again.push((*sequence, held.home.clone(), held.wish.clone()));
            }
        }
        for (sequence, home, wish) in again {
            self.offer(&home, sequence, &wish, now);
        }
    }

    /// Moves what is held to new homes after the hosts that are well have changed.
    pub(crate) fn rehome(&self, now: Instant) {
        let mut moves = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let home = self.links.home_of(&held.wish.service);
            if home == held.home {
                continue;
            }
            let old = std::mem::replace(&mut held.home, home.clone());
            let granted = match &mut held.stage {
                Stage::Waiting { offered } => {
                    *offered = now;
                    None
                }
                Stage::Granted { server, prefilled } => Some((server.clone(), *prefilled)),
            };
            moves.push((*sequence, old, home, held.wish.clone(), granted));
        }
        for (sequence, old, home, wish, granted) in moves {
            let service = wish.service.clone();
            self.say(
                &old,
                Message::Withdraw {
                    service: service.clone(),
                    sequence,
                },
                now,
            );
            let Some((server, prefilled)) = granted else {
                self.offer(&home, sequence, &wish, now);
                continue;
            };
            let prompt_tokens = wish.prompt_tokens;
            let adopt = Message::Adopt {
                service,
                sequence,
                server,
                prompt_tokens,
                prefilled,
            };
            self.say(&home, adopt, now);
        }
    }

    /// Tells each home which of its grants are still in use.
    pub(crate) fn reconcile(&self, now: Instant) {
        let mut running: HashMap<(Name, Name), Vec<u64>> = HashMap::new();
        for (sequence, held) in lock(&self.held).iter() {
            let pool = (held.home.clone(), held.wish.service.clone());
            let sequences = running.entry(pool).or_default();
            if matches!(held.stage, Stage::Granted { .. }) {
                sequences.push(*sequence);
            }
        }
        for service in self.specs.load().keys() {
            let home = self.links.home_of(service);
            running.entry((home, service.clone())).or_default();
        }
        for ((home, service), running) in running {
            self.say(&home, Message::Reconcile { service, running }, now);
        }
    }

    /// What this host knows of a service's queue; zeros where another host is its home.
    pub(crate) fn queue(&self, service: &Name) -> Queue {
        let pool = lock(&self.pools).get(service).cloned();
        let Some(pool) = pool else {
            return Queue::default();
        };
        let pool = lock(&pool);
        Queue {
            waiting: pool.waiting() as u64,
            waiting_tokens: pool.waiting_tokens(),
            running: pool.running() as u64,
            servers: pool.servers() as u64,
        }
    }

    /// Its part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Pool> {
        let pools: Vec<_> = lock(&self.pools).values().cloned().collect();
        let mut pools: Vec<_> = pools.iter().map(|pool| lock(pool).dump(now)).collect();
        pools.sort_by(|one, other| one.service.cmp(&other.service));
        pools
    }
}

impl Place {
    /// Waits for what the home says.
    pub(crate) async fn word(&self) -> Word {
        let word = self.words.recv().await;
        word.expect("the desk keeps the sender as long as the place is held")
    }

    /// The granted server refused the connection: waits for another.
    pub(crate) fn unreachable(&self) {
        let now = Instant::now();
        let (old, home, wish) = {
            let mut held = lock(&self.desk.held);
            let Some(held) = held.get_mut(&self.sequence) else {
                return;
            };
            let home = self.desk.links.home_of(&held.wish.service);
            let old = std::mem::replace(&mut held.home, home.clone());
            held.stage = Stage::Waiting { offered: now };
            (old, home, held.wish.clone())
        };
        let (service, sequence) = (wish.service.clone(), self.sequence);
        let finish = Message::Finish {
            service,
            sequence,
            end: End::Unreachable,
        };
        self.desk.say(&old, finish, now);
        self.desk.offer(&home, sequence, &wish, now);
    }

    /// The first token came.
    pub(crate) fn first_token(&self) {
        let (home, service) = {
            let mut held = lock(&self.desk.held);
            let Some(held) = held.get_mut(&self.sequence) else {
                return;
            };
            if let Stage::Granted { prefilled, .. } = &mut held.stage {
                *prefilled = true;
            }
            (held.home.clone(), held.wish.service.clone())
        };
        let message = Message::FirstToken {
            service,
            sequence: self.sequence,
        };
        self.desk.say(&home, message, Instant::now());
    }

    /// The request ended.
    pub(crate) fn finish(mut self, end: End) {
        self.end(end);
    }

    fn end(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let held = lock(&self.desk.held).remove(&self.sequence);
        let Some(held) = held else { return };
        let (service, sequence) = (held.wish.service, self.sequence);
        let message = match held.stage {
            Stage::Waiting { .. } => Message::Withdraw { service, sequence },
            Stage::Granted { .. } => Message::Finish {
                service,
                sequence,
                end,
            },
        };
        self.desk.say(&held.home, message, Instant::now());
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end(End::Unused);
    }
}

fn pool_offer(ticket: Ticket, offer: &message::Offer, now: Instant) -> pool::Offer {
    let waited = Duration::from_millis(offer.waited_ms);
    pool::Offer {
        ticket,
        rank: offer.rank,
        priority: offer.priority,
        prompt_tokens: offer.prompt_tokens,
        arrived: now.checked_sub(waited).unwrap_or(now),
        deadline: now + Duration::from_millis(offer.left_ms),
        first_token: Duration::from_millis(offer.first_token_ms),
    }
}
