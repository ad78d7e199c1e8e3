//! The holder's side: the requests that this host received and offers to their homes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::{Desk, Grant, Held, Place, Stage, Wish, Word};
use crate::coordination::answering::{Step, Wait};
use crate::coordination::shard::{Cut, Shard};
use crate::protocol::message::{self, Made, Message};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::lock;

impl Desk {
    /// Number of requests that this host holds.
    pub(crate) fn held(&self) -> usize {
        lock(&self.held).len()
    }

    /// Offers a request to its home.
    pub(crate) fn hold(self: &Arc<Self>, wish: &Wish) -> Place {
        let (sender, words) = async_channel::bounded(1);
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let shard = self.shard_for(wish, now);
        let held = Held {
            wish: wish.clone(),
            home: self.home_of(&shard),
            shard,
            moved: false,
            without_server: 0,
            stage: Stage::Waiting(Wait::begin(now)),
            words: sender,
        };
        let offer = held.offer(sequence, now);
        let home = held.home.clone();
        lock(&self.held).insert(sequence, held);
        self.say(&home, offer, now);
        Place {
            desk: Arc::clone(self),
            sequence,
            words,
            longest_pause: None,
            ended: false,
        }
    }

    /// The shard that a request is offered to; one that comes back gets the same.
    pub(super) fn shard_for(&self, wish: &Wish, now: Instant) -> Shard {
        let marked = wish.mark.filter(|_| !wish.returning);
        let point = marked.map_or_else(fastrand::f64, point_of);
        let listed = self.listed.load();
        let Some(cut) = listed.cuts.get(&wish.pool) else {
            return Shard::whole(wish.pool.clone());
        };
        if cut.count() == 1 {
            return cut.pick(point, |_| false);
        }
        let answering = lock(&self.answering);
        cut.pick(point, |shard| answering.rests(shard, now))
    }

    /// The host that decides about a shard.
    pub(super) fn home_of(&self, shard: &Shard) -> Name {
        self.links.home_of(&shard.subject())
    }

