//! Records the outcome of each attempt, and checks what must hold before the next one.

use std::time::Duration;

use smol::Timer;

use super::exchange::Exchange;
use super::failure::Failure;
use super::respond;
use super::sending::Sending;
use crate::coordination::pool::End;
use crate::coordination::version::Constraint;
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::transport::network::Breakage;
use crate::transport::quarantine::Ended;
use crate::transport::rollout::{Choice, Observed};
use crate::transport::scheduler::HeldRequest;
use crate::transport::trace::ANSWERED;

/// How long a server that broke an answer off may take to stop listening. A request whose server has ended is sent
/// elsewhere no sooner than this after the break, so that other hosts' reports have come: a fifth of the shortest objective
/// (150 ms). It takes longer if another host has to be asked about the server.
const EXIT_WAIT: Duration = Duration::from_millis(30);

impl Exchange {
    /// Finds out whether an attempt failed because the server has ended, or because the path to it has failed.
    ///
    /// The end of a server is recorded against the request.
    pub(super) async fn find_cause(&self, failure: &mut Failure, failed: &mut Sending) {
        let (network, target) = (&self.node.network, &failed.target);
        let is_direct = failed.through.is_none();
        if !failure.is_truncated {
            let is_silent = failure.reason.code == Code::BackendSilent;
            if is_silent && is_direct && network.is_path_failed(target.address()) {
                failure.blame_path();
            }
            return;
        }
        let until = Instant::now() + EXIT_WAIT;
        match network.examine(target, EXIT_WAIT).await {
            Breakage::ServerEnded => failure.server_ended = true,
            Breakage::PathFailed if is_direct => failure.blame_path(),
            Breakage::PathFailed | Breakage::Unknown => {}
        }
        if failure.server_ended {
            let features = self.inbound.features();
            let ended = Ended {
                features: &features,
                request_id: &self.trace.request_id,
                account: self.inbound.account.as_ref(),
                path: self.inbound.head.uri.path(),
                target,
                sent: failed.at,
            };
            let node = &self.node;
            let servers = node.scheduler.server_count(&target.pool);
            node.quarantine
                .record_end(&node.metrics, &ended, servers, Instant::now());
            Timer::after(until.saturating_duration_since(Instant::now())).await;
        }
    }

    /// Records a whole answer; `pause` is the mean pause between the events of a stream. `sending` is `None` if the answer is
    /// a server's own error.
    pub(super) fn record_success(
        &mut self,
        sending: Option<&mut Sending>,
        pause: Option<Duration>,
    ) {
        let choice = sending
            .as_ref()
            .map_or(&self.choice, |sending| &sending.choice);
        choice.observe(&self.route, Observed::Whole { pause });
        self.trace.record_outcome(ANSWERED);
        if let Some(sending) = sending {
            let took = sending.at.elapsed();
            self.node.departure.note_answer(&self.route, took);
            sending.held.end(End::Whole);
        }
        let features = || self.inbound.features();
        self.node.quarantine.record_answer(features, Instant::now());
    }

    /// Records for the roll-out how long an accepted answer, or its first events, took and how long was expected.
    pub(super) fn record_first_token(&self, sending: &Sending) {
        let defaults = self.node.config.engines.defaults();
        let prefill_seconds = f64::from(self.spec.prompt_tokens) / defaults.prefill_rate;
        let first = Observed::First {
            took: sending.at.elapsed(),
            expected: defaults.overhead + Duration::from_secs_f64(prefill_seconds),
            is_after_silence: sending.has_been_silent(),
        };
        sending.choice.observe(&self.route, first);
    }

    /// Records a failed attempt against the server's version, unless the server ended under the request, did not run
    /// it, or was not reached, or the failure is this host's own.
    pub(super) fn record_failure(&self, failure: &Failure, failed: &Sending) {
        let is_unrelated = failure.not_run.is_some() || failure.is_own();
        if is_unrelated || failure.server_ended || failure.path_failed {
            return;
        }
        let is_silent = failure.reason.code == Code::BackendSilent;
        let observed = if failure.is_truncated || is_silent {
            let server = &failed.target.server;
            Observed::Broken { server }
        } else {
            Observed::Failed
        };
        failed.choice.observe(&self.route, observed);
    }

    /// Restricts the request to the version of `sending`, some of whose events its caller has.
    pub(super) fn keep_version(&mut self, sending: &Sending) {
        self.spec.versions = Constraint::Only(sending.grant.version.clone());
        self.spec.resumes = true;
    }

    /// Selects other versions for a canary request, or if an order has changed those that may run the request.
    ///
    /// A canary request moves to the other versions, so that a fault of the new version does not cost the caller its
    /// answer. A stream stays with the version that began it. `held` is what waits or is offered again. Returns whether the
    /// versions changed.
    pub(super) fn switch_versions(&mut self, held: &HeldRequest) -> bool {
        let Some(versions) = self.other_versions() else {
            return false;
        };
        held.set_versions(&versions, false);
        self.spec.versions = versions.clone();
        self.choice = Choice::of(versions);
        true
    }

    /// The versions that replace those of the request, if they are to change.
    pub(super) fn other_versions(&self) -> Option<Constraint> {
        if self.spec.resumes {
            return None;
        }
        let (rollouts, service) = (&self.node.rollouts, &self.spec.service);
        let versions = if self.choice.is_new() {
            Some(rollouts.constraint(service))
        } else {
            rollouts.successor(service, &self.spec.versions)
        };
        versions.filter(|versions| *versions != self.spec.versions)
    }

    /// Checks again, after waits that may have been long, whether the request may be sent.
    ///
    /// While the request waited, servers may have ended under another copy of it. The machine may also have been
    /// suspended: the lease of the caller's key runs on during that time. And this host may be leaving.
    pub(super) async fn check_sendable(&mut self) -> Result<(), Reason> {
        let deadline = self.spec.answer_deadline;
        let features = || self.inbound.features();
        let (quarantine, metrics) = (&self.node.quarantine, &self.node.metrics);
        quarantine
            .check(metrics, features, deadline, &mut self.turn)
            .await?;
        self.check_caller_and_host()
    }

    /// Checks whether the caller's key is still valid, and whether this host has the time to get an answer.
    pub(super) fn check_caller_and_host(&self) -> Result<(), Reason> {
        let now = Instant::now();
        if self.inbound.account.is_some() && !self.node.has_valid_keys(now) {
            return Err(respond::unconfirmed_keys());
        }
        let departure = &self.node.departure;
        departure.check(&self.route, self.spec.answer_deadline)
    }

    /// Whether the request may be sent to another server, as far as the quarantine is concerned.
    pub(super) fn may_repeat(&self) -> bool {
        self.node.quarantine.may_repeat(|| self.inbound.features())
    }
}
