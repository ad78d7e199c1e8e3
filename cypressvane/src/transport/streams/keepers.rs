//! Tells which versions began streams to the hosts that keep the streams' groups.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::Streams;
use crate::coordination::origin::{GROUPS, Id, Version};
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::transport::runtime::lock;

/// Number of hosts that keep a group of streams, besides those that relayed them.
const KEEPERS: usize = 3;
/// Delay of the second message that tells a restarted host which streams it keeps; the first one is lost if the link is
/// still being connected.
const RETELL_DELAY: Duration = Duration::from_secs(1);
/// Most streams in one message.
const TOLD_MAX: usize = 1_024;

impl Streams {
    /// The hosts that keep a group of streams.
    pub(super) fn keepers_of(&self, group: u8) -> Arc<[Name]> {
        self.links.spread(&format!("streams/{group}"), KEEPERS)
    }

    /// Records the version of a stream, and tells the hosts that keep it with the next `flush`.
    pub(super) fn tell(&self, id: Id, version: &Version, now: Instant) {
        let retention = self.retention();
        lock(&self.records).note(id, version, retention, now);
        let keepers = self.keepers_of(id.group());
        self.tell_keepers(id, version, &keepers);
        self.archive(id, version);
        lock(&self.keepers).entry(id.group()).or_insert(keepers);
    }

    fn tell_keepers(&self, id: Id, version: &Version, keepers: &[Name]) {
        let mut outgoing = lock(&self.outgoing);
        for keeper in keepers.iter().filter(|keeper| **keeper != self.me) {
            let streams = outgoing.entry((keeper.clone(), version.clone()));
            streams.or_default().push(id);
        }
    }

    /// Tells the recorded streams to the hosts that keep them, as far as `is_told` selects the group and the host.
    pub(super) fn tell_all(&self, is_told: impl Fn(u8, &Name) -> bool) {
        let keepers: Vec<Arc<[Name]>> = (0..GROUPS).map(|group| self.keepers_of(group)).collect();
        let records = lock(&self.records);
        for (id, version) in records.iter() {
            let group = id.group();
            let told = keepers[usize::from(group)].iter();
            let told: Vec<Name> = told
                .filter(|keeper| is_told(group, keeper))
                .cloned()
                .collect();
            self.tell_keepers(*id, version, &told);
        }
    }

    /// Tells the recorded streams of a group to the hosts that have come to keep it. Those that kept it before do, or
    /// all hosts if none is left.
    pub(crate) fn follow_keepers(&self) {
        let mut known = lock(&self.keepers);
        if self.recorded() == 0 {
            known.clear();
            return;
        }
        let mut changed: HashMap<u8, Arc<[Name]>> = HashMap::new();
        let mut taken_over = Vec::new();
        for (group, keepers) in known.iter_mut() {
            let current = self.keepers_of(*group);
            let before = std::mem::replace(keepers, Arc::clone(&current));
            let mut stayed = before.iter().filter(|keeper| current.contains(keeper));
            let has_kept = before.contains(&self.me);
            if current.first() == Some(&self.me) && before.first() != Some(&self.me) {
                taken_over.push(*group);
            }
            if before != current && (has_kept || stayed.next().is_none()) {
                changed.insert(*group, before);
            }
        }
        drop(known);
        if self.uses_archive(Instant::now()) {
            self.take_over(&taken_over);
        }
        if !changed.is_empty() {
            self.tell_all(|group, keeper| {
                let before = changed.get(&group);
                before.is_some_and(|before| !before.contains(keeper))
            });
        }
    }

    /// Tells a host whose process has been replaced the streams that it keeps, now and again when the link to the new
    /// process is connected for certain.
    pub(crate) fn note_restarted(&self, host: &Name, now: Instant) {
        lock(&self.restarted).insert(host.clone(), now + RETELL_DELAY);
        self.inform(host);
    }

    /// Tells a host the recorded streams that it keeps. All others that keep them do, since any of them may have been
    /// restarted too and know nothing yet.
    pub(crate) fn inform(&self, host: &Name) {
        if self.recorded() == 0 {
            return;
        }
        self.tell_all(|group, keeper| keeper == host && self.keepers_of(group).contains(&self.me));
    }

    /// Tells the hosts that have restarted a while ago again which streams they keep.
    pub(crate) fn inform_restarted(&self, now: Instant) {
        let due = {
            let mut restarted = lock(&self.restarted);
            let all = std::mem::take(&mut *restarted).into_iter();
            let (due, later): (BTreeMap<_, _>, BTreeMap<_, _>) =
                all.partition(|(_, at)| *at <= now);
            *restarted = later;
            due
        };
        for host in due.keys() {
            self.inform(host);
        }
    }

    /// Sends what is to be told.
    pub(crate) fn flush(&self) {
        let outgoing = std::mem::take(&mut *lock(&self.outgoing));
        for ((keeper, version), streams) in outgoing {
            for part in streams.chunks(TOLD_MAX) {
                let message = Message::Origins {
                    version: version.clone(),
                    streams: part.to_vec(),
                };
                self.links.send(&keeper, message);
            }
        }
    }

    /// Handles what another host tells of streams.
    pub(crate) fn handle_origins(&self, version: &Version, streams: &[Id], now: Instant) {
        let retention = self.retention();
        let mut groups = BTreeSet::new();
        {
            let mut records = lock(&self.records);
            for id in streams {
                records.note(*id, version, retention, now);
                groups.insert(id.group());
            }
        }
        for id in streams {
            self.archive(*id, version);
        }
        let mut known = lock(&self.keepers);
        for group in groups {
            known.entry(group).or_insert_with(|| self.keepers_of(group));
        }
    }
}
