//! Keeps the versions of streams in the table service once a service has several, so that streams go on after all hosts
//! that remember them have been killed.
//!
//! The first host that keeps a group writes its streams. The hosts that keep it read the rows when they start, and when
//! the group comes to them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_util::future::try_join_all;
use smol::Timer;

use super::Streams;
use crate::coordination::archive::{self, Group, Segment};
use crate::coordination::backoff::Backoff;
use crate::coordination::origin::{GROUPS, Id, RECORDS_MAX, Version};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Error, KeyValue};
use crate::transport::node::Node;
use crate::transport::runtime::lock;

/// Interval between two checks whether a service has several versions; shorter than the time after which a version that
/// joins others gets requests.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two checks whether there is something to read or to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which one host after the other writes. The streams of the last moments are unknown after all hosts have
/// been killed; all hosts together make at most 80 writes a second, of the 200 or more that the table service takes.
const SAVE_INTERVAL: Duration = Duration::from_micros(12_500);
/// Interval between two checks whether a host that starts has read the host list.
const START_INTERVAL: Duration = Duration::from_millis(5);
/// Most hosts of which each reads the rows of all groups when it starts. So few hosts keep most groups each.
const ALL_GROUPS_HOSTS_MAX: u32 = 16;
/// Delay after the first failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Whether the rows of a group have been read.
#[derive(Debug)]
enum Read {
    /// They are to be read. The channel is closed when they have been.
    Requested {
        _open: Sender<()>,
        closed: Receiver<()>,
    },
    Done,
}

/// What this host knows of the rows.
#[derive(Debug)]
pub(super) struct Archive {
    /// Beginning of the keys of all rows.
    prefix: String,
    groups: Mutex<BTreeMap<u8, Group>>,
    reads: Mutex<BTreeMap<u8, Read>>,
}

impl Archive {
    /// The archive of a region; other regions' hosts keep their streams themselves.
    pub(super) fn new(region: &Name) -> Self {
        Self {
            prefix: format!("streams/{region}"),
            groups: Mutex::default(),
            reads: Mutex::default(),
        }
    }

    /// Beginning of the keys of a group's rows.
    fn group_prefix(&self, group: u8) -> String {
        format!("{}/{group:02}/", self.prefix)
    }

    /// Adds a stream that is to be written.
    fn note(&self, id: Id, version: &Version) {
        let mut groups = lock(&self.groups);
        groups.entry(id.group()).or_default().note(id, version);
    }

    /// Number of streams that are to be written.
    pub(super) fn unsaved(&self) -> usize {
        lock(&self.groups).values().map(Group::unsaved).sum()
    }

    /// Requests that a group's rows are read; returns the channel that is closed when they have been, or `None` if they
    /// have been already.
    fn request(&self, group: u8) -> Option<Receiver<()>> {
        let mut reads = lock(&self.reads);
        let read = reads.entry(group).or_insert_with(|| {
            let (open, closed) = async_channel::bounded(1);
            Read::Requested {
                _open: open,
                closed,
            }
        });
        match read {
            Read::Requested { closed, .. } => Some(closed.clone()),
            Read::Done => None,
        }
    }

    /// Most streams of a group that are remembered when its rows are read.
    fn streams_max(&self) -> usize {
        RECORDS_MAX / lock(&self.reads).len().max(1)
    }

    /// The groups whose rows are to be read: those that were requested, and those to be written of which another host
    /// may have written since.
    fn to_read(&self) -> Vec<u8> {
        let is_requested = |read: &Read| matches!(read, Read::Requested { .. });
        let mut groups: Vec<u8> = lock(&self.reads)
            .iter()
            .filter(|(_, read)| is_requested(read))
            .map(|(group, _)| *group)
            .collect();
        for (group, state) in lock(&self.groups).iter() {
            if state.unsaved() > 0 && !state.is_read() && !groups.contains(group) {
                groups.push(*group);
            }
        }
        groups
    }

