//! The requests that this host holds, and the pools whose home it is.
//!
//! As a holder, the host offers each waiting request to the home of its pool and receives the home's decision. As a
//! home, it keeps the pool's queue. A host that is its own home handles its messages directly and sends nothing.

mod held_request;
mod holder;
mod homes;
mod notices;
mod reconcile;
mod redirect;
mod server_list;
mod tally;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;
use slog::Logger;

use crate::coordination::idle::Idle;
use crate::coordination::lag::Lag;
use crate::coordination::pool::{self, End, EngineDefaults, Incarnation, Ticket};
use crate::coordination::shard::Shard;
use crate::coordination::share::checked_weight;
use crate::coordination::silent_shards::{OfferTimer, SilentShards};
use crate::coordination::version::Constraint;
use crate::protocol::message::{self, Message};
use crate::protocol::refusal::Reason;
use crate::state::clock::Instant;
use crate::state::config::Config;
use crate::state::name::Name;
use crate::transport::network::Network;
use crate::transport::peers::links::Links;

pub(crate) use held_request::HeldRequest;
use homes::LocalPool;
use notices::CachedNotice;
use server_list::ServerList;

/// Interval at which the pools check deadlines and servers in backoff.
pub(crate) const TICK: Duration = Duration::from_millis(20);
/// Age from which a grant that its holder does not list is treated as lost; also the shortest interval between two
/// reports of running requests.
const RECONCILE_AFTER: Duration = Duration::from_secs(2);

/// The backend server that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) server: Name,
    /// Address of the server's listener.
    pub(crate) address: SocketAddr,
    /// Forecast time to the first token.
    pub(crate) first_token: Duration,
    /// Whether the home knows a rate limit of the server.
    pub(crate) limited: bool,
    /// When the server was started, as far as the home knows.
    pub(crate) started_ms: Option<u64>,
    /// Version of the server's software, if it states one.
    pub(crate) version: Option<Name>,
}

impl Grant {
    /// The incarnation of the server for which the home granted the request.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            address: self.address,
            started_ms: self.started_ms,
        }
    }
}

/// The home's decision on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request may be sent to this server.
    Grant(Grant),
    /// The request is refused for this reason.
    Refuse(Reason),
}

/// What the scheduler needs to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) service: Name,
    /// The versions of the servers that may run the request.
    pub(crate) versions: Constraint,
    /// Whether the request goes on with a stream, and so may not change to other versions.
    pub(crate) resumes: bool,
    pub(crate) rank: usize,
    pub(crate) priority: i64,
    /// Client account; empty on a public route.
    pub(crate) account: Name,
    /// Weight of the account where accounts share the pool.
    pub(crate) weight: f64,
    pub(crate) prompt_tokens: u32,
    pub(crate) arrived: Instant,
    /// When the whole answer is due.
    pub(crate) answer_deadline: Instant,
    /// When a first token stops being useful.
    pub(crate) first_token_deadline: Instant,
    pub(crate) first_token_target: Duration,
    /// Longest pause between two events of the answer that is on time; zero if there is no bound.
    pub(crate) pause: Duration,
    /// Estimated tokens of the answer; 0 if unknown.
    pub(crate) answer_tokens: u32,
    /// Whether the home refuses the request as soon as it is unlikely to be granted in time.
    pub(crate) early: bool,
    /// Whether the request is offered again after a server failed.
    pub(crate) returning: bool,
    /// The server of the last grant that was returned; the next grant avoids it.
    pub(crate) avoid: Option<Name>,
    /// Identifies a request that its caller repeats after a refusal; the repeat goes to the same shard.
    pub(crate) mark: Option<u64>,
    /// Hash of the first part of the prompt; a server that has read it recently need not read it again.
    pub(crate) opening: Option<u64>,
}

/// The way of a request to its server.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    Through(Name),
}

#[derive(Debug)]
enum Stage {
    Waiting(OfferTimer),
    Granted {
        server: Name,
        incarnation: Incarnation,
        prefilled: bool,
        /// Whether the home knew a rate limit of the server.
        limited: bool,
        /// The way to the server, once there is a connection.
        way: Option<Way>,
    },
}

#[derive(Debug)]
struct Held {
    spec: RequestSpec,
    shard: Shard,
    home: Name,
    /// Whether another shard has passed the request on.
    moved: bool,
    /// Number of shards that have refused the request for lack of a server since it started to wait.
    without_server: u16,
    stage: Stage,
    decisions: Sender<Decision>,
    /// Tells the request that its path to the server has failed by silence.
    path_failed: Sender<()>,
}

