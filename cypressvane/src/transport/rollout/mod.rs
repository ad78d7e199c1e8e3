//! Roll-outs on this host: which version of a service a request goes to, what is seen of the answers, and, for the
//! services whose coordinator this host is, the decisions.
//!
//! The servers of each version of a service are a pool of their own. Each host follows the operators' orders with the
//! configuration. One host, chosen as homes are, coordinates an order: the others tell it each quarter of a second
//! what they sent and saw, and it tells them how many requests they may send to the new version. A host that
//! hears nothing sends none there.

mod coordinator;
mod way;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;

use crate::coordination::rollout::version::{self, Known};
use crate::coordination::rollout::{Bounds, Word};
use crate::protocol::dump;
use crate::protocol::message::{Message, RolloutWord};
use crate::state::clock::Instant;
use crate::state::config;
use crate::state::name::Name;
use crate::state::platform::Entry;
use crate::state::rollout::{Order, Stage};
use crate::transport::peers::links::Links;
use crate::transport::runtime::lock;

use coordinator::Coordinated;
pub(crate) use coordinator::run;
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
#[derive(Debug, Default)]
struct Service {
    /// The pool that gets its requests.
    pool: ArcSwap<Name>,
    /// The order that is not decided yet.
    canary: ArcSwapOption<Canary>,
}

/// What this host knows of a service's versions.
#[derive(Clone, Debug, Default)]
struct Versions {
    listed: BTreeMap<Name, usize>,
    /// The version that gets its traffic.
    serving: Option<Name>,
    order: Option<Order>,
    /// How the order stands, where that is known.
    stage: Option<Stage>,
    /// Whether the platform may have lost what was kept of it.
    is_unkept: bool,
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

/// Which servers of a service may get requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowed {
    serving: Option<Name>,
    /// The version that is tried, and those of its servers that are canaries.
    tried: Option<(Name, Vec<Name>)>,
}

impl Allowed {
    /// Whether a server may get requests.
    pub(crate) fn has(&self, entry: &Entry) -> bool {
        let Some(version) = &entry.version else {
            return true;
        };
        let tried = self.tried.as_ref();
        let is_canary =
            tried.is_some_and(|(to, names)| to == version && names.contains(&entry.name));
        is_canary || self.serving.as_ref() == Some(version)
    }
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