    /// Reads a group's rows; returns their streams, the oldest first.
    async fn read(&self, node: &Node, group: u8) -> Result<Vec<(Id, Version)>, Error> {
        let rows = node.table.list(&self.group_prefix(group)).await?;
        let mut segments = Vec::new();
        for KeyValue { key, value } in &rows {
            match Segment::parse(value) {
                Ok(segment) => segments.push(segment),
                Err(error) => log_malformed(node, key, &error),
            }
        }
        archive::sort_by_age(&mut segments);
        let mut groups = lock(&self.groups);
        groups.entry(group).or_default().continue_after(&segments);
        drop(groups);
        let mut streams = Vec::new();
        for segment in &segments {
            match segment.streams() {
                Ok(read) => streams.extend(read),
                Err(error) => log_malformed(node, &self.key(group, segment), &error),
            }
        }
        Ok(streams)
    }

    fn key(&self, group: u8, segment: &Segment) -> String {
        format!("{}{:03}", self.group_prefix(group), segment.slot())
    }

    /// Writes the unsaved streams of each group to its segment, all in one call.
    async fn save(&self, node: &Node) -> Result<(), Error> {
        let now = Instant::now();
        let segments: Vec<(u8, Segment)> = lock(&self.groups)
            .iter_mut()
            .filter_map(|(group, state)| Some((*group, state.take_segment(now)?)))
            .collect();
        if segments.is_empty() {
            return Ok(());
        }
        let rows: Vec<KeyValue> = segments
            .iter()
            .map(|(group, segment)| KeyValue {
                key: self.key(*group, segment),
                value: segment.value(),
            })
            .collect();
        let result = node.table.overwrite(&rows).await;
        if result.is_err() {
            let mut groups = lock(&self.groups);
            for (group, _) in &segments {
                groups.entry(*group).or_default().note_failure();
            }
        }
        result
    }
}

/// Reads the rows that this host needs when it starts, once the host list is there. Where there are many hosts, which
/// groups it keeps is known only later.
pub(super) async fn read_first(node: &Node) {
    while !node.links.has_host_list() {
        Timer::after(START_INTERVAL).await;
    }
    let streams = &node.streams;
    if !streams.uses_archive(Instant::now()) || node.links.known_hosts() > ALL_GROUPS_HOSTS_MAX {
        return;
    }
    for group in 0..GROUPS {
        streams.archive.request(group);
    }
    if let Err(error) = streams.read_requested(node).await {
        log_failure(node, &error);
    }
}

/// Reads and writes the rows of the groups that this host keeps, for as long as it runs.
pub(super) async fn run(node: &Node) {
    let mut saved_at = Instant::now();
    let mut recovered_at = node.platform_recovered_at();
    let mut backoff = Backoff::new(RETRY_DELAY);
    let mut interval = IDLE_INTERVAL;
    loop {
        Timer::after(interval).await;
        let streams = &node.streams;
        let now = Instant::now();
        let is_used = streams.uses_archive(now);
        if !is_used && streams.unsaved() == 0 {
            interval = IDLE_INTERVAL;
            continue;
        }
        interval = CHECK_INTERVAL;
        if is_used {
            streams.request_kept_groups();
            // The platform may have lost what was written last.
            let recovered = node.platform_recovered_at();
            if recovered != recovered_at {
                recovered_at = recovered;
                streams.archive_recorded(|_| true);
            }
        }
        let is_due = now.saturating_duration_since(saved_at) >= streams.save_interval();
        if is_due {
            saved_at = now;
        }
        match streams.sync_archive(node, is_due).await {
            Ok(()) => backoff = Backoff::new(RETRY_DELAY),
            Err(error) => {
                log_failure(node, &error);
                Timer::after(backoff.next_delay(false)).await;
            }
        }
    }
}

fn log_failure(node: &Node, error: &Error) {
    node.note_platform_failure("streams");
    slog::warn!(
        node.log, "the versions of streams are not read or kept yet";
        "cause" => %error, "unsaved" => node.streams.unsaved(),
    );
}

fn log_malformed(node: &Node, key: &str, error: &archive::Error) {
    slog::warn!(
        node.log, "a row of streams is malformed, and is left out";
        "key" => key, "cause" => %error,
    );
}

impl Streams {
    /// Whether there may be streams of several versions, now or before this host started.
    pub(super) fn uses_archive(&self, now: Instant) -> bool {
        let retention = self.retention();
        let Some(stored) = self.ledger.first() else {
            return false;
        };
        let histories = lock(&self.histories);
        histories.iter().any(|(service, history)| {
            let mut versions = history.recent(retention, now);
            if history.span(now) < retention {
                versions.extend(stored.get(service).into_iter().flatten().cloned());
            }
            versions.len() > 1
        })
    }

