//! The coordinator's state machine for a roll-out: how many requests the new version gets, and how the roll-out ends.
//!
//! Input: the hosts' reports on the requests they sent and the answers they got. Output: how many requests each host
//! may send to the new version, the progress to store in the platform, and the outcome. For most of the time a small
//! share of the requests goes to a few servers of the new version, the canaries. Shortly before the roll-out is due,
//! if the canaries' answers were good, all requests go to the new version, so that the old servers run empty and the
//! last test is under full load. Both phases together stay below the bound on the requests that a bad version may
//! get.

mod evidence;
mod report;
pub(crate) mod version;

use std::collections::HashMap;
use std::time::Duration;

use evidence::Evidence;
pub use evidence::Tally;
pub use report::{Instruction, Report, Summary};

use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::rollout::{Order, Progress, Stage};
use crate::state::units::to_f64;

/// Share of the bound that canaries use; the remainder is for the phase in which all requests go to the new version.
const CANARY_BOUND_SHARE: f64 = 0.4;
/// Share of the bound that the phase in which all requests go to the new version uses at an even request rate. A
/// burst at twice that rate still stays within the bound.
const ALL_BOUND_SHARE: f64 = 0.3;
/// Share of an order's duration that is reserved for storing the outcome, because a slow platform takes long to
/// write.
const MARGIN_SHARE: f64 = 0.05;
/// Lower bound on that reserve.
const MARGIN_MIN: Duration = Duration::from_millis(300);
/// Least growth of the stored allotment, in requests, so that the platform is not written to for every request.
const ALLOTMENT_STEP: u64 = 16;

/// Bounds on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of all requests of the service, from 0 to 1.
    pub share: f64,
    /// Requests in addition to the share.
    pub slack: f64,
}

impl Bounds {
    /// Returns the share of the requests that canaries get.
    pub(crate) fn canary_share(&self) -> f64 {
        self.share * CANARY_BOUND_SHARE
    }
}

/// Phase of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Canary,
    All,
    /// The outcome is decided; it may not be stored in the platform yet.
    Decided {
        stage: Stage,
        why: String,
    },
}

/// Request counts that a host has reported.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    all: u64,
    /// Requests between the last two reports.
    latest: u64,
}

/// A roll-out as its coordinator tracks it.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    bounds: Bounds,
    due: Instant,
    due_ms: u64,
    phase: Phase,
    evidence: Evidence,
    /// Requests sent by each incarnation of a host.
    requests: HashMap<(Name, u64), Sent>,
    /// Requests that hosts had reported when all requests began to go to the new version.
    before_all: Option<u64>,
    /// Requests for the new version that were handed out to hosts, less those that they returned unsent.
    dealt: u64,
    /// Requests that may be handed out, as stored in the platform.
    allotted: u64,
    /// Stage that was last stored in the platform.
    stored_stage: Option<Stage>,
}

impl Rollout {
    /// Opens a roll-out that is due at `due` and resumes the stored progress of an earlier coordinator, if it is of
    /// this order.
    #[must_use]
    pub fn open(order: Order, bounds: Bounds, due: Instant, stored: Option<&Progress>) -> Self {
        let own = stored.filter(|progress| order.matches(progress));
        let duration = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
        let due_ms = order.seen_ms.saturating_add(duration);
        let mut rollout = Self {
            due,
            due_ms: own.map_or(due_ms, |progress| progress.due_ms),
            phase: Phase::Canary,
            evidence: Evidence::default(),
            requests: HashMap::new(),
            before_all: None,
            dealt: 0,
            allotted: 0,
            stored_stage: None,
            order,
            bounds,
        };
        if let Some(progress) = own {
            rollout.evidence = Evidence::resume(&progress.answers);
            rollout.adopt(progress);
        }
        rollout
    }

    /// Takes over the progress that another coordinator stored: its outcome, or the requests that it may have handed
    /// out.
    pub fn adopt(&mut self, progress: &Progress) {
        self.stored_stage = Some(progress.stage);
        self.allotted = progress.allotted;
        self.dealt = progress.allotted;
        if progress.stage != Stage::InProgress {
            self.phase = Phase::Decided {
                stage: progress.stage,
                why: progress.why.clone(),
            };
        }
    }