/// The scheduling state of this host, as a holder and as a home.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "these settings are independent of each other"
)]
pub(crate) struct Scheduler {
    me: Name,
    incarnation: u64,
    /// When this process started.
    started: Instant,
    waiting_max: usize,
    /// Whether accounts share the pools.
    is_sharing: bool,
    /// Initial assumptions about a backend server.
    defaults: EngineDefaults,
    /// Whether the load that servers state is used to keep their slots in use.
    uses_stated_load: bool,
    /// Whether the paces that servers state are used.
    uses_stated_pace: bool,
    /// Whether retry times of refused requests are reservations.
    has_reservations: bool,
    links: Arc<Links>,
    network: Arc<Network>,
    log: Logger,
    next_sequence: AtomicU64,
    held: Mutex<HashMap<u64, Held>>,
    pools: Mutex<HashMap<Shard, Arc<Mutex<LocalPool>>>>,
    server_list: ArcSwap<ServerList>,
    /// Shards whose homes leave offers unanswered.
    silent_shards: Mutex<SilentShards>,
    /// Free slots that other shards have reported.
    idle: Mutex<Idle>,
    /// When the homes last got a report of running requests.
    reconciled_at: Mutex<Option<Instant>>,
    /// When this host last had running requests, by home and shard.
    reported_running: Mutex<HashMap<(Name, Shard), Instant>>,
    /// Servers that have left the host list, with the time at which this host noticed it.
    departed: Mutex<HashMap<Name, Instant>>,
    /// Scheduling delay of this host, measured by how late `tick` runs.
    lag: Mutex<Lag>,
    /// What this host has read in servers' answers.
    cached_notices: Mutex<HashMap<Name, CachedNotice>>,
    /// Number of cached notices, which can be read without the lock.
    cached_notice_count: AtomicUsize,
    /// When a malformed statement was last logged.
    malformed_logged_at: Mutex<Option<Instant>>,
    /// Servers of which a malformed load was logged.
    malformed_loads: Mutex<HashSet<Name>>,
}

impl Scheduler {
    pub(crate) fn new(
        config: &Config,
        incarnation: u64,
        links: Arc<Links>,
        network: Arc<Network>,
        log: Logger,
    ) -> Self {
        Self {
            me: config.host.name.clone(),
            incarnation,
            started: Instant::now(),
            waiting_max: usize::try_from(config.limits.waiting).unwrap_or(usize::MAX),
            is_sharing: config.sharing.accounts,
            defaults: config.engines.defaults(),
            uses_stated_load: config.servers.stated_load,
            uses_stated_pace: config.servers.stated_pace,
            has_reservations: config.admission.reservations,
            links,
            network,
            log,
            next_sequence: AtomicU64::new(1),
            held: Mutex::new(HashMap::new()),
            pools: Mutex::new(HashMap::new()),
            server_list: ArcSwap::default(),
            silent_shards: Mutex::default(),
            idle: Mutex::default(),
            reconciled_at: Mutex::default(),
            reported_running: Mutex::default(),
            departed: Mutex::default(),
            lag: Mutex::new(Lag::new(TICK)),
            cached_notices: Mutex::default(),
            cached_notice_count: AtomicUsize::new(0),
            malformed_logged_at: Mutex::default(),
            malformed_loads: Mutex::default(),
        }
    }

    /// Number of a pool's servers that may get requests.
    pub(crate) fn server_count(&self, pool: &Name) -> usize {
        self.server_list.load().open_count(pool)
    }

    /// Sends a message to a home, or handles it directly if this host is the home.
    pub(super) fn send(&self, home: &Name, message: Message, now: Instant) {
        if *home == self.me {
            self.handle(home, self.incarnation, message, now);
        } else {
            self.links.send(home, message);
        }
    }

