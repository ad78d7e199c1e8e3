//! The operators' orders to evacuate data centres: read from the platform, and exchanged with the other hosts.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use slog::Logger;

use crate::coordination::evacuation::{Orders, Report};
use crate::state::name::Name;
use crate::state::platform::Evacuation;
use crate::transport::peers::links::Links;
use crate::transport::runtime::lock;

/// The evacuated data centres, as known to this host.
pub(crate) struct Evacuations {
    links: Arc<Links>,
    log: Logger,
    orders: Mutex<Orders>,
    /// Whether the evacuated data centres have changed since the pools were last updated.
    has_changed: AtomicBool,
}

impl Evacuations {
    pub(crate) fn new(links: Arc<Links>, log: Logger) -> Self {
        Self {
            links,
            log,
            orders: Mutex::default(),
            has_changed: AtomicBool::new(false),
        }
    }

    /// Applies the orders that were read from the platform, which was restored so many times.
    pub(crate) fn update_orders(&self, read: &Evacuation, restores: u64) {
        self.update(|orders| orders.apply_read(read.position, restores, &read.data_centres));
    }

    /// Applies the report of another host.
    pub(crate) fn handle_report(&self, report: &Report) {
        self.update(|orders| orders.apply_report(report));
    }

    fn update(&self, apply: impl FnOnce(&mut Orders) -> bool) {
        let mut orders = lock(&self.orders);
        let before = orders.report().cloned();
        let has_changed = apply(&mut orders);
        if orders.report() != before.as_ref() {
            self.links.announce_evacuation(orders.report().cloned());
        }
        if !has_changed {
            return;
        }
        let evacuated: Vec<&str> = orders.data_centres().iter().map(|name| &**name).collect();
        slog::info!(self.log, "other data centres are evacuated"; "evacuated" => evacuated.join(","));
        self.has_changed.store(true, Ordering::Relaxed);
    }

    /// The data centres that operators have ordered to be evacuated.
    pub(crate) fn data_centres(&self) -> BTreeSet<Name> {
        lock(&self.orders).data_centres().clone()
    }

    /// Whether the evacuated data centres have changed since the last call.
    pub(crate) fn take_changed(&self) -> bool {
        self.has_changed.swap(false, Ordering::Relaxed)
    }
}
