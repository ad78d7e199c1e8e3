//! The requests that this host holds, and the pools whose home it is.
//!
//! As a holder it offers each waiting request to the pool's home and hears back; as a home it keeps
//! the queue. Both sides meet here, so that a host that is its own home sends nothing.

mod holder;
mod homes;
mod limits;
mod listed;
mod moves;
mod place;
mod reconcile;
mod tally;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;
use slog::Logger;

use crate::coordination::answering::{Answering, Wait};
use crate::coordination::idle::Idle;
use crate::coordination::lag::Lag;
use crate::coordination::pool::{self, Belief, Ticket};
use crate::coordination::shard::Shard;
use crate::protocol::message::{self, Message};
use crate::protocol::refusal::Reason;
use crate::state::clock::Instant;
use crate::state::config::Config;
use crate::state::name::Name;
use crate::transport::peers::links::Links;

use homes::Kept;
use limits::Heard;
use listed::Listed;
pub(crate) use place::Place;

/// Time between two looks at the pools' deadlines and resting servers.
pub(crate) const TICK: Duration = Duration::from_millis(20);
/// Age from which a grant that its holder does not list is taken as lost.
const RECONCILE_AFTER: Duration = Duration::from_secs(2);

/// A server that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) server: Name,
    /// Where it answers.
    pub(crate) address: SocketAddr,
    /// Forecast time to the first token.
    pub(crate) first_token: Duration,
    /// Whether the server names a limit, as far as the home knows.
    pub(crate) limited: bool,
}

/// What a holder hears of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// It may be sent.
    Grant(Grant),
    /// It is refused.
    Refuse(Reason),
}

/// The facts of a request that is to wait.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub(crate) service: Name,
    /// The pool of the service's servers that is to serve it.
    pub(crate) pool: Name,
    pub(crate) rank: usize,
    pub(crate) priority: i64,
    pub(crate) prompt_tokens: u32,
    pub(crate) arrived: Instant,
    /// When the whole answer is due.
    pub(crate) deadline: Instant,
    /// When a first token is no more use.
    pub(crate) due: Instant,
    pub(crate) first_token: Duration,
    /// Longest pause between events that is on time; zero where there is no such bound.
    pub(crate) pause: Duration,
    /// How many tokens its answer is likely to have; 0 where nothing is known of it.
    pub(crate) answer_tokens: u32,
    /// Whether it is refused as soon as it is not likely to have its turn on time.
    pub(crate) early: bool,
    /// Whether it comes from a server that failed.
    pub(crate) returning: bool,
    /// The server that failed it, where one did.
    pub(crate) avoid: Option<Name>,
    /// Tells a request that comes back after a refusal.
    pub(crate) mark: Option<u64>,
    /// What its prompt begins with.
    pub(crate) opening: Option<u64>,
}

#[derive(Debug)]
enum Stage {
    Waiting(Wait),
    Granted {
        server: Name,
        prefilled: bool,
        /// Whether the server names a limit, as far as the home knew.
        limited: bool,
    },
}

#[derive(Debug)]
struct Held {
    wish: Wish,
    shard: Shard,
    home: Name,
    /// Whether another shard gave it away to this one.
    moved: bool,
    /// Shards that have refused it, since it waits, for want of a server.
    without_server: u16,
    stage: Stage,
    words: Sender<Word>,
}

/// Both sides of this host.
#[derive(Debug)]
pub(crate) struct Desk {
    me: Name,
    incarnation: u64,
    waiting_max: usize,
    /// What is believed of a backend server at first.
    belief: Belief,
    links: Arc<Links>,
    log: Logger,
    next: AtomicU64,
    held: Mutex<HashMap<u64, Held>>,
    pools: Mutex<HashMap<Shard, Arc<Mutex<Kept>>>>,
    listed: ArcSwap<Listed>,
    /// Which homes give this host no word.
    answering: Mutex<Answering>,
    /// What other shards have told of their places.
    idle: Mutex<Idle>,
    /// When the homes were last told of what runs.
    reconciled: Mutex<Option<Instant>>,
    /// When each home was last told of something that runs.
    told_running: Mutex<HashMap<(Name, Shard), Instant>>,
    /// Servers that were in the list and are no longer, by when they were missed.
    departed: Mutex<HashMap<Name, Instant>>,
    /// How far this host is behind with its work.
    lag: Mutex<Lag>,
    /// Limits that this host heard servers name.
    heard_limits: Mutex<HashMap<Name, Heard>>,
    /// How many there are.
    limits_heard: AtomicUsize,
    /// When there was a line in the log about a malformed limit.
    malformed_logged: Mutex<Option<Instant>>,
}

