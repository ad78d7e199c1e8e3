//! The handle of a held request.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;

use super::{Decision, Scheduler, Stage, Way};
use crate::coordination::pool::{End, Occupancy};
use crate::coordination::shard::Shard;
use crate::coordination::silent_shards::OfferTimer;
use crate::coordination::version::Constraint;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::{lock, timeout};

/// The handle of a held request; dropping it withdraws the request or returns its grant.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    pub(super) scheduler: Arc<Scheduler>,
    pub(super) sequence: u64,
    pub(super) decisions: Receiver<Decision>,
    pub(super) path_failed: Receiver<()>,
    /// Longest pause between two events of the answer since the last grant.
    pub(super) longest_pause: Option<Duration>,
    /// Load that the granted server stated in a whole answer.
    pub(super) occupancy: Option<Occupancy>,
    /// Pace that the granted server states, until it is reported to the home.
    pub(super) pace: Option<u32>,
    pub(super) ended: bool,
}

impl HeldRequest {
    /// Waits for the home's decision.
    pub(crate) async fn decision(&self) -> Decision {
        let decision = self.decisions.recv().await;
        decision.expect("the sender exists for as long as the request is held")
    }

    /// Sets the versions that may run the request from the next offer on, and whether they may still change.
    pub(crate) fn set_versions(&self, versions: &Constraint, resumes: bool) {
        if let Some(held) = lock(&self.scheduler.held).get_mut(&self.sequence) {
            held.spec.versions = versions.clone();
            held.spec.resumes = resumes;
        }
    }

    /// Returns the grant with the outcome `end`, and offers the request again.
    ///
    /// With `due`, the request waits until then and counts as one that a server has failed; otherwise its first-token
    /// deadline stays.
    pub(crate) fn offer_again(&mut self, end: End, due: Option<Instant>) {
        let now = Instant::now();
        let pause_ms = self.longest_pause.take().map(millis);
        let occupancy = self.occupancy.take();
        let pace = self.pace.take();
        let sequence = self.sequence;
        let (old, finish, home, offer) = {
            let mut held = lock(&self.scheduler.held);
            let Some(held) = held.get_mut(&sequence) else {
                return;
            };
            let finish = Message::Finish {
                shard: held.shard.clone(),
                sequence,
                end,
                pause_ms,
                occupancy,
                pace,
            };
            let stage = std::mem::replace(&mut held.stage, Stage::Waiting(OfferTimer::start(now)));
            if let Stage::Granted { server, .. } = stage {
                held.spec.avoid = Some(server);
            }
            if let Some(due) = due {
                held.spec.first_token_deadline = due;
                held.spec.returning = true;
            }
            held.moved = false;
            held.without_server = 0;
            let shard = self.scheduler.shard_for(&held.spec, now);
            let old = held.reassign(&shard, self.scheduler.home_of(&shard), now);
            (old, finish, held.home.clone(), held.offer(sequence, now))
        };
        self.scheduler.send(&old, finish, now);
        self.scheduler.send(&home, offer, now);
    }

    /// Records the way on which the request goes: directly, or `through` another host.
    pub(crate) fn note_way(&self, through: Option<&Name>) {
        // What was learned of an earlier way does not matter.
        let _ = self.path_failed.try_recv();
        if let Some(held) = lock(&self.scheduler.held).get_mut(&self.sequence)
            && let Stage::Granted { way, .. } = &mut held.stage
        {
            *way = Some(through.map_or(Way::Direct, |host| Way::Through(host.clone())));
        }
    }

    /// Returns a channel that gets a signal when the path to the server has failed by silence.
    pub(crate) fn path_failed(&self) -> Receiver<()> {
        self.path_failed.clone()
    }

    /// Reports the first token to the home.
    pub(crate) fn report_first_token(&mut self) {
        if let Some(held) = lock(&self.scheduler.held).get_mut(&self.sequence)
            && let Stage::Granted { prefilled, .. } = &mut held.stage
        {
            *prefilled = true;
        }
        let (sequence, pace) = (self.sequence, self.pace.take());
        self.report(|shard| Message::FirstToken {
            shard,
            sequence,
            pace,
        });
    }

    /// Reports to the home that the granted server has sent nothing for `silence`, longer than expected.
    pub(crate) fn report_silence(&self, silence: Duration) {
        let (sequence, silent_ms) = (self.sequence, millis(silence));
        self.report(|shard| Message::Silence {
            shard,
            sequence,
            silent_ms,
        });
    }

    /// Reports to the home that the granted server has sent something after its silence was reported.
    pub(crate) fn report_voice(&self) {
        let sequence = self.sequence;
        self.report(|shard| Message::Voice { shard, sequence });
    }

    /// Waits for something from the granted server. After `bound` its silence is reported to the home, and then its first
    /// word.
    pub(crate) async fn listen<T, E>(
        &self,
        bound: Duration,
        answer: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let mut answer = pin!(answer);
        if let Some(result) = timeout(bound, answer.as_mut()).await {
            return result;
        }
        self.report_silence(bound);
        let result = answer.await;
        if result.is_ok() {
            self.report_voice();
        }
        result
    }

    /// Sends a message on the request to its home.
    fn report(&self, message: impl FnOnce(Shard) -> Message) {
        let (home, shard) = {
            let held = lock(&self.scheduler.held);
            let Some(held) = held.get(&self.sequence) else {
                return;
            };
            (held.home.clone(), held.shard.clone())
        };
        self.scheduler.send(&home, message(shard), Instant::now());
    }

    /// Records the pace that the granted server states; the home hears it with the next report on the request.
    pub(crate) fn note_pace(&mut self, pace: Option<u32>) {
        self.pace = pace;
    }

    /// Records a pause between two events of the answer.
    pub(crate) fn note_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(Some(pause));
    }

    /// Records the load that the granted server stated in a whole answer.
    pub(crate) fn note_occupancy(&mut self, stated: Occupancy) {
        self.occupancy = Some(stated);
    }

    /// Ends the request and drops the handle.
    pub(crate) fn finish(mut self, end: End) {
        self.end(end);
    }

    /// Ends the request but keeps the handle; further calls have no effect.
    pub(crate) fn end(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let held = lock(&self.scheduler.held).remove(&self.sequence);
        let Some(held) = held else { return };
        let (shard, sequence) = (held.shard, self.sequence);
        let message = match held.stage {
            Stage::Waiting(_) => Message::Withdraw { shard, sequence },
            Stage::Granted { .. } => Message::Finish {
                shard,
                sequence,
                end,
                pause_ms: self.longest_pause.map(millis),
                occupancy: self.occupancy,
                pace: self.pace,
            },
        };
        self.scheduler.send(&held.home, message, Instant::now());
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.end(End::Unused);
    }
}
