//! The home's side: the pools whose queues this host keeps.

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::server_list::{ServerList, Specs};
use super::tally::Tally;
use super::{Grant, Scheduler};
use crate::coordination::policy::Queue;
use crate::coordination::pool::{Action, Offer, Pool, Spec, Unheard, is_refusal_of};
use crate::coordination::servers::TAKEOVER_TIME;
use crate::coordination::shard::{Shard, Sharding};
use crate::protocol::dump;
use crate::protocol::message::{Message, OfferKind};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::lock;

/// How long a server that has left the host list is remembered: longer than the lists of two hosts differ.
const DEPARTED_TTL: Duration = Duration::from_secs(60);

/// Interval between two log lines about the decisions of a home.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Lag from which every check logs a line: a significant part of a latency objective.
const LOGGED_LAG_MIN: Duration = Duration::from_millis(100);

/// A pool whose home this host is or was.
#[derive(Debug)]
pub(super) struct LocalPool {
    pub(super) pool: Pool,
    pub(super) tally: Tally,
    /// Whether this host knows that it is the home, and has told itself what it holds.
    is_home: bool,
    /// When the pool's decisions were last logged.
    logged_at: Instant,
}

impl Scheduler {
    /// Updates a pool, logs the changes of its servers, and sends its decisions to the holders.
    pub(super) fn update_pool(&self, shard: &Shard, decide: impl FnOnce(&mut Pool) -> Vec<Action>) {
        let local = self.pool(shard);
        let (actions, changes, limit_changes, unheard) = {
            let mut local = lock(&local);
            let actions = decide(&mut local.pool);
            local.tally.count(&actions);
            let pool = &mut local.pool;
            let (changes, limits) = (pool.take_changes(), pool.take_limit_changes());
            (actions, changes, limits, pool.take_unheard())
        };
        for change in limit_changes {
            slog::info!(
                self.log, "a backend server names another limit";
                "shard" => shard.subject(), "server" => &*change.server,
                "requests_per_second" => change.after, "before" => change.before,
                "heard_by" => &*change.heard_by,
            );
        }
        for change in changes {
            slog::info!(
                self.log, "a backend server is believed otherwise";
                "shard" => shard.subject(), "server" => &*change.server,
                "before" => change.before, "after" => change.after,
                "heard_by" => change.heard_by.as_deref(),
            );
        }
        let now = Instant::now();
        for action in actions {
            self.deliver(shard, action, now);
        }
        for Unheard { ticket, silence } in unheard {
            let message = Message::Unheard {
                sequence: ticket.sequence,
                silent_ms: millis(silence),
            };
            self.send(&ticket.holder, message, now);
        }
    }

    /// Passes an offer to its pool, or directs the holder to another shard that has free slots.
    pub(super) fn handle_offer(&self, shard: &Shard, offer: Offer, made: OfferKind, now: Instant) {
        lock(&self.pool(shard)).tally.offers += 1;
        let ticket = offer.ticket.clone();
        let sequence = ticket.sequence;
        if made == OfferKind::First
            && let Some(to) = self.redirect_target(shard, &ticket, now)
        {
            let to = to.number;
            self.send(&ticket.holder, Message::Move { sequence, to }, now);
            return;
        }
        self.prepare_for_offer(shard, now);
        let mark = offer.mark;
        let mut moved_to = None;
        self.update_pool(shard, |pool| {
            let mut actions = pool.offer(offer, now);
            if made == OfferKind::First
                && actions.iter().any(|action| is_refusal_of(action, &ticket))
            {
                moved_to = self.refuge(shard, now);
            }
            if moved_to.is_some() {
                pool.take_back_refusal(&mut actions, &ticket, mark);
            }
            actions
        });
        if let Some(to) = moved_to {
            lock(&self.pool(shard)).tally.moves += 1;
            let to = to.number;
            self.send(&ticket.holder, Message::Move { sequence, to }, now);
            return;
        }
        if made == OfferKind::Again && lock(&self.pool(shard)).pool.is_waiting(&ticket) {
            self.send(&ticket.holder, Message::Queued { sequence }, now);
        }
    }

    /// Prepares a pool for the offer of a host that has noticed before this one that this one is the home now.
    fn prepare_for_offer(&self, shard: &Shard, now: Instant) {
        let local = self.pool(shard);
        {
            let mut local = lock(&local);
            if local.is_home {
                return;
            }
            local.is_home = self.home_of(shard) == self.me;
        }
        let notices = self.cached_notices_of(shard);
        self.update_pool(shard, |pool| {
            pool.begin_early_term(now);
            let apply = |(server, notice)| pool.apply_notice(&server, notice, now);
            notices.into_iter().flat_map(apply).collect()
        });
    }

