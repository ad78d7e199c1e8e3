//! A held request's place at the desk.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;

use super::{Desk, Stage, Word};
use crate::coordination::answering::Wait;
use crate::coordination::pool::End;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::lock;

/// A held request's place; dropping it gives up the request or its grant.
#[derive(Debug)]
pub(crate) struct Place {
    pub(super) desk: Arc<Desk>,
    pub(super) sequence: u64,
    pub(super) words: Receiver<Word>,
    /// Longest pause between events since the last grant.
    pub(super) longest_pause: Option<Duration>,
    pub(super) ended: bool,
}

impl Place {
    /// Waits for what the home says.
    pub(crate) async fn word(&self) -> Word {
        let word = self.words.recv().await;
        word.expect("the desk keeps the sender as long as the place is held")
    }

    /// The granted server accepted no connection: waits for another.
    pub(crate) fn unreachable(&mut self) {
        self.again(End::Unreachable, None);
    }

    /// From the next offer on, another pool is to serve the request.
    pub(crate) fn change_pool(&self, pool: &Name) {
        if let Some(held) = lock(&self.desk.held).get_mut(&self.sequence) {
            held.wish.pool = pool.clone();
        }
    }

    /// Gives the grant back as `end` says, and waits for another until `due` or as before.
    pub(crate) fn again(&mut self, end: End, due: Option<Instant>) {
        let now = Instant::now();
        let pause_ms = self.longest_pause.take().map(millis);
        let sequence = self.sequence;
        let (old, finish, home, offer) = {
            let mut held = lock(&self.desk.held);
            let Some(held) = held.get_mut(&sequence) else {
                return;
            };
            let finish = Message::Finish {
                shard: held.shard.clone(),
                sequence,
                end,
                pause_ms,
            };
            let stage = std::mem::replace(&mut held.stage, Stage::Waiting(Wait::begin(now)));
            if let Stage::Granted { server, .. } = stage {
                held.wish.avoid = Some(server);
            }
            if let Some(due) = due {
                held.wish.due = due;
                held.wish.returning = true;
            }
            held.moved = false;
            held.without_server = 0;
            let shard = self.desk.shard_for(&held.wish, now);
            let old = held.put(&shard, self.desk.home_of(&shard), now);
            (old, finish, held.home.clone(), held.offer(sequence, now))
        };
        self.desk.say(&old, finish, now);
        self.desk.say(&home, offer, now);
    }

    /// The first token came.
    pub(crate) fn first_token(&self) {
        let (home, shard) = {
            let mut held = lock(&self.desk.held);
            let Some(held) = held.get_mut(&self.sequence) else {
                return;
            };
            if let Stage::Granted { prefilled, .. } = &mut held.stage {
                *prefilled = true;
            }
            (held.home.clone(), held.shard.clone())
        };
        let message = Message::FirstToken {
            shard,
            sequence: self.sequence,
        };
        self.desk.say(&home, message, Instant::now());
    }

    /// A pause between two events of its answer.
    pub(crate) fn pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(Some(pause));
    }

    /// The request ended.
    pub(crate) fn finish(mut self, end: End) {
        self.end(end);
    }

    /// The request ended, while its place is still kept.
    pub(crate) fn end(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let held = lock(&self.desk.held).remove(&self.sequence);
        let Some(held) = held else { return };
        let (shard, sequence) = (held.shard, self.sequence);
        let message = match held.stage {
            Stage::Waiting(_) => Message::Withdraw { shard, sequence },
            Stage::Granted { .. } => Message::Finish {
                shard,
                sequence,
                end,
                pause_ms: self.longest_pause.map(millis),
            },
        };
        self.desk.say(&held.home, message, Instant::now());
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end(End::Unused);
    }
}