    /// Handles a message from a host, which may be this one.
    pub(crate) fn handle(&self, from: &Name, incarnation: u64, message: Message, now: Instant) {
        let ticket = |sequence| Ticket {
            holder: from.clone(),
            incarnation,
            sequence,
        };
        match message {
            Message::Offer(offer) => {
                let shard = offer.shard.clone();
                let made = offer.made;
                let data_centre = self.links.data_centre_of(from);
                let offer = pool_offer(ticket(offer.sequence), offer, data_centre, now);
                self.handle_offer(&shard, offer, made, now);
            }
            Message::Withdraw { shard, sequence } => {
                self.update_pool(&shard, |pool| pool.withdraw(&ticket(sequence), now));
            }
            Message::FirstToken {
                shard,
                sequence,
                pace,
            } => {
                self.update_pool(&shard, |pool| {
                    if let Some(pace) = pace {
                        pool.note_pace(&ticket(sequence), pace, now);
                    }
                    pool.note_first_token(&ticket(sequence), now)
                });
            }
            Message::Silence {
                shard,
                sequence,
                silent_ms,
            } => {
                let silence = Duration::from_millis(silent_ms);
                self.update_pool(&shard, |pool| {
                    pool.note_silence(&ticket(sequence), silence, now)
                });
            }
            Message::Voice { shard, sequence } => {
                self.update_pool(&shard, |pool| pool.note_voice(&ticket(sequence), now));
            }
            Message::Finish {
                shard,
                sequence,
                end,
                pause_ms,
                occupancy,
                pace,
            } => {
                self.update_pool(&shard, |pool| {
                    if let Some(occupancy) = occupancy.filter(|_| end == End::Whole) {
                        pool.note_occupancy(&ticket(sequence), occupancy);
                    }
                    if let Some(pace) = pace {
                        pool.note_pace(&ticket(sequence), pace, now);
                    }
                    if let Some(longest) = pause_ms {
                        pool.note_longest_pause(&ticket(sequence), Duration::from_millis(longest));
                    }
                    pool.finish(&ticket(sequence), end, now)
                });
            }
            Message::Notice {
                shard,
                server,
                incarnation,
                heard,
            } => {
                self.update_pool(&shard, |pool| {
                    notices::report::apply(pool, from, ticket, &server, incarnation, &heard, now)
                });
            }
            Message::Adopt {
                shard,
                sequence,
                server,
                prompt_tokens,
                prefilled,
            } => {
                self.update_pool(&shard, |pool| {
                    pool.adopt(ticket(sequence), &server, prompt_tokens, prefilled, now);
                    Vec::new()
                });
            }
            Message::Reconcile { shard, running } => {
                self.update_pool(&shard, |pool| {
                    pool.reconcile(from, incarnation, &running, RECONCILE_AFTER, now)
                });
            }
            reply => self.handle_reply(from, reply, now),
        }
    }

    /// Handles what a home, or the home of another shard, tells a holder or a home.
    fn handle_reply(&self, from: &Name, message: Message, now: Instant) {
        match message {
            Message::Grant {
                shard,
                sequence,
                server,
                address,
                first_token_ms,
                limited,
                started_ms,
                version,
            } => {
                let grant = Grant {
                    server,
                    address,
                    first_token: Duration::from_millis(first_token_ms),
                    limited,
                    started_ms,
                    version,
                };
                self.handle_grant(from, &shard, sequence, grant, now);
            }
            Message::Refuse {
                sequence,
                code,
                message,
                retry_after_ms,
            } => {
                let reason = message::refusal_reason(code, message, retry_after_ms);
                self.handle_refusal(sequence, reason, now);
            }
            Message::Queued { sequence } => self.handle_queued(from, sequence, now),
            Message::Move { sequence, to } => self.handle_move(from, sequence, to, now),
            Message::Idle { shard, places } => self.handle_idle(shard, places, now),
            Message::Unheard {
                sequence,
                silent_ms,
            } => self.handle_unheard(from, sequence, Duration::from_millis(silent_ms), now),
            Message::PathSilent { server, silent_ms } => {
                let silence = Duration::from_millis(silent_ms);
                self.network.note_silent(server, silence);
            }
            // The other messages are for other parts of the host.
            _ => {}
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
        account: offer.account,
        weight: checked_weight(offer.weight),
        prompt_tokens: offer.prompt_tokens,
        arrived: now.checked_sub(waited).unwrap_or(now),
        first_token_deadline: now + Duration::from_millis(offer.left_ms),
        first_token_target: Duration::from_millis(offer.first_token_ms),
        pause: Duration::from_millis(offer.pause_ms),
        answer_tokens: offer.answer_tokens,
        answer_deadline: now + Duration::from_millis(offer.whole_ms),
        avoid: offer.avoid,
        early: offer.early,
        returning: offer.returning,
        late: false,
        reserved: false,
        mark: offer.mark,
        opening: offer.opening,
        data_centre,
        versions: offer.versions,
    }
}
