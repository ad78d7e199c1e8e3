//! Account limits: a request is charged at its account's home or, if the home does not reply, to this host's own share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::home;
use crate::coordination::limit::{InFlight, Ledger, Over, Tolerance};
use crate::protocol::message::{ChargeReply, Message};
use crate::state::clock::Instant;
use crate::state::config::{self, Config};
use crate::state::fleet::Account;
use crate::state::name::Name;
use crate::state::units::duration_from_millis;
use crate::transport::peers::links::Links;
use crate::transport::runtime::{lock, timeout};

/// How long a request waits for its account's home before this host charges its own share: ten round trips between
/// data centres, and well within the shortest objective (100 ms).
const HOME_TIMEOUT: Duration = Duration::from_millis(40);
/// How much longer a request waits for the home if this host's own share refuses it. Both waits together are less than
/// a quarter of the objective of model requests (800 ms).
const EXTRA_HOME_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a late reply from a home is still processed.
const LATE_REPLY_TTL: Duration = Duration::from_secs(5);

/// The account limits that this host enforces together with the other hosts.
#[derive(Debug)]
pub(crate) struct Accounts {
    me: Name,
    links: Arc<Links>,
    log: Logger,
    ledger: Mutex<Ledger>,
    in_flight: Mutex<InFlight>,
    /// Charges requested from homes, by sequence number.
    pending: Mutex<HashMap<u64, ChargeState>>,
    next_sequence: AtomicU64,
}

/// A request's charge against its account's limits.
#[derive(Debug)]
pub(crate) struct Charge {
    tokens: u32,
    /// The home that granted the charge; `None` if this host charged its own share, or the account has no limit that
    /// needs a charge.
    home: Option<Name>,
}

/// The state of a charge that was requested from an account's home.
#[derive(Debug)]
enum ChargeState {
    /// The request waits for the reply.
    Waiting(Sender<ChargeReply>),
    /// This host charged its own share instead, and reports that to the home as spent if the home refuses the charge.
    ChargedLocally {
        home: Name,
        account: Name,
        tokens: u32,
        at: Instant,
        /// Whether the link to the home was reconnected because the reply did not come.
        is_reconnected: bool,
    },
}

/// A requested charge whose reply is awaited; dropping it abandons the wait.
struct PendingCharge<'a> {
    accounts: &'a Accounts,
    sequence: u64,
    home: Name,
    replies: Receiver<ChargeReply>,
}

impl PendingCharge<'_> {
    async fn reply(&self) -> Option<ChargeReply> {
        self.replies.recv().await.ok()
    }

    /// Records that the request continues on this host's own share, without a reply.
    fn mark_charged_locally(&self, account: &Account, tokens: u32) {
        if let Some(pending) = lock(&self.accounts.pending).get_mut(&self.sequence) {
            *pending = ChargeState::ChargedLocally {
                home: self.home.clone(),
                account: account.name.clone(),
                tokens,
                at: Instant::now(),
                is_reconnected: false,
            };
        }
    }
}

impl Drop for PendingCharge<'_> {
    fn drop(&mut self) {
        let mut pending = lock(&self.accounts.pending);
        if matches!(pending.get(&self.sequence), Some(ChargeState::Waiting(_))) {
            pending.remove(&self.sequence);
        }
    }
}

impl Accounts {
    pub(crate) fn new(config: &Config, links: Arc<Links>, log: Logger) -> Self {
        let ledger = Ledger::new(tolerance(&config.accounts), Instant::now());
        Self {
            me: config.host.name.clone(),
            links,
            log,
            ledger: Mutex::new(ledger),
            in_flight: Mutex::default(),
            pending: Mutex::default(),
            next_sequence: AtomicU64::new(1),
        }
    }

