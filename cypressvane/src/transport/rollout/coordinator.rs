//! The coordinator's part: decides orders for all hosts, and stores their progress in the platform.

use std::sync::Arc;
use std::time::Duration;

use smol::Timer;

use super::{Rollouts, coordinator_subject};
use crate::coordination::rollout::version::{ABSENCE_TIME, Opening};
use crate::coordination::rollout::{Instruction, Report, Rollout, Summary};
use crate::coordination::view::View;
use crate::protocol::message::{Breadth, Message, RolloutInstruction};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{ConfigStore, Error, Expect, StoredRollout, Write};
use crate::state::rollout::{Order, Progress, Stage};
use crate::transport::node::Node;
use crate::transport::runtime::lock;

/// Interval at which orders are decided and their progress is stored.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after a call to the platform that gave no answer, or while it is not known which versions serve.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// An order that this host coordinates or has coordinated.
#[derive(Debug)]
pub(super) struct Coordinated {
    rollout: Rollout,
    /// The last instruction that was sent to all hosts; permits, which differ by host, are not part of it.
    last_sent: Option<Instruction>,
}

impl Coordinated {
    pub(super) fn number(&self) -> u64 {
        self.rollout.order().number
    }

    pub(super) fn renumber(&mut self, order: &Order) {
        self.rollout.renumber(order);
    }

    pub(super) fn forget_stored(&mut self) {
        self.rollout.forget_stored();
    }

    pub(super) fn summary(&self) -> Summary {
        self.rollout.summary()
    }
}

