//! What the end of a sending says of the request, and what must hold before the next one.

use super::exchange::{Exchange, late};
use super::failure::Failure;
use super::respond;
use crate::coordination::pool::End;
use crate::protocol::refusal::Reason;
use crate::state::clock::Instant;
use crate::transport::backend;
use crate::transport::quarantine::Ended;
use crate::transport::trace::ANSWERED;

impl Exchange {
    /// Finds out whether the server that broke an answer off has ended, which speaks against what ran there.
    pub(super) async fn examine(&self, failure: &mut Failure) {
        let Some(last) = self.last.as_ref().filter(|_| failure.broke_off) else {
            return;
        };
        failure.server_ended = backend::has_ended(last.address).await;
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

    /// Notes that the request was answered whole.
    pub(super) fn answered(&mut self) {
        self.trace.end(ANSWERED);
        self.place.end(End::Whole);
        let fingerprint = || self.message.fingerprint();
        self.node.quarantine.answered(fingerprint, Instant::now());
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
