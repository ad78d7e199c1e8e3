//! The holder's side: the requests that this host has received and offers to their homes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{Decision, Grant, Held, HeldRequest, RequestSpec, Scheduler, Stage, Way};
use crate::coordination::shard::{Shard, Sharding};
use crate::coordination::silent_shards::{OfferTimer, Step};
use crate::coordination::version::Constraint;
use crate::protocol::message::{self, Message, OfferKind};
use crate::protocol::refusal::{Code, Reason};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::runtime::lock;

impl Scheduler {
    /// Number of requests that this host holds.
    pub(crate) fn held(&self) -> usize {
        lock(&self.held).len()
    }

    /// Holds a request and offers it to its home.
    pub(crate) fn hold(self: &Arc<Self>, spec: &RequestSpec) -> HeldRequest {
        let (sender, decisions) = async_channel::bounded(1);
        let (path_failed_sender, path_failed) = async_channel::bounded(1);
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let shard = self.shard_for(spec, now);
        let held = Held {
            spec: spec.clone(),
            home: self.home_of(&shard),
            shard,
            moved: false,
            without_server: 0,
            stage: Stage::Waiting(OfferTimer::start(now)),
            decisions: sender,
            path_failed: path_failed_sender,
        };
        let offer = held.offer(sequence, now);
        let home = held.home.clone();
        lock(&self.held).insert(sequence, held);
        self.send(&home, offer, now);
        HeldRequest {
            scheduler: Arc::clone(self),
            sequence,
            decisions,
            path_failed,
            longest_pause: None,
            occupancy: None,
            pace: None,
            ended: false,
        }
    }

    /// Picks the shard that a request is offered to.
    ///
    /// A marked request goes to the shard that its mark stands for, so that a repeat of the caller reaches the same
    /// home. All others, and those that a server has failed, go to a random shard. Shards in backoff are avoided.
    pub(super) fn shard_for(&self, spec: &RequestSpec, now: Instant) -> Shard {
        let marked = spec.mark.filter(|_| !spec.returning);
        let point = marked.map_or_else(fastrand::f64, point_of);
        let server_list = self.server_list.load();
        let Some(sharding) = server_list.shardings.get(&spec.service) else {
            return Shard::unsharded(spec.service.clone());
        };
        if sharding.count() == 1 {
            return sharding.pick(point, |_| false);
        }
        let silent_shards = lock(&self.silent_shards);
        sharding.pick(point, |shard| silent_shards.is_excluded(shard, now))
    }

    /// The home of a shard.
    pub(super) fn home_of(&self, shard: &Shard) -> Name {
        self.links.home_of(&shard.subject())
    }

    /// Passes a grant on to its request, or withdraws it if the request no longer waits or may not use it.
    pub(super) fn handle_grant(
        &self,
        home: &Name,
        shard: &Shard,
        sequence: u64,
        grant: Grant,
        now: Instant,
    ) {
        lock(&self.silent_shards).note_reply(shard);
        let mut held = lock(&self.held);
        if let Some(held) = held.get_mut(&sequence) {
            match &held.stage {
                // The grant is for an earlier offer, after which the versions that may run the request have changed.
                Stage::Waiting(_) if !held.spec.versions.allows(grant.version.as_ref(), false) => {
                    // The home takes it back itself when the current offer arrives.
                    if held.home == *home && held.shard == *shard {
                        return;
                    }
                }
                Stage::Waiting(_) => {
                    held.stage = Stage::Granted {
                        server: grant.server.clone(),
                        incarnation: grant.incarnation(),
                        prefilled: false,
                        limited: grant.limited,
                        way: None,
                    };
                    held.home = home.clone();
                    held.shard = shard.clone();
                    // The receiver exists for as long as the request is held, and takes one decision at a time.
                    let _ = held.decisions.try_send(Decision::Grant(grant));
                    return;
                }
                // The home repeats a grant that has arrived already.
                Stage::Granted { .. } if held.home == *home => return,
                Stage::Granted { .. } => {}
            }
        }
        drop(held);
        let shard = shard.clone();
        self.send(home, Message::Withdraw { shard, sequence }, now);
    }