    /// Admits a request, which must be released when it ends, or returns the limit that the request exceeds.
    pub(crate) async fn admit(
        &self,
        request_id: &str,
        account: &Account,
        tokens: u32,
    ) -> Result<Charge, Over> {
        let hosts = self.links.candidate_count_of_fleet();
        let in_flight = lock(&self.in_flight).check(account, hosts);
        let admitted = match in_flight {
            Ok(()) => self.charge_account(request_id, account, tokens).await,
            Err(over) => Err(over),
        };
        if admitted.is_err() {
            let share = self.links.fleet_share(Instant::now());
            slog::info!(
                self.log, "over the account's limit";
                "request_id" => request_id,
                "account" => &*account.name,
                "home" => &*self.links.home_of(&account.name),
                "tokens" => tokens,
                "tokens_per_second" => account.tokens_per_second,
                "burst_tokens" => account.burst_tokens,
                "heard" => share.represented,
                "known" => share.total,
            );
        }
        let home = admitted?;
        lock(&self.in_flight).enter(&account.name);
        Ok(Charge { tokens, home })
    }

    /// Removes an ended request from the requests in flight.
    pub(crate) fn release(&self, account: &Name) {
        lock(&self.in_flight).leave(account);
    }

    /// Charges a request to its account's buckets and returns the home that granted the charge, if one did.
    async fn charge_account(
        &self,
        request_id: &str,
        account: &Account,
        tokens: u32,
    ) -> Result<Option<Name>, Over> {
        if !account.has_rate() {
            return Ok(None);
        }
        let home = self.links.home_of(&account.name);
        if home == self.me {
            return self
                .charge_locally(account, tokens, Instant::now())
                .map(|()| Some(home));
        }
        let pending = self.request_charge(home, account, tokens);
        let reply = timeout(HOME_TIMEOUT, pending.reply()).await.flatten();
        match reply {
            Some(ChargeReply::Within) => return Ok(Some(pending.home.clone())),
            Some(ChargeReply::Over(over)) => return Err(over),
            Some(ChargeReply::Unknown) | None => {}
        }
        let local = self.charge_locally(account, tokens, Instant::now());
        slog::info!(
            self.log, "the account's home gave no answer in time";
            "request_id" => request_id,
            "account" => &*account.name,
            "home" => &*pending.home,
            "answered" => reply.is_some(),
            "within_own_part" => local.is_ok(),
        );
        let Err(over) = local else {
            pending.mark_charged_locally(account, tokens);
            return Ok(None);
        };
        match timeout(EXTRA_HOME_TIMEOUT, pending.reply()).await.flatten() {
            Some(ChargeReply::Within) => Ok(Some(pending.home.clone())),
            Some(ChargeReply::Over(over)) => Err(over),
            Some(ChargeReply::Unknown) => Err(over),
            None => {
                self.reconnect(&pending.home, Instant::now());
                Err(over)
            }
        }
    }

