//! What this host knows of the services' versions: the host list's servers, the operators' orders, and their outcomes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Rollouts;
use super::choice::Canary;
use crate::coordination::rollout::version::{self, Access, KnownVersions};
use crate::coordination::version::Constraint;
use crate::protocol::message::RolloutInstruction;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::Entry;
use crate::state::rollout::{Order, Stage};
use crate::state::units::millis;
use crate::transport::runtime::lock;

/// What this host knows of a service's versions and orders.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    pub(super) known: KnownVersions,
    pub(super) order: Option<Order>,
    /// How the order ended; `None` until that is known.
    pub(super) stage: Option<Stage>,
    /// Whether the platform may have lost the stored progress of the order.
    pub(super) needs_rewrite: bool,
}

/// The servers of a service that may get requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowed {
    /// What the listed versions may get.
    access: BTreeMap<Name, Access>,
    /// The servers that are tried, if a version is rolled out.
    canaries: Vec<Name>,
    /// The version that is rolled out.
    ordered: Option<Name>,
}

impl Allowed {
    /// What a server may get.
    pub(crate) fn access(&self, entry: &Entry) -> Access {
        let Some(version) = &entry.version else {
            return Access::Open;
        };
        let access = self.access.get(version).copied().unwrap_or(Access::Open);
        let is_ordered = self.ordered.as_ref() == Some(version);
        if access == Access::Tried && is_ordered && !self.canaries.contains(&entry.name) {
            return Access::Closed;
        }
        access
    }
}