    /// Handles a refusal; one for lack of a server is final only if every shard lacks servers.
    ///
    /// A shard may lose its last servers while other shards still have some: when a server was replaced that the host
    /// list still named, half of the requests for a pool of two shards were refused until the list was updated.
    pub(super) fn handle_refusal(&self, sequence: u64, reason: Reason, now: Instant) {
        let (home, offer) = {
            let mut held = lock(&self.held);
            let Some(held) = held.get_mut(&sequence) else {
                return;
            };
            if !matches!(held.stage, Stage::Waiting(_)) {
                return;
            }
            lock(&self.silent_shards).note_reply(&held.shard);
            held.without_server += u16::from(reason.code == Code::NoServer);
            let is_last = held.without_server >= held.shard.count;
            if reason.code != Code::NoServer || is_last {
                // The receiver exists for as long as the request is held, and takes one decision at a time.
                let _ = held.decisions.try_send(Decision::Refuse(reason));
                return;
            }
            let shard = held.shard.sibling(held.shard.number + 1);
            held.moved = true;
            held.reassign(&shard, self.home_of(&shard), now);
            (held.home.clone(), held.offer(sequence, now))
        };
        self.send(&home, offer, now);
    }

    /// Handles the home's report that others hear the server of a request which has heard nothing for `silence`: the path
    /// has failed on which the request went, of this host or of the one that passed it on.
    pub(super) fn handle_unheard(
        &self,
        from: &Name,
        sequence: u64,
        silence: Duration,
        now: Instant,
    ) {
        let (server, way, path_failed) = {
            let held = lock(&self.held);
            let Some(held) = held.get(&sequence).filter(|held| held.home == *from) else {
                return;
            };
            let Stage::Granted {
                incarnation,
                way: Some(way),
                ..
            } = &held.stage
            else {
                return;
            };
            (incarnation.address, way.clone(), held.path_failed.clone())
        };
        let has_failed = match way {
            Way::Direct => self.network.note_silent(server, silence),
            Way::Through(host) => {
                let silent_ms = millis(silence);
                self.send(&host, Message::PathSilent { server, silent_ms }, now);
                true
            }
        };
        if has_failed {
            // A full channel means that the request knows it already.
            let _ = path_failed.try_send(());
        }
    }

    /// Notes that the home has queued an offer.
    pub(super) fn handle_queued(&self, from: &Name, sequence: u64, now: Instant) {
        let mut held = lock(&self.held);
        let Some(held) = held.get_mut(&sequence).filter(|held| held.home == *from) else {
            return;
        };
        if let Stage::Waiting(timer) = &mut held.stage {
            timer.note_queued(now);
            lock(&self.silent_shards).note_reply(&held.shard);
        }
    }

    /// Offers a request to the shard that its home names, since that one has free slots.
    pub(super) fn handle_move(&self, from: &Name, sequence: u64, to: u16, now: Instant) {
        let outgoing = {
            let mut held = lock(&self.held);
            let Some(held) = held.get_mut(&sequence).filter(|held| held.home == *from) else {
                return;
            };
            if !matches!(held.stage, Stage::Waiting(_)) {
                return;
            }
            lock(&self.silent_shards).note_reply(&held.shard);
            let shard = held.shard.sibling(to);
            held.moved = true;
            held.reassign(&shard, self.home_of(&shard), now);
            (held.home.clone(), held.offer(sequence, now))
        };
        self.send(&outgoing.0, outgoing.1, now);
    }

