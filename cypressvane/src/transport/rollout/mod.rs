//! Roll-outs on this host: selects the version of a service for each request, observes the answers and, for the
//! services that this host coordinates, decides.
//!
//! The servers of all versions of a service are one pool; a request may be restricted to some versions. All hosts read the operators' orders along with the
//! configuration. One host, elected by rendezvous hashing as homes are, coordinates an order: the others report to it
//! every quarter of a second what they sent and observed, and it replies with the number of requests that they may send
//! to the new version. A host that gets no replies sends none there.

mod choice;
mod coordinator;
mod known;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;

use crate::coordination::rollout::{Bounds, Instruction};
use crate::coordination::version::Constraint;
use crate::coordination::view::Watch;
use crate::protocol::dump;
use crate::protocol::message::{Message, RolloutInstruction};
use crate::state::clock::Instant;
use crate::state::config;
use crate::state::name::Name;
use crate::state::rollout::Stage;
use crate::transport::peers::links::Links;
use crate::transport::runtime::lock;

use choice::Canary;
pub(crate) use choice::{Choice, Observed};
use coordinator::Coordinated;
pub(crate) use coordinator::run;
use known::Versions;

/// Time between two reports of a host on an order; stretched where there are many hosts, as heartbeats are, since one
/// host receives them all.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The subject for which the coordinator of a service's orders is elected.
fn coordinator_subject(service: &str) -> String {
    format!("rollout/{service}")
}

/// The routing of a service's requests between its versions.
#[derive(Debug)]
struct ServiceRouting {
    /// The versions that may run a request, as far as an order restricts them.
    constraint: ArcSwap<Constraint>,
    /// The undecided order, if there is one.
    canary: ArcSwapOption<Canary>,
}

