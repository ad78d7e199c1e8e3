//! The limits of client accounts: each account's home is asked, and answers with what it gives out.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::home;
use crate::coordination::limit::{InFlight, Ledger, Over, Tolerance};
use crate::protocol::message::{Message, Word};
use crate::state::clock::Instant;
use crate::state::config::{self, Config};
use crate::state::fleet::Account;
use crate::state::name::Name;
use crate::state::units::of_millis;
use crate::transport::peers::links::Links;
use crate::transport::runtime::{lock, within};

/// How long a request waits for its account's home before this host looks at its own part: ten times
/// a round trip between data centres, and well within the shortest objective (100 ms).
const ANSWER_SOON: Duration = Duration::from_millis(40);
/// How much longer one waits that is not within this host's own part: together less than a quarter
/// of the objective of model requests (800 ms).
const ANSWER_LATE: Duration = Duration::from_millis(120);
/// How long an answer that comes too late is still of use.
const SETTLED_FOR: Duration = Duration::from_secs(5);

/// The limits of client accounts, as this host keeps them together with the others.
#[derive(Debug)]
pub(crate) struct Accounts {
    me: Name,
    links: Arc<Links>,
    log: Logger,
    ledger: Mutex<Ledger>,
    in_flight: Mutex<InFlight>,
    /// Questions to homes by number.
    asked: Mutex<HashMap<u64, Asked>>,
    next: AtomicU64,
}

/// What a request was given out of its account's limits.
#[derive(Debug)]
pub(crate) struct Charge {
    tokens: u32,
    /// The host that gave it out as the account's home; `None` where a host gave out its own part, or
    /// the account has no such limit.
    home: Option<Name>,
}

/// A question to an account's home.
#[derive(Debug)]
enum Asked {
    /// Its request waits for the answer.
    Waiting(Sender<Word>),
    /// This host gave out of its own part instead, and owes the home that if it answers with a no.
    Settled {
        home: Name,
        account: Name,
        tokens: u32,
        at: Instant,
        /// Whether the link to the home was doubted for it.
        doubted: bool,
    },
}

/// A question whose answer is waited for; dropping it gives it up.
struct Question<'a> {
    accounts: &'a Accounts,
    sequence: u64,
    home: Name,
    words: Receiver<Word>,
}

