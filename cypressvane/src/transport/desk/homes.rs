//! The home's side: the pools whose queue this host keeps.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::tally::Tally;
use super::{Desk, Grant};
use crate::coordination::policy::Queue;
use crate::coordination::pool::{Action, Offer, Pool, Spec};
use crate::protocol::dump;
use crate::protocol::message::Message;
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

/// The servers of each service.
type Specs = HashMap<Name, Vec<Spec>>;

impl Desk {
    /// Lets a pool decide, and tells the holders.
    pub(super) fn act(&self, service: &Name, decide: impl FnOnce(&mut Pool) -> Vec<Action>) {
        let kept = self.pool(service);
        let (actions, changes) = {
            let mut kept = lock(&kept);
            let actions = decide(&mut kept.pool);
            kept.tally.count(&actions);
            (actions, kept.pool.take_changes())
        };
        for change in changes {
            slog::info!(
                self.log, "a backend server is believed otherwise";
                "service" => &**service, "server" => &*change.server,
                "before" => change.before, "after" => change.after,
            );
        }
        let now = Instant::now();
        for action in actions {
            self.tell(service, action, now);
        }
    }

    /// Lets a pool decide about an offer.
    pub(super) fn act_on(&self, service: &Name, offer: Offer, now: Instant) {
        lock(&self.pool(service)).tally.offers += 1;
        self.act(service, |pool| pool.offer(offer, now));
    }

    pub(super) fn pool(&self, service: &Name) -> Arc<Mutex<Kept>> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(service.clone()).or_insert_with(|| {
            let mut pool = Pool::believing(service.clone(), self.waiting_max, self.belief);
            let specs = self.specs.load();
            // A new pool has no queue, so there is nothing to grant.
            pool.set_servers(
                specs.get(service).map_or(&[], Vec::as_slice),
                Instant::now(),
            );
            Arc::new(Mutex::new(Kept {
                pool,
                tally: Tally::default(),
                logged: Instant::now(),
            }))
        });
        Arc::clone(pool)
    }

    pub(super) fn tell(&self, service: &Name, action: Action, now: Instant) {
        match action {
            Action::Grant {
                ticket,
                server,
                address,
                first_token,
            } if ticket.holder == self.me => {
                let grant = Grant {
                    server,
                    address,
                    first_token,
                };
                self.hear_grant(&self.me, service, ticket.sequence, grant, now);
            }
            Action::Refuse { ticket, reason } if ticket.holder == self.me => {
                self.hear_refusal(ticket.sequence, reason);
            }
            Action::Grant {
                ticket,
                server,
                address,
                first_token,
            } => {
                let message = Message::Grant {
                    service: service.clone(),
                    sequence: ticket.sequence,
                    server,
                    address,
                    first_token_ms: millis(first_token),
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
        let specs = Arc::new(specs);
        let before = self.specs.swap(Arc::clone(&specs));
        self.note_departed(&before, &specs, now);
        for service in self.services() {
            let specs = specs.get(&service).map_or(&[][..], Vec::as_slice);
            self.act(&service, |pool| pool.set_servers(specs, now));
        }
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
    pub(crate) fn is_leaving(&self, service: &Name, server: &Name) -> bool {
        let specs = self.specs.load();
        let spec = specs
            .get(service)
            .and_then(|specs| specs.iter().find(|spec| spec.name == *server));
        match spec {
            Some(spec) => spec.leaving,
            None => lock(&self.departed).contains_key(server),
        }
    }

    /// Forgets all that earlier incarnations of a host asked for; `u64::MAX` means the host is gone.
    pub(crate) fn forget(&self, holder: &Name, before: u64, now: Instant) {
        for service in self.services() {
            self.act(&service, |pool| pool.forget(holder, before, now));
        }
    }

    pub(super) fn services(&self) -> Vec<Name> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Refuses what is too late, and grants to servers that came back.
    pub(crate) fn tick(&self, now: Instant) {
        lock(&self.lag).turn(now);
        for service in self.services() {
            self.act(&service, |pool| pool.tick(now));
        }
    }

    /// What this host knows of a service's queue; zeros where another host is its home.
    pub(crate) fn queue(&self, service: &Name) -> Queue {
        let pool = lock(&self.pools).get(service).cloned();
        let Some(pool) = pool else {
            return Queue::default();
        };
        let pool = &lock(&pool).pool;
        Queue {
            waiting: pool.waiting() as u64,
            waiting_tokens: pool.waiting_tokens(),
            running: pool.running() as u64,
            servers: pool.servers() as u64,
        }
    }

    /// How far this host is behind with its work.
    pub(crate) fn lag(&self, now: Instant) -> Duration {
        lock(&self.lag).recent(now)
    }

    /// Logs what the pools decided of late whose home this host is; those of a host that is behind with
    /// its work more often.
    pub(crate) fn log_work(&self, now: Instant) {
        let lag = self.lag(now);
        for (service, kept) in self.kept() {
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
                "service" => &*service, "during_ms" => millis(pause),
                "offers" => tally.offers, "grants" => tally.grants, "refusals" => tally.refusals,
                "waiting" => kept.pool.waiting(), "running" => kept.pool.running(),
                "lag_ms" => millis(lag), "held" => self.held(),
            );
        }
    }

    /// The pools that this host keeps, by service.
    fn kept(&self) -> Vec<(Name, Arc<Mutex<Kept>>)> {
        let pools = lock(&self.pools);
        let kept = pools.iter();
        kept.map(|(service, kept)| (service.clone(), Arc::clone(kept)))
            .collect()
    }

    /// Its part of the state dump.
    pub(crate) fn dump(&self, now: Instant) -> Vec<dump::Pool> {
        let pools: Vec<_> = lock(&self.pools).values().cloned().collect();
        let mut pools: Vec<_> = pools.iter().map(|kept| lock(kept).pool.dump(now)).collect();
        pools.sort_by(|one, other| one.service.cmp(&other.service));
        pools
    }
}
