//! Sharing of the pool between accounts: what granted requests cost, and where an account stands.

use std::fmt::Write as _;
use std::time::Duration;

use super::{End, Granted, Pool};
use crate::coordination::admission::Kind;
use crate::coordination::dump;
use crate::coordination::offer::{Offer, Ticket};
use crate::coordination::share::{Charge, Done, Shares};
use crate::state::clock::Instant;
use crate::state::reason::Reason;
use crate::state::units::millis;

/// Minimum time after which the caller of an account above its share is asked to retry: its round trip, plus the time of
/// some tens of grants.
const RETURN_MIN: Duration = Duration::from_millis(250);
/// Maximum retry time, as a share of the time for which the caller still waits; the users' callers ignore longer ones.
const RETURN_MAX_SHARE: f64 = 0.33;

impl Pool {
    /// Makes the client accounts share the pool fairly. It is to be called before the first offer.
    #[must_use]
    pub fn shared_between_accounts(mut self) -> Self {
        self.queue.share_between_accounts();
        self
    }

    /// Whether client accounts share the pool.
    pub(super) fn is_shared(&self) -> bool {
        self.queue.shares().is_some()
    }

    /// Computes the shares anew if they are outdated.
    pub(super) fn refresh_shares(&mut self, now: Instant) {
        let shares = self.queue.shares();
        if !shares.is_some_and(|shares| shares.is_outdated(now)) {
            return;
        }
        let capacity = self.servers.capacity();
        self.queue
            .change_shares(|shares| (shares.refresh(capacity, now), Vec::new()));
    }

    /// Charges running requests for the time by which they exceed their forecast.
    pub(super) fn charge_overdue(&mut self, now: Instant) {
        let due = self
            .queue
            .change_shares(|shares| (shares.is_overdue_check_due(now), Vec::new()));
        if due != Some(true) {
            return;
        }
        let (servers, queue) = (&self.servers, &mut self.queue);
        for granted in self.granted.values_mut() {
            let ran = now.saturating_duration_since(granted.at);
            let slots = servers
                .get(&granted.server)
                .map_or(1, |server| server.slots);
            if let Some(charge) = &mut granted.charge {
                queue.change_shares(|shares| ((), shares.extend(charge, ran, slots, now)));
            }
        }
    }

    /// Drops grants that ended unseen.
    pub(super) fn release(&mut self, tickets: Vec<Ticket>, now: Instant) {
        for ticket in tickets {
            if let Some(Granted {
                charge, at, server, ..
            }) = self.granted.remove(&ticket)
            {
                let slots = self.servers.get(&server).map_or(1, |server| server.slots);
                self.settle(charge, at, slots, End::Broken, now);
            }
        }
    }

    /// Corrects what a request was charged to the work that it did.
    pub(super) fn settle(
        &mut self,
        charge: Option<Charge>,
        granted_at: Instant,
        slots: u32,
        end: End,
        now: Instant,
    ) {
        let Some(charge) = charge else { return };
        let done = Done {
            ran: now.saturating_duration_since(granted_at),
            slots,
            is_prompt_read: matches!(
                end,
                End::Whole | End::Broken | End::Overtaken | End::Outrun | End::Severed
            ),
        };
        self.queue
            .change_shares(|shares| ((), shares.settle(charge, &done, now)));
    }

    /// Learns the running time of a request of an account.
    pub(super) fn note_run_time(
        &mut self,
        charge: Option<&Charge>,
        kind: Kind,
        ran: Duration,
        now: Instant,
    ) {
        let Some(charge) = charge else { return };
        self.queue
            .change_shares(|shares| (shares.note_run_time(charge, kind, ran, now), Vec::new()));
    }

    /// Forecast time until an offer has its account's turn; `None` if that does not delay it.
    ///
    /// While a server is free and nothing goes before the offer, unused share is its account's.
    pub(super) fn share_wait(&self, offer: &Offer, ahead: usize, now: Instant) -> Option<Duration> {
        let shares = self.queue.shares()?;
        if ahead == 0 && self.servers.is_any_ready() {
            return None;
        }
        shares.wait(offer, self.queue.tag_of(offer), now)
    }

    /// Adds to the reason for a refusal that the offer's account is above its share, if it is, with a retry time that
    /// follows from the account's own rate.
    pub(super) fn explain_share(&mut self, offer: &Offer, reason: Reason, now: Instant) -> Reason {
        let tag = self.queue.tag_of(offer);
        let above = self
            .queue
            .shares()
            .and_then(|shares| shares.above_share(offer, tag, now));
        let Some(standing) = above else { return reason };
        let longest = offer.answer_deadline.saturating_duration_since(now);
        let longest = longest.mul_f64(RETURN_MAX_SHARE);
        let rests = self.servers.rests_for(now).unwrap_or_default();
        let earliest = RETURN_MIN.max(rests);
        let wait = self.queue.change_shares(|shares| {
            shares.note_refusal(&offer.account);
            let wait = shares.book(&offer.account, &standing, earliest, longest, now);
            (wait, Vec::new())
        });
        let mut message = format!(
            "account {:?} is above its share of {}: its share is {:.2} servers, it uses {:.2}, as of {} ms ago",
            &*offer.account,
            self.service,
            standing.share,
            standing.used,
            millis(standing.age),
        );
        // Writing to a `String` cannot fail.
        let _ = write!(message, "; {}", reason.message);
        Reason {
            message,
            retry_after: wait.or(reason.retry_after),
            ..reason
        }
    }

    /// The accounts in the state dump.
    pub(super) fn share_dump(&self, now: Instant) -> Vec<dump::Share> {
        let shares = self.queue.shares();
        shares.map_or_else(Vec::new, |shares: &Shares| shares.dump(now))
    }

    /// The accounts that use the pool, where accounts share it.
    #[must_use]
    pub fn account_shares(&self, now: Instant) -> Vec<dump::Share> {
        self.share_dump(now)
    }
}