    /// Repeats unanswered offers, or makes them to another shard.
    pub(crate) fn retry_offers(&self, now: Instant) {
        let mut outgoing = Vec::new();
        let mut unanswered = Vec::new();
        let mut doubted_homes = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            let Stage::Waiting(timer) = &mut held.stage else {
                continue;
            };
            match timer.step(held.shard.has_others(), now) {
                Step::Wait => {}
                Step::RequestAck => outgoing.push((held.home.clone(), held.offer(*sequence, now))),
                Step::Reroute => unanswered.push(*sequence),
                Step::Reconnect => {
                    doubted_homes.push(held.home.clone());
                    outgoing.push((held.home.clone(), held.offer(*sequence, now)));
                }
            }
        }
        for home in doubted_homes {
            self.reconnect_unanswered(&home, now);
        }
        for (home, offer) in outgoing {
            self.send(&home, offer, now);
        }
        for sequence in unanswered {
            self.offer_elsewhere(sequence, now);
        }
    }

    /// Reconnects the link to a home that leaves an offer unanswered.
    fn reconnect_unanswered(&self, home: &Name, now: Instant) {
        if self.links.reconnect_unanswered(home, now) {
            slog::info!(
                self.log, "a link is made anew, since an ask got no word over it";
                "host" => &**home, "asked" => "an offer",
            );
        }
    }

    /// Withdraws an offer that its home leaves unanswered, and makes it to another shard.
    fn offer_elsewhere(&self, sequence: u64, now: Instant) {
        let (old, withdraw, home, offer) = {
            let mut held = lock(&self.held);
            let Some(held) = held.get_mut(&sequence) else {
                return;
            };
            lock(&self.silent_shards).note_silence(&held.shard, now);
            self.reconnect_unanswered(&held.home, now);
            let shard = self.shard_for(&held.spec, now);
            slog::info!(
                self.log, "a pool's home gives no word on an offer";
                "home" => &*held.home, "shard" => held.shard.subject(),
                "goes_to" => shard.subject(),
            );
            let withdraw = Message::Withdraw {
                shard: held.shard.clone(),
                sequence,
            };
            let old = held.reassign(&shard, self.home_of(&shard), now);
            (old, withdraw, held.home.clone(), held.offer(sequence, now))
        };
        self.send(&old, withdraw, now);
        self.send(&home, offer, now);
    }

    /// Moves the held requests to their new homes after the hosts that may be homes, or the shards, have changed.
    ///
    /// A new home hears which requests run, and what servers have stated, before the first request that waits, so that
    /// it grants that one by what the servers can take.
    pub(crate) fn rehome(&self, now: Instant) {
        let server_list = self.server_list.load();
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for (sequence, held) in lock(&self.held).iter_mut() {
            let sharding = server_list.shardings.get(&held.spec.service);
            let shard = match sharding.filter(|sharding| sharding.count() != held.shard.count) {
                None => held.shard.clone(),
                Some(sharding) => self.reassigned_shard(sharding, held, now),
            };
            let home = self.home_of(&shard);
            if home == held.home && shard == held.shard {
                continue;
            }
            let withdraw = Message::Withdraw {
                shard: held.shard.clone(),
                sequence: *sequence,
            };
            let old = held.reassign(&shard, home, now);
            let outgoing = match held.stage {
                Stage::Granted { .. } => &mut running,
                Stage::Waiting(_) => &mut waiting,
            };
            outgoing.push((old, withdraw));
            outgoing.push((held.home.clone(), held.handover(*sequence, now)));
        }
        self.create_home_pools(&server_list);
        for (home, message) in running {
            self.send(&home, message, now);
        }
        self.repeat_notices(|_| false, now);
        for (home, message) in waiting {
            self.send(&home, message, now);
        }
    }

    /// Tells a home whose process has been replaced, or may have been, what runs here by its grants, and what servers
    /// have stated.
    pub(crate) fn inform_restarted(&self, home: &Name, now: Instant) {
        let mut running = Vec::new();
        for (sequence, held) in lock(&self.held).iter() {
            if held.home == *home && matches!(held.stage, Stage::Granted { .. }) {
                running.push(held.handover(*sequence, now));
            }
        }
        for message in running {
            self.send(home, message, now);
        }
        self.repeat_notices(|other| other == home, now);
    }

    /// Offers the waiting requests whose versions get no more requests again, for other versions.
    ///
    /// `successor` returns the versions that replace those of a service's request, if they are to change.
    pub(crate) fn move_waiting(
        &self,
        successor: impl Fn(&Name, &Constraint) -> Option<Constraint>,
        now: Instant,
    ) {
        let mut outgoing = Vec::new();
        for (sequence, held) in lock(&self.held).iter_mut() {
            if held.spec.resumes || !matches!(held.stage, Stage::Waiting(_)) {
                continue;
            }
            let Some(versions) = successor(&held.spec.service, &held.spec.versions) else {
                continue;
            };
            held.spec.versions = versions;
            let shard = self.shard_for(&held.spec, now);
            let withdraw = Message::Withdraw {
                shard: held.shard.clone(),
                sequence: *sequence,
            };
            held.without_server = 0;
            let old = held.reassign(&shard, self.home_of(&shard), now);
            outgoing.push((old, withdraw));
            outgoing.push((held.home.clone(), held.offer(*sequence, now)));
        }
        for (home, message) in outgoing {
            self.send(&home, message, now);
        }
    }

    /// The new shard of a request after the number of shards of its pool has changed.
    fn reassigned_shard(&self, sharding: &Sharding, held: &Held, now: Instant) -> Shard {
        match &held.stage {
            Stage::Granted { server, .. } => sharding.shard_of(server),
            Stage::Waiting(_) => self.shard_for(&held.spec, now),
        }
    }
}