    fn request_charge(&self, home: Name, account: &Account, tokens: u32) -> PendingCharge<'_> {
        let (sender, replies) = async_channel::bounded(1);
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        lock(&self.pending).insert(sequence, ChargeState::Waiting(sender));
        let charge = Message::Charge {
            sequence,
            account: account.name.clone(),
            tokens,
        };
        self.links.send(&home, charge);
        PendingCharge {
            accounts: self,
            sequence,
            home,
            replies,
        }
    }

    /// Charges this host's ledger: as the account's home for all hosts that it receives heartbeats from, otherwise only
    /// for its own share.
    fn charge_locally(&self, account: &Account, tokens: u32, now: Instant) -> Result<(), Over> {
        let mut share = self.links.fleet_share(now);
        if self.links.home_of(&account.name) != self.me {
            share = share.own();
        }
        lock(&self.ledger).try_take(account, tokens, share, now)
    }

    /// Replies to a charge that another host requested; `account` is `None` if the version in force here lacks it.
    pub(crate) fn handle_charge(
        &self,
        from: &Name,
        sequence: u64,
        account: Option<&Account>,
        tokens: u32,
        now: Instant,
    ) {
        let reply = match account.map(|account| self.charge_locally(account, tokens, now)) {
            Some(Ok(())) => ChargeReply::Within,
            Some(Err(over)) => ChargeReply::Over(over),
            None => ChargeReply::Unknown,
        };
        self.links.send(
            from,
            Message::Charged {
                sequence,
                word: reply,
            },
        );
    }

    /// Handles the reply of an account's home.
    pub(crate) fn handle_reply(&self, sequence: u64, reply: ChargeReply) {
        match lock(&self.pending).remove(&sequence) {
            // The channel has room for one reply, and each charge gets no more than one.
            Some(ChargeState::Waiting(sender)) => drop(sender.try_send(reply)),
            Some(ChargeState::ChargedLocally {
                home,
                account,
                tokens,
                ..
            }) if matches!(reply, ChargeReply::Over(_)) => {
                self.links.send(&home, Message::Spent { account, tokens });
            }
            // Both hosts charged it, the home does not know the account, or the request is gone.
            Some(ChargeState::ChargedLocally { .. }) | None => {}
        }
    }

    /// Gives back the charge of a request that was not sent to a backend server.
    ///
    /// If the home has moved since, the new home has started with new buckets, so there is nothing to give back.
    pub(crate) fn give_back(&self, account: &Account, charge: &Charge) {
        let Some(home) = &charge.home else { return };
        if *home != self.links.home_of(&account.name) {
            return;
        }
        if *home == self.me {
            self.handle_give_back(account, charge.tokens, Instant::now());
            return;
        }
        let message = Message::GiveBack {
            account: account.name.clone(),
            tokens: charge.tokens,
        };
        self.links.send(home, message);
    }

    /// Puts a charge back into the buckets here, since its request was not sent to a backend server.
    pub(crate) fn handle_give_back(&self, account: &Account, tokens: u32, now: Instant) {
        let share = self.links.fleet_share(now);
        lock(&self.ledger).give_back(account, tokens, share, now);
    }

    /// Debits what another host charged to its own share.
    pub(crate) fn handle_spent(&self, account: &Account, tokens: u32, now: Instant) {
        let share = self.links.fleet_share(now);
        lock(&self.ledger).debit(account, tokens, share, now);
    }

    /// Updates the ledger after a change of the hosts that may be homes.
    pub(crate) fn rehome(&self, before: &[Name], after: &[Name], now: Instant) {
        let is_here = |account: &Name, hosts| home::of(account, hosts) == Some(&self.me);
        let has_moved = |account: &Name| is_here(account, before) != is_here(account, after);
        lock(&self.ledger).reset_moved(has_moved, now);
    }

    /// Reconnects to homes that have not replied to a charge for long, though its request continued on this host's own
    /// share, so that the next requests do not wait for a reply that never comes.
    pub(crate) fn reconnect_late(&self, now: Instant) {
        let mut silent_homes = Vec::new();
        for pending in lock(&self.pending).values_mut() {
            if let ChargeState::ChargedLocally {
                home,
                at,
                is_reconnected,
                ..
            } = pending
                && !*is_reconnected
                && now.saturating_duration_since(*at) >= EXTRA_HOME_TIMEOUT
            {
                *is_reconnected = true;
                silent_homes.push(home.clone());
            }
        }
        for home in silent_homes {
            self.reconnect(&home, now);
        }
    }

    fn reconnect(&self, home: &Name, now: Instant) {
        if self.links.reconnect_unanswered(home, now) {
            slog::info!(
                self.log, "a link is made anew, since an ask got no word over it";
                "host" => &**home, "asked" => "an account's limit",
            );
        }
    }

    /// Drops idle accounts, and charges whose reply never came.
    pub(crate) fn sweep(&self, now: Instant) {
        lock(&self.ledger).sweep(now);
        lock(&self.pending).retain(|_, pending| match pending {
            ChargeState::Waiting(_) => true,
            ChargeState::ChargedLocally { at, .. } => {
                now.saturating_duration_since(*at) < LATE_REPLY_TTL
            }
        });
    }
}

/// The configured tolerance of the limits; `None` if the settings have no window.
fn tolerance(settings: &config::Accounts) -> Option<Tolerance> {
    (settings.window_ms > 0.0).then(|| Tolerance {
        window: duration_from_millis(settings.window_ms),
        overage: settings.overage,
        slack: settings.slack,
    })
}
