//! Roll-outs on this host: which version of a service a request goes to, what is seen of the answers, and, for the
//! services whose coordinator this host is, the decisions.
//!
//! The servers of each version of a service are a pool of their own. Each host follows the operators' orders with the
//! configuration. One host, chosen as homes are, coordinates an order: the others tell it each quarter of a second
//! what they sent and saw, and it tells them how many requests they may send to the new version. A host that
//! hears nothing sends none there.

mod coordinator;
mod known;
mod way;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;

use crate::coordination::rollout::{Bounds, Word};
use crate::protocol::dump;
use crate::protocol::message::{Message, RolloutWord};
use crate::state::clock::Instant;
use crate::state::config;
use crate::state::name::Name;
use crate::state::rollout::Stage;
use crate::transport::peers::links::Links;
use crate::transport::runtime::lock;

use coordinator::Coordinated;
pub(crate) use coordinator::run;
use known::Versions;
use way::Canary;
pub(crate) use way::{Observed, Way};

/// Time between two reports of a host on an order; longer where there are many hosts, as heartbeats are, since one host
/// hears them all.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// The pool of a service's servers of one version; versions are unknown where servers tell none.
pub(crate) fn pool_of(service: &Name, version: Option<&Name>) -> Name {
    match version {
        None => service.clone(),
        Some(version) => format!("{service}@{version}").into(),
    }
}

/// What coordinators of roll-outs are chosen for.
fn subject(service: &str) -> String {
    format!("rollout/{service}")
}

/// A service's versions, as the path of requests needs them.
#[derive(Debug)]
struct Service {
    /// The pool that gets its requests.
    pool: ArcSwap<Name>,
    /// The order that is not decided yet.
    canary: ArcSwapOption<Canary>,
}

/// The roll-outs of all services, as this host knows them.
pub(crate) struct Rollouts {
    me: Name,
    incarnation: u64,
    links: Arc<Links>,
    log: Logger,
    bounds: Bounds,
    services: ArcSwap<HashMap<Name, Arc<Service>>>,
    versions: Mutex<BTreeMap<Name, Versions>>,
    /// The orders whose coordinator this host is or was, by service.
    coordinated: Mutex<BTreeMap<Name, Coordinated>>,
    /// When this host reported last.
    reported: Mutex<Option<Instant>>,
    /// Whether other servers get requests than were told to the pools.
    has_moved: AtomicBool,
}

impl Rollouts {
    pub(crate) fn new(
        config: &config::Config,
        incarnation: u64,
        links: Arc<Links>,
        log: Logger,
    ) -> Self {
        Self {
            me: config.host.name.clone(),
            incarnation,
            links,
            log,
            bounds: Bounds {
                share: config.rollouts.share,
                slack: config.rollouts.slack,
            },
            services: ArcSwap::default(),
            versions: Mutex::default(),
            coordinated: Mutex::default(),
            reported: Mutex::new(None),
            has_moved: AtomicBool::new(false),
        }
    }

    /// Which pool the next request for a service goes to.
    pub(crate) fn way(&self, service: &Name) -> Way {
        match self.services.load().get(service) {
            None => Way::to(service.clone()),
            Some(known) => Way::choose(&known.pool.load(), known.canary.load_full()),
        }
    }

    /// The pool of a service's servers that get its requests.
    pub(crate) fn pool(&self, service: &Name) -> Name {
        let services = self.services.load();
        let known = services.get(service);
        known.map_or_else(
            || service.clone(),
            |known| known.pool.load().as_ref().clone(),
        )
    }

    /// Whether other servers get requests since this was asked last.
    pub(crate) fn take_moved(&self) -> bool {
        self.has_moved.swap(false, Ordering::Relaxed)
    }

    /// The pool to which a waiting request of a pool moves, where that gets no requests any more.
    pub(crate) fn successor(&self, service: &Name, pool: &Name) -> Option<Name> {
        let services = self.services.load();
        let known = services.get(service)?;
        let serving = known.pool.load().as_ref().clone();
        let is_tried = known
            .canary
            .load()
            .as_ref()
            .is_some_and(|canary| canary.pool == *pool);
        (serving != *pool && !is_tried).then_some(serving)
    }

    /// What the path of requests sees of a service.
    fn service(&self, service: &Name) -> Arc<Service> {
        let services = self.services.load();
        if let Some(known) = services.get(service) {
            return Arc::clone(known);
        }
        let new = Arc::new(Service {
            pool: ArcSwap::from_pointee(service.clone()),
            canary: ArcSwapOption::empty(),
        });
        let mut all = HashMap::clone(&services);
        all.insert(service.clone(), Arc::clone(&new));
        self.services.store(Arc::new(all));
        new
    }

    /// Tells the coordinators of the orders that are not decided what this host sent and saw.
    pub(crate) fn report(&self, now: Instant) {
        if !self.is_report_due(now) {
            return;
        }
        let services = self.services.load();
        for (service, known) in services.iter() {
            let Some(canary) = known.canary.load_full() else {
                continue;
            };
            let coordinator = self.links.home_of(&subject(service));
            let report = canary.report();
            if coordinator == self.me {
                let incarnation = self.incarnation;
                let me = self.me.clone();
                self.hear_report(&me, incarnation, service, canary.number, &report, now);
                continue;
            }
            let message = Message::Rollout {
                service: service.clone(),
                number: canary.number,
                report,
            };
            self.links.send(&coordinator, message);
        }
    }

    /// Time between two reports.
    fn report_every(&self) -> Duration {
        REPORT_EVERY.mul_f64(self.links.stretch())
    }

    fn is_report_due(&self, now: Instant) -> bool {
        let mut reported = lock(&self.reported);
        let is_due =
            reported.is_none_or(|at| now.saturating_duration_since(at) >= self.report_every());
        if is_due {
            *reported = Some(now);
        }
        is_due
    }

    /// Does what the coordinator of an order says.
    pub(crate) fn hear_word(&self, said: &RolloutWord, now: Instant) {
        if self.follow_word(said, now) {
            self.has_moved.store(true, Ordering::Relaxed);
        }
    }

    /// The same; tells whether other servers get requests from now on.
    fn follow_word(&self, said: &RolloutWord, now: Instant) -> bool {
        let mut versions = lock(&self.versions);
        let known = versions.entry(said.service.clone()).or_default();
        let is_older = known
            .order
            .as_ref()
            .is_some_and(|order| order.number > said.number);
        if is_older {
            return false;
        }
        if let Word::Ended(stage) = said.word {
            return self.note_end(known, said, stage);
        }
        let canary = self.service(&said.service).canary.load_full();
        // Without the order, which the platform will tell, nothing is sent.
        let Some(canary) = canary.filter(|canary| canary.number == said.number) else {
            return false;
        };
        canary.hear(said.word, self.report_every(), now)
    }

    /// The orders, as operators are told of them.
    pub(crate) fn list(&self) -> Vec<dump::Rollout> {
        // In this order wherever both are held.
        let versions = lock(&self.versions);
        let coordinated = lock(&self.coordinated);
        let listed = versions.iter().filter_map(|(service, known)| {
            let order = known.order.as_ref()?;
            let own = coordinated.get(service);
            let shown = own
                .filter(|own| own.number() == order.number)
                .map(Coordinated::shown);
            Some(dump::Rollout {
                service: service.clone(),
                from: known.serving.clone(),
                to: order.to.clone(),
                number: order.number,
                stage: known.stage.unwrap_or(Stage::InProgress),
                coordinator: self.links.home_of(&subject(service)),
                evidence: shown.map(dump::Evidence::from),
            })
        });
        listed.collect()
    }
}