impl Desk {
    pub(crate) fn new(config: &Config, incarnation: u64, links: Arc<Links>, log: Logger) -> Self {
        Self {
            me: config.host.name.clone(),
            incarnation,
            waiting_max: usize::try_from(config.limits.waiting).unwrap_or(usize::MAX),
            belief: config.engines.belief(),
            links,
            log,
            next: AtomicU64::new(1),
            held: Mutex::new(HashMap::new()),
            pools: Mutex::new(HashMap::new()),
            listed: ArcSwap::default(),
            answering: Mutex::default(),
            idle: Mutex::default(),
            reconciled: Mutex::default(),
            told_running: Mutex::default(),
            departed: Mutex::default(),
            lag: Mutex::new(Lag::of(TICK)),
            heard_limits: Mutex::default(),
            limits_heard: AtomicUsize::new(0),
            malformed_logged: Mutex::default(),
        }
    }

    /// Says something to a home, which may be this host.
    pub(super) fn say(&self, home: &Name, message: Message, now: Instant) {
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
                let shard = offer.shard.clone();
                let made = offer.made;
                let place = self.links.data_centre_of(from);
                let offer = pool_offer(ticket(offer.sequence), offer, place, now);
                self.act_on(&shard, offer, made, now);
            }
            Message::Withdraw { shard, sequence } => {
                self.act(&shard, |pool| pool.withdraw(&ticket(sequence), now));
            }
            Message::FirstToken { shard, sequence } => {
                self.act(&shard, |pool| pool.first_token(&ticket(sequence), now));
            }
            Message::Finish {
                shard,
                sequence,
                end,
                pause_ms,
            } => {
                self.act(&shard, |pool| {
                    if let Some(longest) = pause_ms {
                        pool.paused(&ticket(sequence), Duration::from_millis(longest));
                    }
                    pool.finish(&ticket(sequence), end, now)
                });
            }
            Message::Limit {
                shard,
                server,
                heard,
            } => {
                self.act(&shard, |pool| {
                    limits::hear(pool, from, ticket, &server, heard, now)
                });
            }
            Message::Adopt {
                shard,
                sequence,
                server,
                prompt_tokens,
                prefilled,
            } => {
                self.act(&shard, |pool| {
                    pool.adopt(ticket(sequence), &server, prompt_tokens, prefilled, now);
                    Vec::new()
                });
            }
            Message::Reconcile { shard, running } => {
                self.act(&shard, |pool| {
                    pool.reconcile(from, incarnation, &running, RECONCILE_AFTER, now)
                });
            }
            Message::Grant {
                shard,
                sequence,
                server,
                address,
                first_token_ms,
                limited,
            } => {
                let grant = Grant {
                    server,
                    address,
                    first_token: Duration::from_millis(first_token_ms),
                    limited,
                };
                self.hear_grant(from, &shard, sequence, grant, now);
            }
            Message::Refuse {
                sequence,
                code,
                message,
                retry_after_ms,
            } => {
                let reason = message::reason(code, message, retry_after_ms);
                self.hear_refusal(sequence, reason, now);
            }
            Message::Queued { sequence } => self.hear_queued(from, sequence, now),
            Message::Move { sequence, to } => self.hear_move(from, sequence, to, now),
            Message::Idle { shard, places } => self.hear_idle(shard, places, now),
            Message::Ended(_)
            | Message::Answered { .. }
            | Message::Rulings { .. }
            | Message::Heartbeat { .. }
            | Message::Listed { .. }
            | Message::Charge { .. }
            | Message::Charged { .. }
            | Message::GiveBack { .. }
            | Message::Spent { .. }
            | Message::Rollout { .. }
            | Message::RolloutWord(_) => {}
        }
    }
}

fn pool_offer(
    ticket: Ticket,
    offer: message::Offer,
    data_centre: Option<Name>,
    now: Instant,
) -> pool::Offer {
    let waited = Duration::from_millis(offer.waited_ms);
    pool::Offer {
        ticket,
        rank: offer.rank,
        priority: offer.priority,
        prompt_tokens: offer.prompt_tokens,
        arrived: now.checked_sub(waited).unwrap_or(now),
        deadline: now + Duration::from_millis(offer.left_ms),
        first_token: Duration::from_millis(offer.first_token_ms),
        pause: Duration::from_millis(offer.pause_ms),
        answer_tokens: offer.answer_tokens,
        whole_by: now + Duration::from_millis(offer.whole_ms),
        avoid: offer.avoid,
        early: offer.early,
        returning: offer.returning,
        late: false,
        mark: offer.mark,
        opening: offer.opening,
        data_centre,
    }
}