    /// Interval between two writes of this host.
    fn save_interval(&self) -> Duration {
        let keepers = (0..GROUPS).map(|group| self.keepers_of(group));
        let writers: BTreeSet<Name> = keepers
            .filter_map(|keepers| keepers.first().cloned())
            .collect();
        SAVE_INTERVAL * u32::try_from(writers.len()).unwrap_or(u32::MAX)
    }

    /// Whether this host writes the streams of a group.
    fn is_writer(&self, group: u8) -> bool {
        self.keepers_of(group).first() == Some(&self.me)
    }

    /// Adds a stream to those that are to be written, if this host writes its group.
    pub(super) fn archive(&self, id: Id, version: &Version) {
        if self.is_writer(id.group()) {
            self.archive.note(id, version);
        }
    }

    /// Adds all recorded streams of the selected groups that this host writes.
    pub(super) fn archive_recorded(&self, selects: impl Fn(u8) -> bool) {
        let written: Vec<bool> = (0..GROUPS)
            .map(|group| selects(group) && self.is_writer(group))
            .collect();
        let records = lock(&self.records);
        for (id, version) in records.iter() {
            if written[usize::from(id.group())] {
                self.archive.note(*id, version);
            }
        }
    }

    /// Takes over the writing of a group from another host.
    pub(super) fn take_over(&self, groups: &[u8]) {
        let mut states = lock(&self.archive.groups);
        for group in groups {
            states.entry(*group).or_default().suspend();
        }
        drop(states);
        self.archive_recorded(|group| groups.contains(&group));
    }

    /// Requests the rows of the groups that this host keeps, once it knows most hosts: until then it would take itself for
    /// a keeper of all groups.
    fn request_kept_groups(&self) {
        if !self.knows_most_hosts() {
            return;
        }
        for group in 0..GROUPS {
            if self.keepers_of(group).contains(&self.me) {
                self.archive.request(group);
            }
        }
    }

    fn knows_most_hosts(&self) -> bool {
        let links = &self.links;
        links.has_host_list() && links.candidate_count() * 2 >= links.known_hosts()
    }

    /// Returns whether the rows of a group are still to be read here, and requests them if so.
    pub(super) fn is_reading(&self, group: u8, now: Instant) -> bool {
        if !self.ledger.is_read() {
            return true;
        }
        self.uses_archive(now) && self.archive.request(group).is_some()
    }

    /// Waits until the rows of a group have been read.
    pub(super) async fn until_read(&self, group: u8) {
        if let Some(closed) = self.archive.request(group) {
            // Nothing is sent: the channel is closed.
            let _ = closed.recv().await;
        }
    }

    /// Reads the requested rows, and writes the streams that are to be written if that `is_due`.
    async fn sync_archive(&self, node: &Node, is_due: bool) -> Result<(), Error> {
        if !self.ledger.is_read() || !self.knows_most_hosts() {
            return Ok(());
        }
        self.read_requested(node).await?;
        if is_due {
            self.archive.save(node).await?;
        }
        Ok(())
    }

    /// Reads the rows of all groups that are to be read, at the same time.
    async fn read_requested(&self, node: &Node) -> Result<(), Error> {
        let reads = self.archive.to_read().into_iter();
        let reads = reads.map(|group| self.read_group(node, group));
        try_join_all(reads).await?;
        Ok(())
    }

    async fn read_group(&self, node: &Node, group: u8) -> Result<(), Error> {
        let streams = self.archive.read(node, group).await?;
        slog::info!(
            self.log, "the streams of a group were read from the platform";
            "group" => group, "streams" => streams.len(),
        );
        // The rows may hold more than this host remembers, and each group gets its part of that room.
        let newest = streams.len().saturating_sub(self.archive.streams_max());
        let (retention, now) = (self.retention(), Instant::now());
        let mut records = lock(&self.records);
        for (id, version) in &streams[newest..] {
            records.note(*id, version, retention, now);
        }
        drop(records);
        lock(&self.archive.reads).insert(group, Read::Done);
        Ok(())
    }
}