    /// Continues under the number and era that the order has since operators wrote it again.
    pub fn renumber(&mut self, order: &Order) {
        self.order.number = order.number;
        self.order.era = order.era;
        self.forget_stored();
    }

    /// Marks the stored progress as unknown, because the platform may have lost it; it is stored again.
    pub fn forget_stored(&mut self) {
        self.stored_stage = None;
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Processes a host's report and returns what the host is to do.
    pub fn handle_report(
        &mut self,
        host: &Name,
        incarnation: u64,
        report: &Report,
        now: Instant,
    ) -> Instruction {
        let sent = self
            .requests
            .entry((host.clone(), incarnation))
            .or_default();
        let recent = report.requests.saturating_sub(sent.all);
        *sent = Sent {
            all: sent.all.max(report.requests),
            latest: recent,
        };
        self.dealt = self.dealt.saturating_sub(report.returned);
        for (route, tally) in &report.old {
            self.evidence.add_old(route, tally, now);
        }
        for (route, tally) in &report.new {
            self.evidence.add_new(route, tally, now);
        }
        self.advance(now);
        match self.instruction() {
            Instruction::Canary(_) => Instruction::Canary(self.deal(recent)),
            other => other,
        }
    }

    /// Returns what hosts are to do, without the number of requests that each may send as a canary.
    #[must_use]
    pub fn instruction(&self) -> Instruction {
        match &self.phase {
            Phase::Canary => Instruction::Canary(0),
            Phase::Decided { stage, .. } if self.stored_stage == Some(*stage) => {
                Instruction::Ended(*stage)
            }
            // A completion that is not known to be stored may be stored all the same, because the answer to a write
            // can be lost: the old servers may have stopped already. The bound still applies until it is known to be
            // stored.
            Phase::All
            | Phase::Decided {
                stage: Stage::Completed,
                ..
            } if !self.is_spent() => Instruction::All,
            Phase::All | Phase::Decided { .. } => Instruction::Nothing,
        }
    }

    /// Changes the phase if the time and the evidence call for it.
    fn advance(&mut self, now: Instant) {
        if !self.is_open() {
            return;
        }
        if let Some(why) = self.evidence.alarm() {
            self.decide(Stage::RolledBack, why);
            return;
        }
        if matches!(self.phase, Phase::Decided { .. }) {
            return;
        }
        let margin = self.margin();
        let all_duration = self
            .order
            .duration
            .mul_f64(self.bounds.share * ALL_BOUND_SHARE);
        let is_due = now + margin >= self.due;
        let is_time_for_all = now + margin + all_duration >= self.due;
        match self.phase {
            Phase::Canary | Phase::All if is_due => self.decide_by_evidence(),
            // The bound allows no more requests, so no further evidence will come.
            Phase::All if self.is_spent() => self.decide_by_evidence(),
            Phase::Canary if is_time_for_all && self.may_send_all() => {
                self.phase = Phase::All;
                self.before_all = Some(self.total());
            }
            _ => {}
        }
    }

    /// Whether evidence may still change the decision. A completion may be taken back until it is stored: ends are
    /// written conditionally, so only one of two is stored.
    fn is_open(&self) -> bool {
        match &self.phase {
            Phase::Canary | Phase::All => true,
            Phase::Decided { stage, .. } => {
                *stage == Stage::Completed
                    && self.before_all.is_some()
                    && self.stored_stage != Some(Stage::Completed)
            }
        }
    }

    /// Whether the new version may have got as many requests as a bad one may get, counting those that hosts send
    /// before they receive another instruction.
    fn is_spent(&self) -> bool {
        let Some(before) = self.before_all else {
            return false;
        };
        let latest: u64 = self.requests.values().map(|sent| sent.latest).sum();
        let exposed = self.dealt + self.total().saturating_sub(before) + latest;
        to_f64(exposed) >= self.bound()
    }

    /// Whether all requests may go to the new version: its answers were good, and the progress is stored.
    fn may_send_all(&self) -> bool {
        self.stored_stage.is_some() && self.evidence.missing_for_all().is_none()
    }

    /// Decides by the evidence, at the due time or when the bound is used up. Without evidence the version counts as
    /// bad, because a completion cannot be taken back once it is stored.
    fn decide_by_evidence(&mut self) {
        let missing = self.evidence.missing();
        let untried = || "not tried under all requests".to_owned();
        let missing = missing.or_else(|| (self.phase == Phase::Canary).then(untried));
        match missing {
            Some(missing) => self.decide(
                Stage::RolledBack,
                format!("due without evidence: {missing}"),
            ),
            None => self.decide(Stage::Completed, "its answers are as good".to_owned()),
        }
    }

    /// Ends the roll-out with `stage` unless it is decided already. This is for a roll-out that has nothing to move,
    /// and for an end that hosts know of but the platform lost.
    pub fn end(&mut self, stage: Stage, why: &str) {
        if !matches!(self.phase, Phase::Decided { .. }) {
            self.decide(stage, why.to_owned());
        }
    }

    fn decide(&mut self, stage: Stage, why: String) {
        self.phase = Phase::Decided { stage, why };
    }

    fn margin(&self) -> Duration {
        let margin = self.order.duration.mul_f64(MARGIN_SHARE).max(MARGIN_MIN);
        margin.min(self.order.duration / 2)
    }

    /// Returns the requests of the service that hosts have reported.
    fn total(&self) -> u64 {
        self.requests.values().map(|sent| sent.all).sum()
    }

    /// Returns the requests that canaries may have got by now. Only requests already sent count, because the future
    /// load is unknown.
    fn canary_bound(&self) -> u64 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a count"
        )]
        let bound = (self.bound() * CANARY_BOUND_SHARE) as u64;
        bound
    }

    /// Returns the requests that a bad version may have got by now.
    fn bound(&self) -> f64 {
        self.bounds.share * to_f64(self.total()) + self.bounds.slack
    }

    /// Hands out requests to a host that has sent `recent` requests since its last report. It gets at most half as
    /// many, so that no host gets requests that it will not use.
    fn deal(&mut self, recent: u64) -> u64 {
        let bound = self.canary_bound().min(self.allotted);
        let given = recent.div_ceil(2).min(bound.saturating_sub(self.dealt));
        self.dealt += given;
        given
    }

    /// Returns the progress to store in the platform next, if any.
    pub fn progress_to_store(&mut self, now: Instant) -> Option<Progress> {
        self.advance(now);
        let bound = self.canary_bound();
        let progress = match &self.phase {
            Phase::Decided { stage, .. } if self.stored_stage == Some(*stage) => return None,
            Phase::Decided { stage, why } => self.progress(*stage, why.clone(), self.allotted),
            Phase::Canary
                if self.stored_stage.is_none() || bound >= self.allotted + ALLOTMENT_STEP =>
            {
                let allotted = bound.max(self.allotted);
                self.progress(Stage::InProgress, String::new(), allotted)
            }
            Phase::Canary | Phase::All => return None,
        };
        Some(progress)
    }

    fn progress(&self, stage: Stage, why: String, allotted: u64) -> Progress {
        Progress {
            number: self.order.number,
            era: self.order.era,
            to: self.order.to.clone(),
            stage,
            why,
            due_ms: self.due_ms,
            allotted,
            answers: self.evidence.answers(),
        }
    }

    /// Records that `progress` is stored in the platform.
    pub fn record_stored(&mut self, progress: &Progress) {
        self.stored_stage = Some(progress.stage);
        self.allotted = self.allotted.max(progress.allotted);
    }

    /// Returns a summary for operators.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let (answers, failures) = self.evidence.counts();
        let (phase, why) = match &self.phase {
            Phase::Canary => ("canary", self.evidence.missing().unwrap_or_default()),
            Phase::All => ("all", String::new()),
            Phase::Decided { stage, why } => (stage.text(), why.clone()),
        };
        Summary {
            phase,
            why,
            requests: self.total(),
            dealt: self.dealt,
            answers,
            failures,
        }
    }
}