    /// Uses a grant, or returns it when the request no longer waits.
    pub(super) fn hear_grant(
        &self,
        home: &Name,
        shard: &Shard,
        sequence: u64,
        grant: Grant,
        now: Instant,
    ) {
        lock(&self.answering).note_word(shard);
        let mut held = lock(&self.held);
        if let Some(held) = held.get_mut(&sequence) {
            match &held.stage {
                Stage::Waiting(_) => {
                    held.stage = Stage::Granted {
                        server: grant.server.clone(),
                        prefilled: false,
                        limited: grant.limited,
                    };
                    held.home = home.clone();
                    held.shard = shard.clone();
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
        let shard = shard.clone();
        self.say(home, Message::Withdraw { shard, sequence }, now);
    }

    /// Hears a refusal; one for want of a server counts only when each shard has none.
    ///
    /// A shard loses its last servers while others have theirs: where one is replaced that the host list still
    /// has, half of the requests for a pool cut in two were refused until the list was told of it.
    pub(super) fn hear_refusal(&self, sequence: u64, reason: Reason, now: Instant) {
        let (home, offer) = {
            let mut held = lock(&self.held);
            let Some(held) = held.get_mut(&sequence) else {
                return;
            };
            if !matches!(held.stage, Stage::Waiting(_)) {
                return;
            }
            lock(&self.answering).note_word(&held.shard);
            held.without_server += u16::from(reason.code == Code::NoServer);
            let is_last = held.without_server >= held.shard.count;
            if reason.code != Code::NoServer || is_last {
                // The place is there as long as it is held, and hears one word at a time.
                let _ = held.words.try_send(Word::Refuse(reason));
                return;
            }
            let shard = held.shard.other(held.shard.number + 1);
            held.moved = true;
            held.put(&shard, self.home_of(&shard), now);
            (held.home.clone(), held.offer(sequence, now))
        };
        self.say(&home, offer, now);
    }

    /// Hears that an offer waits.
    pub(super) fn hear_queued(&self, from: &Name, sequence: u64, now: Instant) {
        let mut held = lock(&self.held);
        let Some(held) = held.get_mut(&sequence).filter(|held| held.home == *from) else {
            return;
        };
        if let Stage::Waiting(wait) = &mut held.stage {
            wait.queued(now);
            lock(&self.answering).note_word(&held.shard);
        }
    }

    /// Hears that another shard has places for an offer.
    pub(super) fn hear_move(&self, from: &Name, sequence: u64, to: u16, now: Instant) {
        let said = {
            let mut held = lock(&self.held);
            let Some(held) = held.get_mut(&sequence).filter(|held| held.home == *from) else {
                return;
            };
            if !matches!(held.stage, Stage::Waiting(_)) {
                return;
            }
            lock(&self.answering).note_word(&held.shard);
            let shard = held.shard.other(to);
            held.moved = true;
            held.put(&shard, self.home_of(&shard), now);
            (held.home.clone(), held.offer(sequence, now))
        };
        self.say(&said.0, said.1, now);
    }

    /// Sees to offers without an answer: they are said again, or made elsewhere.
    pub(crate) fn offer_again(&self, now: Instant) {
        let mut said = Vec::new();
        let mut silent = Vec::new();
        let mut doubted = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let Stage::Waiting(wait) = &mut held.stage else {
                continue;
            };
            match wait.step(held.shard.has_others(), now) {
                Step::Wait => {}
                Step::Ask => said.push((held.home.clone(), held.offer(*sequence, now))),
                Step::Leave => silent.push(*sequence),
                Step::Doubt => {
                    doubted.push(held.home.clone());
                    said.push((held.home.clone(), held.offer(*sequence, now)));
                }
            }
        }
        for home in doubted {
            self.doubt(&home, now);
        }
        for (home, offer) in said {
            self.say(&home, offer, now);
        }
        for sequence in silent {
            self.leave_silent(sequence, now);
        }
    }

    /// Doubts the link to a home that gives no word on an offer.
    fn doubt(&self, home: &Name, now: Instant) {
        if self.links.doubt(home, now) {
            slog::info!(
                self.log, "a link is made anew, since an ask got no word over it";
                "host" => &**home, "asked" => "an offer",
            );
        }
    }

    /// Offers a request to another shard whose home gives no word on it.
    fn leave_silent(&self, sequence: u64, now: Instant) {
        let (old, withdraw, home, offer) = {
            let mut held = lock(&self.held);
            let Some(held) = held.get_mut(&sequence) else {
                return;
            };
            lock(&self.answering).note_silence(&held.shard, now);
            self.doubt(&held.home, now);
            let shard = self.shard_for(&held.wish, now);
            slog::info!(
                self.log, "a pool's home gives no word on an offer";
                "home" => &*held.home, "shard" => held.shard.subject(),
                "goes_to" => shard.subject(),
            );
            let withdraw = Message::Withdraw {
                shard: held.shard.clone(),
                sequence,
            };
            let old = held.put(&shard, self.home_of(&shard), now);
            (old, withdraw, held.home.clone(), held.offer(sequence, now))
        };
        self.say(&old, withdraw, now);
        self.say(&home, offer, now);
    }

    /// Moves what is held to new homes after the hosts that are well, or the shards, have changed.
    pub(crate) fn rehome(&self, now: Instant) {
        let listed = self.listed.load();
        let mut said = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let cut = listed.cuts.get(&held.wish.pool);
            let shard = match cut.filter(|cut| cut.count() != held.shard.count) {
                None => held.shard.clone(),
                Some(cut) => self.shard_again(cut, held, now),
            };
            let home = self.home_of(&shard);
            if home == held.home && shard == held.shard {
                continue;
            }
            let withdraw = Message::Withdraw {
                shard: held.shard.clone(),
                sequence: *sequence,
            };
            let old = held.put(&shard, home, now);
            said.push((old, withdraw));
            said.push((held.home.clone(), held.claim(*sequence, now)));
        }
        for (home, message) in said {
            self.say(&home, message, now);
        }
        self.keep_own(&listed);
        self.tell_limits(|_| false, now);
    }

    /// Offers the requests that wait in a pool which gets none any more to the one that does; `successor` tells it of
    /// a service and a pool.
    pub(crate) fn move_waiting(
        &self,
        successor: impl Fn(&Name, &Name) -> Option<Name>,
        now: Instant,
    ) {
        let mut said = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            if !matches!(held.stage, Stage::Waiting(_)) {
                continue;
            }
            let Some(pool) = successor(&held.wish.service, &held.wish.pool) else {
                continue;
            };
            held.wish.pool = pool;
            let shard = self.shard_for(&held.wish, now);
            let withdraw = Message::Withdraw {
                shard: held.shard.clone(),
                sequence: *sequence,
            };
            held.without_server = 0;
            let old = held.put(&shard, self.home_of(&shard), now);
            said.push((old, withdraw));
            said.push((held.home.clone(), held.offer(*sequence, now)));
        }
        for (home, message) in said {
            self.say(&home, message, now);
        }
    }

    /// The shard of a request in a service that is cut otherwise from now on.
    fn shard_again(&self, cut: &Cut, held: &Held, now: Instant) -> Shard {
        match &held.stage {
            Stage::Granted { server, .. } => cut.shard_of(server),
            Stage::Waiting(_) => self.shard_for(&held.wish, now),
        }
    }
}

impl Held {
    /// What is said of it to its home, as a request that waits.
    pub(super) fn offer(&self, sequence: u64, now: Instant) -> Message {
        let wish = &self.wish;
        let made = match self.stage {
            Stage::Waiting(wait) if wait.is_asked() => Made::Again,
            _ if self.moved => Made::Moved,
            _ => Made::First,
        };
        Message::Offer(message::Offer {
            shard: self.shard.clone(),
            sequence,
            made,
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
        })
    }

    /// What is said of it to a new home.
    fn claim(&self, sequence: u64, now: Instant) -> Message {
        match &self.stage {
            Stage::Waiting(_) => self.offer(sequence, now),
            Stage::Granted {
                server, prefilled, ..
            } => Message::Adopt {
                shard: self.shard.clone(),
                sequence,
                server: server.clone(),
                prompt_tokens: self.wish.prompt_tokens,
                prefilled: *prefilled,
            },
        }
    }

    /// Puts it into a shard with that home, and gives the home that it had.
    pub(super) fn put(&mut self, shard: &Shard, home: Name, now: Instant) -> Name {
        self.shard = shard.clone();
        if let Stage::Waiting(wait) = &mut self.stage {
            *wait = Wait::begin(now);
        }
        std::mem::replace(&mut self.home, home)
    }
}

/// The point from 0 to 1 that a mark stands for.
fn point_of(mark: u64) -> f64 {
    /// Bits of a mark that a point shows.
    const BITS: u32 = 32;
    let high = u32::try_from(mark >> BITS).unwrap_or(u32::MAX);
    f64::from(high) / (f64::from(u32::MAX) + 1.0)
}
