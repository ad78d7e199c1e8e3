//! The home's side: the pools whose queue this host keeps.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::listed::{Listed, Specs};
use super::tally::Tally;
use super::{Desk, Grant};
use crate::coordination::policy::Queue;
use crate::coordination::pool::{Action, Offer, Pool, Spec};
use crate::coordination::shard::{Cut, Shard};
use crate::protocol::dump;
use crate::protocol::message::{Made, Message};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::lock;

/// How long a server that is gone is remembered: longer than hosts' lists differ.
const DEPARTED_FOR: Duration = Duration::from_secs(60);

/// Time between two lines in the log about what a home decides.
const WORK_LOGGED: Duration = Duration::from_secs(5);
/// Lag from which there is a line each time that this is looked at: a part of an objective that counts.
const LAG_LOGGED: Duration = Duration::from_millis(100);

/// A pool whose home this host is or was.
#[derive(Debug)]
pub(super) struct Kept {
    pub(super) pool: Pool,
    pub(super) tally: Tally,
    /// When there was a line in the log about it.
    logged: Instant,
}

impl Desk {
    /// Lets a pool decide, and tells the holders.
    pub(super) fn act(&self, shard: &Shard, decide: impl FnOnce(&mut Pool) -> Vec<Action>) {
        let kept = self.pool(shard);
        let (actions, changes, limit_changes) = {
            let mut kept = lock(&kept);
            let actions = decide(&mut kept.pool);
            kept.tally.count(&actions);
            let pool = &mut kept.pool;
            (actions, pool.take_changes(), pool.take_limit_changes())
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
            );
        }
        let now = Instant::now();
        for action in actions {
            self.tell(shard, action, now);
        }
    }

    /// Lets a pool decide about an offer, or tells its holder of another shard that has places.
    pub(super) fn act_on(&self, shard: &Shard, offer: Offer, made: Made, now: Instant) {
        lock(&self.pool(shard)).tally.offers += 1;
        let ticket = offer.ticket.clone();
        let sequence = ticket.sequence;
        if made == Made::First
            && let Some(to) = self.elsewhere(shard, &ticket, now)
        {
            let to = to.number;
            self.say(&ticket.holder, Message::Move { sequence, to }, now);
            return;
        }
        self.act(shard, |pool| pool.offer(offer, now));
        if made == Made::Again && lock(&self.pool(shard)).pool.is_waiting(&ticket) {
            self.say(&ticket.holder, Message::Queued { sequence }, now);
        }
    }

    pub(super) fn pool(&self, shard: &Shard) -> Arc<Mutex<Kept>> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(shard.clone()).or_insert_with(|| {
            let service = shard.service.clone();
            let mut pool = Pool::believing(service, self.waiting_max, self.belief);
            let specs = self.listed.load().of_shard(shard);
            // A new pool has no queue, so there is nothing to grant.
            let now = Instant::now();
            pool.set_servers(&specs, now);
            pool.share(self.links.share(now).part(), now);
            Arc::new(Mutex::new(Kept {
                pool,
                tally: Tally::default(),
                logged: Instant::now(),
            }))
        });
        Arc::clone(pool)
    }

    pub(super) fn tell(&self, shard: &Shard, action: Action, now: Instant) {
        match action {
            Action::Grant {
                ticket,
                server,
                address,
                first_token,
                limited,
            } if ticket.holder == self.me => {
                let grant = Grant {
                    server,
                    address,
                    first_token,
                    limited,
                };
                self.hear_grant(&self.me, shard, ticket.sequence, grant, now);
            }
            Action::Refuse { ticket, reason } if ticket.holder == self.me => {
                self.hear_refusal(ticket.sequence, reason, now);
            }
            Action::Grant {
                ticket,
                server,
                address,
                first_token,
                limited,
            } => {
                let message = Message::Grant {
                    shard: shard.clone(),
                    sequence: ticket.sequence,
                    server,
                    address,
                    first_token_ms: millis(first_token),
                    limited,
                };
                self.links.send(&ticket.holder, message);
            }
            Action::Refuse { ticket, reason } => {
                self.links
                    .send(&ticket.holder, Message::refuse(ticket.sequence, &reason));
            }
        }
    }

    /// Follows the host list: the servers of each service.
    pub(crate) fn set_specs(&self, specs: HashMap<Name, Vec<Spec>>, now: Instant) {
        let listed = Arc::new(Listed::of(specs));
        let before = self.listed.swap(Arc::clone(&listed));
        self.note_departed(&before.specs, &listed.specs, now);
        for shard in self.shards() {
            let specs = listed.of_shard(&shard);
            self.act(&shard, |pool| pool.set_servers(&specs, now));
        }
        if !before.is_cut_like(&listed) {
            self.rehome(now);
        }
        self.keep_own(&listed);
        self.drop_unused(&listed);
    }

    /// Begins to keep the pools whose home this host is, so that it can tell of them before any offer.
    pub(super) fn keep_own(&self, listed: &Listed) {
        let shards = listed.cuts.values().flat_map(Cut::shards);
        for shard in shards.filter(|shard| self.home_of(shard) == self.me) {
            self.pool(&shard);
        }
    }

    /// Drops pools of a cut that is no longer in use, when nothing of them is left.
    fn drop_unused(&self, listed: &Listed) {
        lock(&self.pools).retain(|shard, kept| {
            let cut = listed.cuts.get(&shard.service);
            let is_current = cut.is_none_or(|cut| cut.count() == shard.count);
            let kept = &lock(kept).pool;
            is_current || kept.waiting() > 0 || kept.running() > 0
        });
    }

    /// Keeps the names of servers that are no longer in the list.
    fn note_departed(&self, before: &Specs, specs: &Specs, now: Instant) {
        let names = |specs: &Specs| -> HashSet<Name> {
            let all = specs.values().flatten();
            all.map(|spec| spec.name.clone()).collect()
        };
        let there = names(specs);
        let mut departed = lock(&self.departed);
        for name in names(before) {
            if !there.contains(&name) {
                departed.insert(name, now);
            }
        }
        departed.retain(|name, missed| {
            !there.contains(name) && now.saturating_duration_since(*missed) < DEPARTED_FOR
        });
    }

    /// Whether this host's own list says that a server leaves or is gone. The home that granted it
    /// may have an older one.
    pub(crate) fn is_leaving(&self, pool: &Name, server: &Name) -> bool {
        let listed = self.listed.load();
        let spec = listed
            .specs
            .get(pool)
            .and_then(|specs| specs.iter().find(|spec| spec.name == *server));
        match spec {
            Some(spec) => spec.leaving,
            None => lock(&self.departed).contains_key(server),
        }
    }

    /// Forgets all that earlier incarnations of a host asked for; `u64::MAX` means the host is gone.
    pub(crate) fn forget(&self, holder: &Name, before: u64, now: Instant) {
        for shard in self.shards() {
            self.act(&shard, |pool| pool.forget(holder, before, now));
        }
    }

    /// The shards whose pools this host keeps.
    pub(super) fn shards(&self) -> Vec<Shard> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Refuses what is too late, and grants to servers that came back.
    pub(crate) fn tick(&self, now: Instant) {
        lock(&self.lag).turn(now);
        for shard in self.shards() {
            self.act(&shard, |pool| pool.tick(now));
        }
    }

    /// What this host knows of a pool's queue; zeros where another host is its home.
    pub(crate) fn queue(&self, name: &Name) -> Queue {
        let mut queue = Queue::default();
        for (shard, kept) in self.kept() {
            if shard.service == *name {
                let pool = &lock(&kept).pool;
                queue.waiting += pool.waiting() as u64;
                queue.waiting_tokens += pool.waiting_tokens();
                queue.running += pool.running() as u64;
                queue.servers += pool.servers() as u64;
            }
        }
        queue
    }

    /// How far this host is behind with its work.
    pub(crate) fn lag(&self, now: Instant) -> Duration {
        lock(&self.lag).recent(now)
    }

    /// Logs what the pools decided of late whose home this host is; those of a host that is behind with
    /// its work more often.
    pub(crate) fn log_work(&self, now: Instant) {
        let lag = self.lag(now);
        for (shard, kept) in self.kept() {
            let mut kept = lock(&kept);
            let pause = now.saturating_duration_since(kept.logged);
            let is_due = pause >= WORK_LOGGED || lag >= LAG_LOGGED;
            if kept.tally.offers == 0 || !is_due {
                continue;
            }
            let tally = std::mem::take(&mut kept.tally);
            kept.logged = now;
            slog::info!(
                self.log, "a pool's home at work";
                "shard" => shard.subject(), "shards" => shard.count, "during_ms" => millis(pause),
                "offers" => tally.offers, "grants" => tally.grants, "refusals" => tally.refusals,
                "moves" => tally.moves,
                "waiting" => kept.pool.waiting(), "running" => kept.pool.running(),
                "lag_ms" => millis(lag), "held" => self.held(),
            );
        }
    }

    /// The pools that this host keeps.
    pub(super) fn kept(&self) -> Vec<(Shard, Arc<Mutex<Kept>>)> {
        let pools = lock(&self.pools);
        let kept = pools.iter();
        kept.map(|(shard, kept)| (shard.clone(), Arc::clone(kept)))
            .collect()
    }

    /// Its part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Pool> {
        let dump = |(shard, kept): &(Shard, Arc<Mutex<Kept>>)| dump::Pool {
            shard: shard.number,
            shards: shard.count,
            home: self.home_of(shard) == self.me,
            ..lock(kept).pool.dump(now)
        };
        let mut pools: Vec<_> = self.kept().iter().map(dump).collect();
        pools.sort_by(|one, other| (&one.service, one.shard).cmp(&(&other.service, other.shard)));
        pools
    }
}