impl Held {
    /// The offer of this request to its home.
    pub(super) fn offer(&self, sequence: u64, now: Instant) -> Message {
        let spec = &self.spec;
        let made = match self.stage {
            Stage::Waiting(timer) if timer.is_ack_requested() => OfferKind::Again,
            _ if self.moved => OfferKind::Moved,
            _ => OfferKind::First,
        };
        Message::Offer(message::Offer {
            shard: self.shard.clone(),
            sequence,
            made,
            rank: spec.rank,
            priority: spec.priority,
            account: spec.account.clone(),
            weight: spec.weight,
            prompt_tokens: spec.prompt_tokens,
            waited_ms: millis(now.saturating_duration_since(spec.arrived)),
            left_ms: millis(spec.first_token_deadline.saturating_duration_since(now)),
            first_token_ms: millis(spec.first_token_target),
            pause_ms: millis(spec.pause),
            answer_tokens: spec.answer_tokens,
            whole_ms: millis(spec.answer_deadline.saturating_duration_since(now)),
            avoid: spec.avoid.clone(),
            early: spec.early,
            returning: spec.returning,
            mark: spec.mark,
            opening: spec.opening,
            versions: spec.versions.clone(),
        })
    }

    /// The message that hands this request over to a new home.
    fn handover(&self, sequence: u64, now: Instant) -> Message {
        match &self.stage {
            Stage::Waiting(_) => self.offer(sequence, now),
            Stage::Granted {
                server, prefilled, ..
            } => Message::Adopt {
                shard: self.shard.clone(),
                sequence,
                server: server.clone(),
                prompt_tokens: self.spec.prompt_tokens,
                prefilled: *prefilled,
            },
        }
    }

    /// Assigns this request to a shard and its home; returns the previous home.
    pub(super) fn reassign(&mut self, shard: &Shard, home: Name, now: Instant) -> Name {
        self.shard = shard.clone();
        if let Stage::Waiting(timer) = &mut self.stage {
            *timer = OfferTimer::start(now);
        }
        std::mem::replace(&mut self.home, home)
    }
}

/// The point in `[0, 1)` that a mark stands for.
fn point_of(mark: u64) -> f64 {
    /// Number of high bits of a mark that determine the point.
    const BITS: u32 = 32;
    let high = u32::try_from(mark >> BITS).unwrap_or(u32::MAX);
    f64::from(high) / (f64::from(u32::MAX) + 1.0)
}