/// The roll-outs of all services, as known to this host.
pub(crate) struct Rollouts {
    me: Name,
    incarnation: u64,
    links: Arc<Links>,
    log: Logger,
    bounds: Bounds,
    routings: ArcSwap<HashMap<Name, Arc<ServiceRouting>>>,
    versions: Mutex<BTreeMap<Name, Versions>>,
    /// For how long this host has followed the host list.
    watch: Mutex<Watch>,
    /// The orders that this host coordinates or has coordinated, by service.
    coordinated: Mutex<BTreeMap<Name, Coordinated>>,
    /// When this host last reported.
    last_report: Mutex<Option<Instant>>,
    /// Whether the servers that may get requests have changed since the pools were last updated.
    has_changed: AtomicBool,
    /// When the next version that has joined others gets new requests.
    next_settled_at: Mutex<Option<Instant>>,
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
            routings: ArcSwap::default(),
            versions: Mutex::default(),
            watch: Mutex::default(),
            coordinated: Mutex::default(),
            last_report: Mutex::new(None),
            has_changed: AtomicBool::new(false),
            next_settled_at: Mutex::new(None),
        }
    }

    /// Selects the versions for the next request for a service.
    pub(crate) fn choose(&self, service: &Name) -> Choice {
        match self.routings.load().get(service) {
            None => Choice::of(Constraint::Any),
            Some(routing) => Choice::choose(&routing.constraint.load(), routing.canary.load_full()),
        }
    }

    /// Selects the version that began a stream for a request that goes on with it.
    pub(crate) fn choose_for_stream(&self, service: &Name, version: Option<Name>) -> Choice {
        let routings = self.routings.load();
        let canary = routings.get(service).and_then(|it| it.canary.load_full());
        Choice::named(version, canary)
    }

    /// The versions that may run a service's requests, as far as an order restricts them.
    pub(crate) fn constraint(&self, service: &Name) -> Constraint {
        let routings = self.routings.load();
        let routing = routings.get(service);
        routing.map_or(Constraint::Any, |routing| {
            Constraint::clone(&routing.constraint.load())
        })
    }

    /// The versions for a waiting request that `versions` restricts, if an order has changed them.
    pub(crate) fn successor(&self, service: &Name, versions: &Constraint) -> Option<Constraint> {
        let routings = self.routings.load();
        let routing = routings.get(service)?;
        let is_tried = routing
            .canary
            .load()
            .as_ref()
            .is_some_and(|canary| *versions == Constraint::Only(Some(canary.to.clone())));
        let current = Constraint::clone(&routing.constraint.load());
        (current != *versions && !is_tried).then_some(current)
    }

    /// The routing of a service, which is added if it is missing.
    fn routing(&self, service: &Name) -> Arc<ServiceRouting> {
        let routings = self.routings.load();
        if let Some(routing) = routings.get(service) {
            return Arc::clone(routing);
        }
        let new = Arc::new(ServiceRouting {
            constraint: ArcSwap::default(),
            canary: ArcSwapOption::empty(),
        });
        let mut all = HashMap::clone(&routings);
        all.insert(service.clone(), Arc::clone(&new));
        self.routings.store(Arc::new(all));
        new
    }

    /// Reports what this host sent and observed to the coordinators of the undecided orders.
    pub(crate) fn report(&self, now: Instant) {
        if !self.is_report_due(now) {
            return;
        }
        let routings = self.routings.load();
        for (service, routing) in routings.iter() {
            let Some(canary) = routing.canary.load_full() else {
                continue;
            };
            let coordinator = self.links.home_of(&coordinator_subject(service));
            let report = canary.report();
            if coordinator == self.me {
                let incarnation = self.incarnation;
                let me = self.me.clone();
                self.note_report(&me, incarnation, service, canary.number, &report, now);
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
    fn report_interval(&self) -> Duration {
        REPORT_INTERVAL.mul_f64(self.links.stretch())
    }

    fn is_report_due(&self, now: Instant) -> bool {
        let mut last_report = lock(&self.last_report);
        let is_due = last_report
            .is_none_or(|at| now.saturating_duration_since(at) >= self.report_interval());
        if is_due {
            *last_report = Some(now);
        }
        is_due
    }

    /// Handles an instruction from an order's coordinator.
    pub(crate) fn handle_instruction(&self, instruction: &RolloutInstruction, now: Instant) {
        if self.apply_instruction(instruction, now) {
            self.has_changed.store(true, Ordering::Relaxed);
        }
    }

    /// Applies an instruction; returns whether that changes the servers that may get requests.
    fn apply_instruction(&self, instruction: &RolloutInstruction, now: Instant) -> bool {
        let mut versions = lock(&self.versions);
        let known = versions.entry(instruction.service.clone()).or_default();
        let is_older = known
            .order
            .as_ref()
            .is_some_and(|order| order.number > instruction.number);
        if is_older {
            return false;
        }
        if let Instruction::Ended(stage) = instruction.word {
            return self.note_end(known, instruction, stage);
        }
        let canary = self.routing(&instruction.service).canary.load_full();
        // Nothing is sent to a new version before its order has been read from the platform.
        let Some(canary) = canary.filter(|canary| canary.number == instruction.number) else {
            return false;
        };
        canary.apply(instruction.word, self.report_interval(), now)
    }

    /// The orders, for operators.
    pub(crate) fn list(&self) -> Vec<dump::Rollout> {
        // Wherever both locks are held, they are taken in this order.
        let versions = lock(&self.versions);
        let coordinated = lock(&self.coordinated);
        let listed = versions.iter().filter_map(|(service, known)| {
            let order = known.order.as_ref()?;
            let own = coordinated.get(service);
            let summary = own
                .filter(|own| own.number() == order.number)
                .map(Coordinated::summary);
            Some(dump::Rollout {
                service: service.clone(),
                from: known.known.replaced.first().cloned(),
                to: order.to.clone(),
                number: order.number,
                stage: known.stage.unwrap_or(Stage::InProgress),
                coordinator: self.links.home_of(&coordinator_subject(service)),
                evidence: summary.map(dump::Evidence::from),
            })
        });
        listed.collect()
    }
}