    /// Takes in the servers of the host list.
    pub(crate) fn note_listed<'a>(&self, servers: impl Iterator<Item = &'a Entry>) {
        let mut listed: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for entry in servers {
            if let (Some(service), Some(version)) = (&entry.service, &entry.version) {
                let versions = listed.entry(service.clone()).or_default();
                *versions.entry(version.clone()).or_default() += 1;
            }
        }
        let mut versions = lock(&self.versions);
        for (service, known) in versions.iter_mut() {
            if !listed.contains_key(service) {
                known.listed.clear();
            }
        }
        for (service, counts) in listed {
            let known = versions.entry(service.clone()).or_default();
            known.listed = counts;
            self.settle(&service, known);
        }
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

    /// Takes in the operators' orders.
    pub(crate) fn note_orders(&self, orders: &[Order]) {
        let mut versions = lock(&self.versions);
        for order in orders {
            let known = versions.entry(order.service.clone()).or_default();
            if known
                .order
                .as_ref()
                .is_some_and(|known| known.number >= order.number)
            {
                continue;
            }
            if known
                .order
                .as_ref()
                .is_some_and(|known| order.is_again(known))
            {
                self.renumber(known, order);
                continue;
            }
            slog::info!(
                self.log, "a roll-out is ordered";
                "service" => &*order.service, "to" => &*order.to, "number" => order.number,
                "duration_ms" => u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
            );
            known.order = Some(order.clone());
            known.stage = None;
            self.settle(&order.service, known);
            self.has_moved.store(true, Ordering::Relaxed);
        }
    }

    /// Goes on with an order that operators have written again, under its new number.
    fn renumber(&self, known: &mut Versions, order: &Order) {
        slog::info!(
            self.log, "an order that the platform had lost is written again";
            "service" => &*order.service, "to" => &*order.to, "number" => order.number,
        );
        known.order = Some(order.clone());
        if let Some(own) = lock(&self.coordinated).get_mut(&order.service) {
            own.renumber(order);
        }
        self.settle(&order.service, known);
    }

    /// Notes that the platform came back from an older copy: what is kept of the orders may be lost.
    pub(crate) fn note_return(&self) {
        for known in lock(&self.versions).values_mut() {
            known.is_unkept = known.order.is_some();
        }
        for own in lock(&self.coordinated).values_mut() {
            own.forget_kept();
        }
    }

    /// Brings what the path of requests sees up to date with what is known of a service.
    fn settle(&self, service: &Name, known: &mut Versions) {
        let ordered = known.order.as_ref().map(|order| (&order.to, known.stage));
        let serving = version::serving(&Known {
            listed: known.listed.clone(),
            before: known.serving.as_ref(),
            ordered,
        });
        if serving != known.serving {
            slog::info!(
                self.log, "a service is served by another version";
                "service" => &**service, "before" => known.serving.as_deref(),
                "after" => serving.as_deref(),
            );
            known.serving = serving;
        }
        let open = self.service(service);
        open.pool
            .store(Arc::new(pool_of(service, known.serving.as_ref())));
        let tried = known
            .order
            .as_ref()
            .filter(|order| known.stage.is_none() && known.serving.as_ref() != Some(&order.to));
        let is_open = open.canary.load().as_ref().map(|canary| canary.number);
        match tried {
            None => open.canary.store(None),
            Some(order) if is_open == Some(order.number) => {}
            Some(order) => {
                let pool = pool_of(service, Some(&order.to));
                open.canary.store(Some(Arc::new(Canary::new(order, pool))));
            }
        }
    }

    /// What the path of requests sees of a service.
    fn service(&self, service: &Name) -> Arc<Service> {
        let services = self.services.load();
        if let Some(known) = services.get(service) {
            return Arc::clone(known);
        }
        let new = Arc::new(Service::default());
        let mut all = HashMap::clone(&services);
        all.insert(service.clone(), Arc::clone(&new));
        self.services.store(Arc::new(all));
        new
    }

    /// Which servers of a service may get requests, of those in the host list.
    pub(crate) fn allowed(&self, service: &Name, servers: &[&Entry]) -> Allowed {
        let versions = lock(&self.versions);
        let Some(known) = versions.get(service) else {
            return Allowed::default();
        };
        let services = self.services.load();
        let canary = services
            .get(service)
            .and_then(|known| known.canary.load_full());
        let tried = canary.map(|canary| {
            let of_it = servers
                .iter()
                .filter(|entry| entry.version.as_ref() == Some(&canary.to));
            let names: Vec<Name> = of_it.map(|entry| entry.name.clone()).collect();
            let names = if canary.takes_all() {
                names
            } else {
                version::canaries(&names, self.bounds.canary_share())
            };
            (canary.to.clone(), names)
        });
        Allowed {
            serving: known.serving.clone(),
            tried,
        }
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

    /// Notes how an order has ended; tells whether that is news.
    fn note_end(&self, known: &mut Versions, said: &RolloutWord, stage: Stage) -> bool {
        let is_known = known
            .order
            .as_ref()
            .is_some_and(|order| order.number == said.number);
        if is_known && known.stage == Some(stage) {
            return false;
        }
        if !is_known {
            known.order = Some(Order {
                service: said.service.clone(),
                to: said.to.clone(),
                number: said.number,
                era: 0,
                seen_ms: 0,
                duration: Duration::ZERO,
            });
        }
        known.stage = Some(stage);
        slog::info!(
            self.log, "a roll-out has ended";
            "service" => &*said.service, "to" => &*said.to, "number" => said.number,
            "stage" => stage.text(),
        );
        self.settle(&said.service, known);
        true
    }

    /// The orders, as operators are told of them.
    pub(crate) fn list(&self) -> Vec<dump::Rollout> {
        let coordinated = lock(&self.coordinated);
        let versions = lock(&self.versions);
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