    /// Begins terms in the pools whose home this host has become, and ends those of the others.
    fn update_terms(&self, now: Instant) {
        for (shard, local) in self.local_pools() {
            let is_home = self.home_of(&shard) == self.me;
            let mut local = lock(&local);
            if is_home && !local.is_home {
                local.pool.begin_term(now);
            }
            local.is_home = is_home;
        }
    }

    pub(super) fn pool(&self, shard: &Shard) -> Arc<Mutex<LocalPool>> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(shard.clone()).or_insert_with(|| {
            let service = shard.service.clone();
            let mut pool = Pool::with_defaults(service, self.waiting_max, self.defaults);
            pool.use_stated_load(self.uses_stated_load);
            pool.use_stated_pace(self.uses_stated_pace);
            if self.is_sharing {
                pool = pool.shared_between_accounts();
            }
            if self.has_reservations {
                pool = pool.with_reservations();
            }
            let specs = self.server_list.load().servers_of(shard);
            // A new pool has no queue, so there is nothing to grant.
            let now = Instant::now();
            pool.set_servers(&specs, now);
            if self.links.expects_peers() {
                pool.set_unaware_until(self.started + TAKEOVER_TIME);
            }
            pool.set_limit_share(self.links.share(now).part(), now);
            Arc::new(Mutex::new(LocalPool {
                pool,
                tally: Tally::default(),
                is_home: false,
                logged_at: Instant::now(),
            }))
        });
        Arc::clone(pool)
    }

    pub(super) fn deliver(&self, shard: &Shard, action: Action, now: Instant) {
        match action {
            Action::Grant {
                ticket,
                server,
                address,
                first_token,
                limited,
                started_ms,
                version,
            } if ticket.holder == self.me => {
                let grant = Grant {
                    server,
                    address,
                    first_token,
                    limited,
                    started_ms,
                    version,
                };
                self.handle_grant(&self.me, shard, ticket.sequence, grant, now);
            }
            Action::Refuse { ticket, reason } if ticket.holder == self.me => {
                self.handle_refusal(ticket.sequence, reason, now);
            }
            Action::Grant {
                ticket,
                server,
                address,
                first_token,
                limited,
                started_ms,
                version,
            } => {
                let message = Message::Grant {
                    shard: shard.clone(),
                    sequence: ticket.sequence,
                    server,
                    address,
                    first_token_ms: millis(first_token),
                    limited,
                    started_ms,
                    version,
                };
                self.links.send(&ticket.holder, message);
            }
            Action::Refuse { ticket, reason } => {
                self.links
                    .send(&ticket.holder, Message::refuse(ticket.sequence, &reason));
            }
        }
    }

    /// Sets the servers of each pool, as the host list names them.
    pub(crate) fn set_specs(&self, specs: HashMap<Name, Vec<Spec>>, now: Instant) {
        let server_list = Arc::new(ServerList::of(specs));
        let before = self.server_list.swap(Arc::clone(&server_list));
        self.note_departed(&before.specs, &server_list.specs, now);
        self.drop_outdated_notices(&server_list, now);
        for shard in self.shards() {
            let specs = server_list.servers_of(&shard);
            self.update_pool(&shard, |pool| pool.set_servers(&specs, now));
        }
        if !before.has_same_shard_counts(&server_list) {
            self.rehome(now);
        }
        self.create_home_pools(&server_list);
        self.drop_obsolete(&server_list);
    }

    /// Creates the pools whose home this host is, so that it reports their free slots before the first offer.
    pub(super) fn create_home_pools(&self, server_list: &ServerList) {
        let shards = server_list.shardings.values().flat_map(Sharding::shards);
        for shard in shards.filter(|shard| self.home_of(shard) == self.me) {
            self.pool(&shard);
        }
        self.update_terms(Instant::now());
    }

    /// Drops empty pools of shards that no longer exist because the number of shards has changed.
    fn drop_obsolete(&self, server_list: &ServerList) {
        lock(&self.pools).retain(|shard, local| {
            let sharding = server_list.shardings.get(&shard.service);
            let is_current = sharding.is_none_or(|sharding| sharding.count() == shard.count);
            let local = &lock(local).pool;
            is_current || local.waiting() > 0 || local.running() > 0
        });
    }

    /// Remembers the names of servers that have left the list.
    fn note_departed(&self, before: &Specs, specs: &Specs, now: Instant) {
        let names = |specs: &Specs| -> HashSet<Name> {
            let all = specs.values().flatten();
            all.map(|spec| spec.name.clone()).collect()
        };
        let listed = names(specs);
        let mut departed = lock(&self.departed);
        for name in names(before) {
            if !listed.contains(&name) {
                departed.insert(name, now);
            }
        }
        departed.retain(|name, departed_at| {
            !listed.contains(name) && now.saturating_duration_since(*departed_at) < DEPARTED_TTL
        });
    }

    /// Whether this host's own list marks a server as leaving or no longer has it. The home that granted the server may
    /// have an older list.
    pub(super) fn is_leaving(&self, pool: &Name, grant: &Grant) -> bool {
        match self.server_list.load().spec(pool, &grant.server) {
            Some(spec) => {
                let order = grant.incarnation().compare(&spec.incarnation());
                spec.leaving && order != Some(Ordering::Greater)
            }
            None => lock(&self.departed).contains_key(&grant.server),
        }
    }

    /// Whether this host's own list names another version of a granted server than its home did, and is not older.
    pub(crate) fn has_other_version(&self, service: &Name, grant: &Grant) -> bool {
        let server_list = self.server_list.load();
        let Some(spec) = server_list.spec(service, &grant.server) else {
            return false;
        };
        let order = grant.incarnation().compare(&spec.incarnation());
        order != Some(Ordering::Greater) && spec.version != grant.version
    }

    /// Forgets the requests of a host's incarnations before `before`; `u64::MAX` means that the host is gone.
    pub(crate) fn forget(&self, holder: &Name, before: u64, now: Instant) {
        for shard in self.shards() {
            self.update_pool(&shard, |pool| pool.forget(holder, before, now));
        }
    }

    /// The shards whose pools this host keeps.
    pub(super) fn shards(&self) -> Vec<Shard> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Refuses requests that are too late, and grants to servers that take work again.
    pub(crate) fn tick(&self, now: Instant) {
        lock(&self.lag).record_run(now);
        for shard in self.shards() {
            self.update_pool(&shard, |pool| pool.tick(now));
        }
    }

    /// The queue of a pool, as far as this host keeps it; zeros if other hosts are the homes of all its shards.
    pub(crate) fn queue(&self, name: &Name) -> Queue {
        let mut queue = Queue::default();
        for (shard, local) in self.local_pools() {
            if shard.service == *name {
                let pool = &lock(&local).pool;
                queue.waiting += pool.waiting() as u64;
                queue.waiting_tokens += pool.waiting_tokens();
                queue.running += pool.running() as u64;
                queue.servers += pool.servers() as u64;
            }
        }
        queue
    }

    /// Recent scheduling delay of this host.
    pub(crate) fn lag(&self, now: Instant) -> Duration {
        lock(&self.lag).longest(now)
    }

    /// Logs the recent decisions of the pools kept here, more often while this host lags.
    pub(crate) fn log_work(&self, now: Instant) {
        let lag = self.lag(now);
        for (shard, local) in self.local_pools() {
            let mut local = lock(&local);
            let pause = now.saturating_duration_since(local.logged_at);
            let is_due = pause >= LOG_INTERVAL || lag >= LOGGED_LAG_MIN;
            if local.tally.offers == 0 || !is_due {
                continue;
            }
            let tally = std::mem::take(&mut local.tally);
            local.logged_at = now;
            slog::info!(
                self.log, "a pool's home at work";
                "shard" => shard.subject(), "shards" => shard.count, "during_ms" => millis(pause),
                "offers" => tally.offers, "grants" => tally.grants, "refusals" => tally.refusals,
                "moves" => tally.moves,
                "waiting" => local.pool.waiting(), "running" => local.pool.running(),
                "lag_ms" => millis(lag), "held" => self.held(),
            );
        }
    }

    /// The pools that this host keeps.
    pub(super) fn local_pools(&self) -> Vec<(Shard, Arc<Mutex<LocalPool>>)> {
        let pools = lock(&self.pools);
        let local = pools.iter();
        local
            .map(|(shard, local)| (shard.clone(), Arc::clone(local)))
            .collect()
    }

    /// The accounts that share the pools whose home this host is, once for each pool.
    pub(crate) fn account_shares(&self, now: Instant) -> Vec<dump::Share> {
        let local = self.local_pools().into_iter();
        let own = local.filter(|(shard, _)| self.home_of(shard) == self.me);
        own.flat_map(|(_, local)| lock(&local).pool.account_shares(now))
            .collect()
    }

    /// The pools in the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Pool> {
        let dump = |(shard, local): &(Shard, Arc<Mutex<LocalPool>>)| dump::Pool {
            shard: shard.number,
            shards: shard.count,
            home: self.home_of(shard) == self.me,
            ..lock(local).pool.dump(now)
        };
        let mut pools: Vec<_> = self.local_pools().iter().map(dump).collect();
        pools.sort_by(|one, other| (&one.service, one.shard).cmp(&(&other.service, other.shard)));
        pools
    }
}
