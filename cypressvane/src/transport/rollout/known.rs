//! What this host knows of the services' versions: the host list's servers, the operators' orders, and their outcomes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::pool_choice::Canary;
use super::{Rollouts, pool_of};
use crate::coordination::rollout::version::{self, KnownVersions};
use crate::protocol::message::RolloutInstruction;
use crate::state::name::Name;
use crate::state::platform::Entry;
use crate::state::rollout::{Order, Stage};
use crate::state::units::millis;
use crate::transport::runtime::lock;

/// What this host knows of a service's versions.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    pub(super) listed: BTreeMap<Name, usize>,
    /// The version that serves the service's requests.
    pub(super) serving: Option<Name>,
    pub(super) order: Option<Order>,
    /// How the order ended; `None` until that is known.
    pub(super) stage: Option<Stage>,
    /// Whether the platform may have lost the stored progress of the order.
    pub(super) needs_rewrite: bool,
}

/// The servers of a service that may get requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowed {
    serving: Option<Name>,
    /// The version that is being tried, and those of its servers that may get requests.
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
    /// Updates the versions from the servers in the host list.
    pub(crate) fn update_listed<'a>(&self, servers: impl Iterator<Item = &'a Entry>) {
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
            self.update_routing(&service, known);
        }
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
    fn update_routing(&self, service: &Name, known: &mut Versions) {
        let ordered = known.order.as_ref().map(|order| (&order.to, known.stage));
        let serving = version::serving_version(&KnownVersions {
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
        let routing = self.routing(service);
        routing
            .pool
            .store(Arc::new(pool_of(service, known.serving.as_ref())));
        let tried = known
            .order
            .as_ref()
            .filter(|order| known.stage.is_none() && known.serving.as_ref() != Some(&order.to));
        let open_number = routing.canary.load().as_ref().map(|canary| canary.number);
        match tried {
            None => routing.canary.store(None),
            Some(order) if open_number == Some(order.number) => {}
            Some(order) => {
                let pool = pool_of(service, Some(&order.to));
                routing
                    .canary
                    .store(Some(Arc::new(Canary::new(order, pool))));
            }
        }
    }

    /// The servers of a service that may get requests, out of those in the host list.
    pub(crate) fn allowed(&self, service: &Name, servers: &[&Entry]) -> Allowed {
        let versions = lock(&self.versions);
        let Some(known) = versions.get(service) else {
            return Allowed::default();
        };
        let routings = self.routings.load();
        let canary = routings
            .get(service)
            .and_then(|known| known.canary.load_full());
        let tried = canary.map(|canary| {
            let new_servers = servers
                .iter()
                .filter(|entry| entry.version.as_ref() == Some(&canary.to));
            let names: Vec<Name> = new_servers.map(|entry| entry.name.clone()).collect();
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
        slog::info!(
            self.log, "a roll-out has ended";
            "service" => &*instruction.service, "to" => &*instruction.to, "number" => instruction.number,
            "stage" => stage.text(),
        );
        self.update_routing(&instruction.service, known);
        true
    }
}