/// Decides the orders that this host coordinates, for as long as it runs.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(config_store) = &node.config_store else {
        return;
    };
    loop {
        Timer::after(STEP_INTERVAL).await;
        node.rollouts.forget_moved();
        for order in node.rollouts.open_orders() {
            if let Err(error) = step(&node, config_store.as_ref(), &order).await {
                node.note_platform_failure("rollouts");
                slog::warn!(
                    node.log, "a roll-out is not read or kept yet";
                    "service" => &*order.service, "number" => order.number, "cause" => %error,
                );
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Starts to coordinate an order, or stores its new progress.
async fn step(node: &Node, config_store: &dyn ConfigStore, order: &Order) -> Result<(), Error> {
    let rollouts = &node.rollouts;
    if !rollouts.coordinates(order) {
        let stored = config_store.load_rollout(&order.service).await?;
        if !rollouts.open(config_store, order, stored.as_ref()) {
            Timer::after(RETRY_DELAY).await;
            return Ok(());
        }
    }
    let now = Instant::now();
    rollouts.send_changes(&order.service, now);
    match rollouts.next_progress(&order.service, now) {
        Some(progress) => {
            store_progress(node, config_store, order, &progress).await?;
            rollouts.send_changes(&order.service, Instant::now());
        }
        None => rollouts.note_up_to_date(&order.service),
    }
    Ok(())
}

/// Stores a roll-out's progress, unless the platform has its end or a larger allotment already.
async fn store_progress(
    node: &Node,
    config_store: &dyn ConfigStore,
    order: &Order,
    progress: &Progress,
) -> Result<(), Error> {
    let stored = config_store.load_rollout(&order.service).await?;
    let matching = stored
        .as_ref()
        .filter(|stored| order.matches(&stored.progress));
    if let Some(matching) = matching
        && (matching.progress.stage != Stage::InProgress
            || matching.progress.allotted > progress.allotted)
    {
        // This includes an earlier write by this host that took effect although its reply was lost.
        node.rollouts.adopt(&order.service, &matching.progress);
        return Ok(());
    }
    let expect = stored.map_or(Expect::Absent, |stored| Expect::Revision(stored.revision));
    if config_store
        .store_rollout(&order.service, progress, expect)
        .await?
        == Write::Done
    {
        node.rollouts.note_stored(&order.service, progress);
    }
    Ok(())
}

impl Rollouts {
    /// The orders coordinated by this host that are undecided or whose progress must be written again.
    fn open_orders(&self) -> Vec<Order> {
        let versions = lock(&self.versions);
        let open = versions.iter().filter(|(service, known)| {
            (known.stage.is_none() || known.needs_rewrite)
                && self.links.home_of(&coordinator_subject(service)) == self.me
        });
        open.filter_map(|(_, known)| known.order.clone()).collect()
    }

    /// Forgets the orders that another host coordinates now. That host hands out permits that this one does not know
    /// of, and stores them in the platform, from where this host resumes if it becomes the coordinator again.
    fn forget_moved(&self) {
        lock(&self.coordinated)
            .retain(|service, _| self.links.home_of(&coordinator_subject(service)) == self.me);
    }

    /// Whether this host has started to coordinate the order.
    fn coordinates(&self, order: &Order) -> bool {
        let coordinated = lock(&self.coordinated);
        let own = coordinated.get(&order.service);
        own.is_some_and(|own| own.number() == order.number)
    }

    /// Starts to coordinate an order from its stored progress; returns whether it did.
    fn open(
        &self,
        config_store: &dyn ConfigStore,
        order: &Order,
        stored: Option<&StoredRollout>,
    ) -> bool {
        let now = Instant::now();
        let stored = stored.map(|stored| &stored.progress);
        let matching = stored.filter(|stored| order.matches(stored));
        let known_stage = self.known_stage(order);
        let opening = Opening::decide(matching.is_some(), &self.is_only(order, now));
        if opening == Opening::Wait && known_stage.is_none() {
            return false;
        }
        // Both times are by the platform's clock; only a time that is past can be converted to this host's.
        let left = matching.map_or(order.duration, |matching| {
            Duration::from_millis(matching.due_ms.saturating_sub(order.seen_ms))
        });
        let seen = config_store.to_local_time(order.seen_ms);
        let due = seen.unwrap_or(now) + left;
        let mut rollout = Rollout::open(order.clone(), self.bounds, due, matching);
        if let Some(stage) = known_stage {
            rollout.end(stage, "as hosts know");
        }
        if opening == Opening::Complete {
            rollout.end(Stage::Completed, "the version serves already");
        }
        slog::info!(
            self.log, "this host coordinates a roll-out";
            "service" => &*order.service, "to" => &*order.to, "number" => order.number,
            "phase" => rollout.summary().phase, "dealt" => rollout.summary().dealt,
        );
        let coordinated = Coordinated {
            rollout,
            last_sent: None,
        };
        lock(&self.coordinated).insert(order.service.clone(), coordinated);
        true
    }

    /// How an order ended, if this host knows.
    fn known_stage(&self, order: &Order) -> Option<Stage> {
        match self.known_end(&order.service, order.number)? {
            Instruction::Ended(stage) => Some(stage),
            Instruction::Canary(_) | Instruction::All | Instruction::Nothing => None,
        }
    }

    /// Records that the stored progress of a service's order is up to date.
    fn note_up_to_date(&self, service: &Name) {
        if let Some(known) = lock(&self.versions).get_mut(service) {
            known.needs_rewrite = false;
        }
    }

    /// Whether an order's version is the only one that serves, as far as this host has seen.
    fn is_only(&self, order: &Order, now: Instant) -> View<bool> {
        let versions = lock(&self.versions);
        let own = versions.get(&order.service);
        let is_only = own.is_some_and(|own| own.known.is_only(&order.to));
        lock(&self.watch).view(is_only, ABSENCE_TIME, now)
    }

    /// Takes over progress that was stored in the platform.
    fn adopt(&self, service: &Name, progress: &Progress) {
        if let Some(own) = lock(&self.coordinated).get_mut(service) {
            own.rollout.adopt(progress);
        }
    }

    /// The progress of a service's order to be stored next.
    fn next_progress(&self, service: &Name, now: Instant) -> Option<Progress> {
        lock(&self.coordinated)
            .get_mut(service)?
            .rollout
            .progress_to_store(now)
    }

    fn note_stored(&self, service: &Name, progress: &Progress) {
        if let Some(own) = lock(&self.coordinated).get_mut(service) {
            own.rollout.record_stored(progress);
        }
    }

    /// Records a host's report and replies to it.
    pub(crate) fn note_report(
        &self,
        from: &Name,
        incarnation: u64,
        service: &Name,
        number: u64,
        report: &Report,
        now: Instant,
    ) {
        let reply = {
            let mut coordinated = lock(&self.coordinated);
            let own = coordinated.get_mut(service);
            own.filter(|own| own.number() == number)
                .map(|own| own.rollout.handle_report(from, incarnation, report, now))
        };
        let Some(reply) = reply.or_else(|| self.known_end(service, number)) else {
            return;
        };
        self.send_changes(service, now);
        let Some(to) = self.ordered_version(service, number) else {
            return;
        };
        let instruction = RolloutInstruction {
            service: service.clone(),
            number,
            to,
            word: reply,
        };
        if *from == self.me {
            self.handle_instruction(&instruction, now);
        } else {
            self.links.send(from, Message::RolloutWord(instruction));
        }
    }

    /// The final instruction of an order, if this host knows how the order ended.
    fn known_end(&self, service: &Name, number: u64) -> Option<Instruction> {
        let versions = lock(&self.versions);
        let known = versions.get(service)?;
        let order = known.order.as_ref()?;
        let stage = known.stage.filter(|_| order.number == number)?;
        Some(Instruction::Ended(stage))
    }

    fn ordered_version(&self, service: &Name, number: u64) -> Option<Name> {
        let versions = lock(&self.versions);
        let order = versions.get(service)?.order.as_ref()?;
        (order.number == number).then(|| order.to.clone())
    }

    /// Sends a changed instruction to all hosts, this one included; permits are only sent in reply to reports.
    fn send_changes(&self, service: &Name, now: Instant) {
        let instruction = {
            let mut coordinated = lock(&self.coordinated);
            let Some(own) = coordinated.get_mut(service) else {
                return;
            };
            let current = own.rollout.instruction();
            if own.last_sent == Some(current) {
                return;
            }
            own.last_sent = Some(current);
            let summary = own.rollout.summary();
            slog::info!(
                self.log, "a roll-out goes on";
                "service" => &**service, "to" => &*own.rollout.order().to, "phase" => summary.phase,
                "why" => summary.why, "requests" => summary.requests, "dealt" => summary.dealt,
                "answers" => summary.answers, "failures" => summary.failures,
            );
            RolloutInstruction {
                service: service.clone(),
                number: own.number(),
                to: own.rollout.order().to.clone(),
                word: current,
            }
        };
        if matches!(instruction.word, Instruction::Canary(_)) {
            return;
        }
        self.links
            .broadcast(&Message::RolloutWord(instruction.clone()), Breadth::All);
        self.handle_instruction(&instruction, now);
    }
}
