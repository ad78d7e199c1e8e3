//! The holder's side: the requests that this host received and offers to their homes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::{Desk, Grant, Held, Place, Stage, Wish, Word};
use crate::protocol::message::{self, Message};
use crate::protocol::refusal::Reason;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::lock;

/// Time after which an offer without an answer is said again.
const OFFER_AGAIN: Duration = Duration::from_secs(1);

impl Desk {
    /// Number of requests that this host holds.
    pub(crate) fn held(&self) -> usize {
        lock(&self.held).len()
    }

    /// Offers a request to its home.
    pub(crate) fn hold(self: &Arc<Self>, wish: &Wish) -> Place {
        let (sender, words) = async_channel::bounded(1);
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let home = self.links.home_of(&wish.service);
        let now = Instant::now();
        let stage = Stage::Waiting { offered: now };
        let held = Held {
            wish: wish.clone(),
            home: home.clone(),
            stage,
            words: sender,
        };
        lock(&self.held).insert(sequence, held);
        self.offer(&home, sequence, wish, now);
        Place {
            desk: Arc::clone(self),
            sequence,
            words,
            longest_pause: None,
            ended: false,
        }
    }

    pub(super) fn offer(&self, home: &Name, sequence: u64, wish: &Wish, now: Instant) {
        let offer = message::Offer {
            service: wish.service.clone(),
            sequence,
            rank: wish.rank,
            priority: wish.priority,
            prompt_tokens: wish.prompt_tokens,
            waited_ms: millis(now.saturating_duration_since(wish.arrived)),
            left_ms: millis(wish.due.saturating_duration_since(now)),
            first_token_ms: millis(wish.first_token),
            pause_ms: millis(wish.pause),
            answer_tokens: wish.answer_tokens,
            whole_ms: millis(wish.deadline.saturating_duration_since(now)),
            avoid: wish.avoid.clone(),
            early: wish.early,
            returning: wish.returning,
            mark: wish.mark,
            opening: wish.opening,
        };
        self.say(home, Message::Offer(offer), now);
    }

    /// Uses a grant, or returns it when the request no longer waits.
    pub(super) fn hear_grant(
        &self,
        home: &Name,
        service: &Name,
        sequence: u64,
        grant: Grant,
        now: Instant,
    ) {
        let mut held = lock(&self.held);
        if let Some(held) = held.get_mut(&sequence) {
            match &held.stage {
                Stage::Waiting { .. } => {
                    held.stage = Stage::Granted {
                        server: grant.server.clone(),
                        prefilled: false,
                    };
                    held.home = home.clone();
                    // The place is there as long as it is held, and hears one word at a time.
                    let _ = held.words.try_send(Word::Grant(grant));
                    return;
                }
                // The same grant said again.
                Stage::Granted { .. } if held.home == *home => return,
                Stage::Granted { .. } => {}
            }
        }
        drop(held);
        let service = service.clone();
        self.say(home, Message::Withdraw { service, sequence }, now);
    }

    pub(super) fn hear_refusal(&self, sequence: u64, reason: Reason) {
        let held = lock(&self.held);
        let Some(held) = held.get(&sequence) else {
            return;
        };
        if matches!(held.stage, Stage::Waiting { .. }) {
            let _ = held.words.try_send(Word::Refuse(reason));
        }
    }

    /// Says offers without an answer again.
    pub(crate) fn offer_again(&self, now: Instant) {
        let mut again = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let Stage::Waiting { offered } = &mut held.stage else {
                continue;
            };
            if now.saturating_duration_since(*offered) >= OFFER_AGAIN {
                *offered = now;
                again.push((*sequence, held.home.clone(), held.wish.clone()));
            }
        }
        for (sequence, home, wish) in again {
            self.offer(&home, sequence, &wish, now);
        }
    }

    /// Moves what is held to new homes after the hosts that are well have changed.
    pub(crate) fn rehome(&self, now: Instant) {
        let mut moves = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let home = self.links.home_of(&held.wish.service);
            if home == held.home {
                continue;
            }
            let old = std::mem::replace(&mut held.home, home.clone());
            let granted = match &mut held.stage {
                Stage::Waiting { offered } => {
                    *offered = now;
                    None
                }
                Stage::Granted { server, prefilled } => Some((server.clone(), *prefilled)),
            };
            moves.push((*sequence, old, home, held.wish.clone(), granted));
        }
        for (sequence, old, home, wish, granted) in moves {
            let service = wish.service.clone();
            self.say(
                &old,
                Message::Withdraw {
                    service: service.clone(),
                    sequence,
                },
                now,
            );
            let Some((server, prefilled)) = granted else {
                self.offer(&home, sequence, &wish, now);
                continue;
            };
            let prompt_tokens = wish.prompt_tokens;
            let adopt = Message::Adopt {
                service,
                sequence,
                server,
                prompt_tokens,
                prefilled,
            };
            self.say(&home, adopt, now);
        }
    }

    /// Tells each home which of its grants are still in use.
    pub(crate) fn reconcile(&self, now: Instant) {
        let mut running: HashMap<(Name, Name), Vec<u64>> = HashMap::new();
        for (sequence, held) in lock(&self.held).iter() {
            let pool = (held.home.clone(), held.wish.service.clone());
            let sequences = running.entry(pool).or_default();
            if matches!(held.stage, Stage::Granted { .. }) {
                sequences.push(*sequence);
            }
        }
        for service in self.specs.load().keys() {
            let home = self.links.home_of(service);
            running.entry((home, service.clone())).or_default();
        }
        for ((home, service), running) in running {
            self.say(&home, Message::Reconcile { service, running }, now);
        }
    }
}