impl Question<'_> {
    async fn word(&self) -> Option<Word> {
        self.words.recv().await.ok()
    }

    /// The request goes on without an answer.
    fn settle(&self, account: &Account, tokens: u32) {
        if let Some(asked) = lock(&self.accounts.asked).get_mut(&self.sequence) {
            *asked = Asked::Settled {
                home: self.home.clone(),
                account: account.name.clone(),
                tokens,
                at: Instant::now(),
                doubted: false,
            };
        }
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        let mut asked = lock(&self.accounts.asked);
        if matches!(asked.get(&self.sequence), Some(Asked::Waiting(_))) {
            asked.remove(&self.sequence);
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
            asked: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }

    /// Takes a request in, which is to be released when it ends, or says which limit it is over.
    pub(crate) async fn admit(
        &self,
        request_id: &str,
        account: &Account,
        tokens: u32,
    ) -> Result<Charge, Over> {
        let hosts = self.links.hosts();
        let in_flight = lock(&self.in_flight).check(account, hosts);
        let admitted = match in_flight {
            Ok(()) => self.spend(request_id, account, tokens).await,
            Err(over) => Err(over),
        };
        if admitted.is_err() {
            let share = self.links.share(Instant::now());
            slog::info!(
                self.log, "over the account's limit";
                "request_id" => request_id,
                "account" => &*account.name,
                "home" => &*self.links.home_of(&account.name),
                "tokens" => tokens,
                "tokens_per_second" => account.tokens_per_second,
                "burst_tokens" => account.burst_tokens,
                "heard" => share.heard,
                "known" => share.known,
            );
        }
        let home = admitted?;
        lock(&self.in_flight).enter(&account.name);
        Ok(Charge { tokens, home })
    }

    /// Counts a request as ended.
    pub(crate) fn release(&self, account: &Name) {
        lock(&self.in_flight).leave(account);
    }

    /// Has a request taken out of its account's buckets, and says which home gave it out, if one did.
    async fn spend(
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
                .give_out(account, tokens, Instant::now())
                .map(|()| Some(home));
        }
        let question = self.ask(home, account, tokens);
        let word = within(ANSWER_SOON, question.word()).await.flatten();
        match word {
            Some(Word::Within) => return Ok(Some(question.home.clone())),
            Some(Word::Over(over)) => return Err(over),
            Some(Word::Unknown) | None => {}
        }
        let own = self.give_out(account, tokens, Instant::now());
        slog::info!(
            self.log, "the account's home gave no answer in time";
            "request_id" => request_id,
            "account" => &*account.name,
            "home" => &*question.home,
            "answered" => word.is_some(),
            "within_own_part" => own.is_ok(),
        );
        let Err(over) = own else {
            question.settle(account, tokens);
            return Ok(None);
        };
        match within(ANSWER_LATE, question.word()).await.flatten() {
            Some(Word::Within) => Ok(Some(question.home.clone())),
            Some(Word::Over(over)) => Err(over),
            Some(Word::Unknown) => Err(over),
            None => {
                self.doubt(&question.home, Instant::now());
                Err(over)
            }
        }
    }

    fn ask(&self, home: Name, account: &Account, tokens: u32) -> Question<'_> {
        let (sender, words) = async_channel::bounded(1);
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        lock(&self.asked).insert(sequence, Asked::Waiting(sender));
        let charge = Message::Charge {
            sequence,
            account: account.name.clone(),
            tokens,
        };
        self.links.send(&home, charge);
        Question {
            accounts: self,
            sequence,
            home,
            words,
        }
    }

    /// Gives out for all hosts that are heard, as an account's home, or else of this host's own part.
    fn give_out(&self, account: &Account, tokens: u32, now: Instant) -> Result<(), Over> {
        let mut share = self.links.share(now);
        if self.links.home_of(&account.name) != self.me {
            share = share.own();
        }
        lock(&self.ledger).spend(account, tokens, share, now)
    }

    /// Answers another host's question; the account is `None` where no version in force here has it.
    pub(crate) fn answer(
        &self,
        from: &Name,
        sequence: u64,
        account: Option<&Account>,
        tokens: u32,
        now: Instant,
    ) {
        let word = match account.map(|account| self.give_out(account, tokens, now)) {
            Some(Ok(())) => Word::Within,
            Some(Err(over)) => Word::Over(over),
            None => Word::Unknown,
        };
        self.links.send(from, Message::Charged { sequence, word });
    }

    /// Hears an account's home.
    pub(crate) fn hear(&self, sequence: u64, word: Word) {
        match lock(&self.asked).remove(&sequence) {
            // The channel holds one word, and a question is answered once.
            Some(Asked::Waiting(sender)) => drop(sender.try_send(word)),
            Some(Asked::Settled {
                home,
                account,
                tokens,
                ..
            }) if matches!(word, Word::Over(_)) => {
                self.links.send(&home, Message::Spent { account, tokens });
            }
            // It was taken out here and there, or the request is gone.
            Some(Asked::Settled { .. }) | None => {}
        }
    }

    /// Gives back what a request was given that was not sent to a backend server.
    ///
    /// A home that has moved meanwhile began its buckets anew, and has nothing to put back.
    pub(crate) fn give_back(&self, account: &Account, charge: &Charge) {
        let Some(home) = &charge.home else { return };
        if *home != self.links.home_of(&account.name) {
            return;
        }
        if *home == self.me {
            self.take_back(account, charge.tokens, Instant::now());
            return;
        }
        let message = Message::GiveBack {
            account: account.name.clone(),
            tokens: charge.tokens,
        };
        self.links.send(home, message);
    }

    /// Puts back what a request was given here that was not sent to a backend server.
    pub(crate) fn take_back(&self, account: &Account, tokens: u32, now: Instant) {
        let share = self.links.share(now);
        lock(&self.ledger).give_back(account, tokens, share, now);
    }

    /// Takes out what another host gave out of its own part.
    pub(crate) fn debit(&self, account: &Account, tokens: u32, now: Instant) {
        let share = self.links.share(now);
        lock(&self.ledger).debit(account, tokens, share, now);
    }

    /// Follows a change of the hosts that may be homes.
    pub(crate) fn rehome(&self, before: &[Name], after: &[Name], now: Instant) {
        let is_here = |account: &Name, hosts| home::of(account, hosts) == Some(&self.me);
        let moved = |account: &Name| is_here(account, before) != is_here(account, after);
        lock(&self.ledger).rehome(moved, now);
    }

    /// Doubts the links to homes that have left a question without an answer for long, though its request went on by
    /// this host's own part: the next ones shall not wait in vain.
    pub(crate) fn doubt_silent(&self, now: Instant) {
        let mut silent = Vec::new();
        for asked in lock(&self.asked).values_mut() {
            if let Asked::Settled {
                home, at, doubted, ..
            } = asked
                && !*doubted
                && now.saturating_duration_since(*at) >= ANSWER_LATE
            {
                *doubted = true;
                silent.push(home.clone());
            }
        }
        for home in silent {
            self.doubt(&home, now);
        }
    }

    fn doubt(&self, home: &Name, now: Instant) {
        if self.links.doubt(home, now) {
            slog::info!(
                self.log, "a link is made anew, since an ask got no word over it";
                "host" => &**home, "asked" => "an account's limit",
            );
        }
    }

    /// Forgets idle accounts and answers that never came.
    pub(crate) fn sweep(&self, now: Instant) {
        lock(&self.ledger).sweep(now);
        lock(&self.asked).retain(|_, asked| match asked {
            Asked::Waiting(_) => true,
            Asked::Settled { at, .. } => now.saturating_duration_since(*at) < SETTLED_FOR,
        });
    }
}

/// How exactly the settings ask limits to be kept.
fn tolerance(settings: &config::Accounts) -> Option<Tolerance> {
    (settings.window_ms > 0.0).then(|| Tolerance {
        window: of_millis(settings.window_ms),
        overage: settings.overage,
        slack: settings.slack,
    })
}