impl Rollouts {
    /// Updates the versions from the servers in the host list; `is_first` if it is the first list that is read.
    pub(crate) fn update_listed<'a>(
        &self,
        servers: impl Iterator<Item = &'a Entry>,
        is_first: bool,
        now: Instant,
    ) {
        let mut listed: BTreeMap<Name, BTreeSet<Name>> = BTreeMap::new();
        for entry in servers {
            if let (Some(service), Some(version)) = (&entry.service, &entry.version) {
                let versions = listed.entry(service.clone()).or_default();
                versions.insert(version.clone());
            }
        }
        lock(&self.watch).note_read(now);
        let mut versions = lock(&self.versions);
        let none = BTreeSet::new();
        for (service, known) in versions.iter_mut() {
            if !listed.contains_key(service) {
                known.known.apply_list(&none, is_first, now);
            }
        }
        for (service, listed) in listed {
            let own = versions.entry(service.clone()).or_default();
            let before = own.known.listed.len();
            own.known.apply_list(&listed, is_first, now);
            if before.max(listed.len()) > 1 && before != listed.len() {
                let names: Vec<&str> = listed.iter().map(|version| &**version).collect();
                slog::info!(
                    self.log, "other versions of a service are listed";
                    "service" => &*service, "versions" => names.join(", "), "before" => before,
                );
            }
            self.update_routing(&service, own);
        }
        self.schedule_settling(&versions, now);
    }

    /// Remembers when the next version that has joined others gets new requests.
    fn schedule_settling(&self, versions: &BTreeMap<Name, Versions>, now: Instant) {
        let settled = versions.values();
        let next = settled.filter_map(|own| own.known.next_settled_at(now));
        *lock(&self.next_settled_at) = next.min();
    }

    /// Marks the servers as changed if a version that has joined others gets new requests from now on.
    fn check_settling(&self, now: Instant) {
        if lock(&self.next_settled_at).is_none_or(|at| now < at) {
            return;
        }
        let versions = lock(&self.versions);
        self.schedule_settling(&versions, now);
        self.has_changed.store(true, Ordering::Relaxed);
    }

    /// Whether the servers that may get requests have changed since the last call.
    pub(crate) fn take_changed(&self, now: Instant) -> bool {
        self.check_settling(now);
        self.has_changed.swap(false, Ordering::Relaxed)
    }

    /// Updates the orders from those that operators have issued; returns the new ones.
    pub(crate) fn update_orders(&self, orders: &[Order]) -> Vec<Order> {
        let mut versions = lock(&self.versions);
        let mut new = Vec::new();
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
                .is_some_and(|known| order.is_resubmission_of(known))
            {
                self.renumber(known, order);
                new.push(order.clone());
                continue;
            }
            slog::info!(
                self.log, "a roll-out is ordered";
                "service" => &*order.service, "to" => &*order.to, "number" => order.number,
                "duration_ms" => millis(order.duration),
            );
            known.order = Some(order.clone());
            known.stage = None;
            known.known.apply_order(&order.to, None);
            self.update_routing(&order.service, known);
            self.has_changed.store(true, Ordering::Relaxed);
            new.push(order.clone());
        }
        new
    }

    /// Continues an order that operators have written again, under its new number.
    fn renumber(&self, known: &mut Versions, order: &Order) {
        slog::info!(
            self.log, "an order that the platform had lost is written again";
            "service" => &*order.service, "to" => &*order.to, "number" => order.number,
        );
        known.order = Some(order.clone());
        if let Some(own) = lock(&self.coordinated).get_mut(&order.service) {
            own.renumber(order);
        }
        self.update_routing(&order.service, known);
    }

    /// Records that the platform came back from an older copy, so the stored progress of the orders may be lost.
    pub(crate) fn note_platform_restored(&self) {
        for known in lock(&self.versions).values_mut() {
            known.needs_rewrite = known.order.is_some();
        }
        for own in lock(&self.coordinated).values_mut() {
            own.forget_stored();
        }
    }

    /// Updates a service's routing from what is known of its versions.
    fn update_routing(&self, service: &Name, own: &mut Versions) {
        let routing = self.routing(service);
        let constraint = own.known.constraint();
        let tried = own
            .order
            .as_ref()
            .filter(|_| own.stage.is_none() && constraint != Constraint::Any);
        routing.constraint.store(Arc::new(constraint));
        let open_number = routing.canary.load().as_ref().map(|canary| canary.number);
        match tried {
            None => routing.canary.store(None),
            Some(order) if open_number == Some(order.number) => {}
            Some(order) => routing.canary.store(Some(Arc::new(Canary::new(order)))),
        }
    }

    /// The servers of a service that may get requests, out of those in the host list.
    pub(crate) fn allowed(&self, service: &Name, servers: &[&Entry], now: Instant) -> Allowed {
        let versions = lock(&self.versions);
        let Some(own) = versions.get(service) else {
            return Allowed::default();
        };
        let known = &own.known;
        let access = known.listed.keys();
        let access = access
            .map(|version| (version.clone(), known.access(version, now)))
            .collect();
        let routings = self.routings.load();
        let canary = routings
            .get(service)
            .and_then(|routing| routing.canary.load_full());
        let Some(canary) = canary else {
            return Allowed {
                access,
                ..Allowed::default()
            };
        };
        let new_servers = servers
            .iter()
            .filter(|entry| entry.version.as_ref() == Some(&canary.to));
        let names: Vec<Name> = new_servers.map(|entry| entry.name.clone()).collect();
        let canaries = if canary.takes_all() {
            names
        } else {
            version::canaries(&names, self.bounds.canary_share())
        };
        Allowed {
            access,
            canaries,
            ordered: Some(canary.to.clone()),
        }
    }

    /// Records how an order ended; returns whether that was unknown here.
    pub(super) fn note_end(
        &self,
        known: &mut Versions,
        instruction: &RolloutInstruction,
        stage: Stage,
    ) -> bool {
        let is_known = known
            .order
            .as_ref()
            .is_some_and(|order| order.number == instruction.number);
        if is_known && known.stage == Some(stage) {
            return false;
        }
        if !is_known {
            known.order = Some(Order {
                service: instruction.service.clone(),
                to: instruction.to.clone(),
                number: instruction.number,
                era: 0,
                seen_ms: 0,
                duration: Duration::ZERO,
            });
        }
        known.stage = Some(stage);
        known.known.apply_order(&instruction.to, Some(stage));
        slog::info!(
            self.log, "a roll-out has ended";
            "service" => &*instruction.service, "to" => &*instruction.to, "number" => instruction.number,
            "stage" => stage.text(),
        );
        self.update_routing(&instruction.service, known);
        true
    }
}
