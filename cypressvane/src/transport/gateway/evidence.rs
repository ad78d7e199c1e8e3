//! What the end of a sending says of the request, and what must hold before the next one.

use std::time::Duration;

use super::exchange::{Exchange, late};
use super::failure::Failure;
use super::respond;
use crate::coordination::pool::End;
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::transport::backend;
use crate::transport::quarantine::Ended;
use crate::transport::rollout::{Observed, Way};
use crate::transport::trace::ANSWERED;

/// How long a server that broke an answer off may take to stop listening: the request waits for it before it is sent
/// elsewhere, a fifth of the shortest objective at most (150 ms).
const SETTLE: Duration = Duration::from_millis(30);

impl Exchange {
    /// Finds out whether the server that broke an answer off has ended, which speaks against what ran there.
    pub(super) async fn examine(&self, failure: &mut Failure) {
        let Some(last) = self.last.as_ref().filter(|_| failure.broke_off) else {
            return;
        };
        failure.server_ended = backend::has_ended(last.address, SETTLE).await;
        if failure.server_ended {
            let ended = Ended {
                fingerprint: self.message.fingerprint(),
                request_id: &self.trace.request_id,
                account: self.message.account.as_ref(),
                path: self.message.head.uri.path(),
                server: &last.server,
                sent: last.at,
            };
            let node = &self.node;
            node.quarantine.ended(&node.metrics, &ended, Instant::now());
        }
    }

    /// Notes that the request was answered whole, with such a mean pause between the events of a stream.
    pub(super) fn answered(&mut self, pause: Option<Duration>) {
        self.way.observe(&self.route, Observed::Whole { pause });
        self.trace.end(ANSWERED);
        self.place.end(End::Whole);
        let fingerprint = || self.message.fingerprint();
        self.node.quarantine.answered(fingerprint, Instant::now());
    }

    /// Notes that the answer to a sending counts, whole or from its first events on.
    pub(super) fn saw_first(&self, sent: Instant) {
        let belief = self.node.config.engines.belief();
        let reading = f64::from(self.wish.prompt_tokens) / belief.prefill_rate;
        let first = Observed::First {
            took: sent.elapsed(),
            expected: belief.overhead + Duration::from_secs_f64(reading),
        };
        self.way.observe(&self.route, first);
    }

    /// Notes what a sending that failed says of the server's version: nothing, if the server ended under it or did
    /// not run it.
    pub(super) fn saw_failure(&self, failure: &Failure) {
        if failure.not_run.is_some() || failure.server_ended {
            return;
        }
        let is_silent = failure.reason.code == Code::BackendSilent;
        match &self.last {
            Some(last) if failure.broke_off || is_silent => {
                let server = &last.server;
                self.way.observe(&self.route, Observed::Broken { server });
            }
            _ => self.way.observe(&self.route, Observed::Failed),
        }
    }

    /// Seeks another pool for the request, where a try of a new version did not serve it, or its own gets no more
    /// requests; tells whether there is one. What a new version cannot do is no loss of the caller's.
    pub(super) fn choose_pool_again(&mut self) -> bool {
        let (rollouts, service) = (&self.node.rollouts, &self.wish.service);
        let pool = if self.way.is_new() {
            Some(rollouts.pool(service))
        } else {
            rollouts.successor(service, &self.wish.pool)
        };
        let Some(pool) = pool.filter(|pool| *pool != self.wish.pool) else {
            return false;
        };
        self.place.change_pool(&pool);
        self.wish.pool = pool.clone();
        self.way = Way::to(pool);
        true
    }

    /// Checks, after waits that may have been long, what must hold when the first byte goes out.
    ///
    /// While the request waited servers may have ended under another copy of it, and the machine may have been
    /// suspended: its caller's time and the lease of its key run on.
    pub(super) fn may_still_be_sent(&self) -> Result<(), Reason> {
        let now = Instant::now();
        if now >= self.wish.due {
            return Err(late());
        }
        if self.message.account.is_some() && !self.node.knows_keys(now) {
            return Err(respond::unconfirmed_keys());
        }
        self.kept_back().map_or(Ok(()), Err)
    }

    /// Why the request is kept from the servers, if it is.
    pub(super) fn kept_back(&self) -> Option<Reason> {
        self.node.quarantine.refusal(|| self.message.fingerprint())
    }
}
