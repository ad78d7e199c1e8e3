//! Streams of services with several software versions: records which version began each stream, tells the hosts that keep
//! the stream's group, and asks them when a caller takes a stream up.
//!
//! While a service has one version, nothing is told, and only streams that break off are recorded. Otherwise a stream is
//! told with its first event, together with the others of the last moments.

mod ledger;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use slog::Logger;

use crate::coordination::origin::{
    Evidence, GROUPS, History, Id, Records, Report, Verdict, Version,
};
use crate::coordination::rollout::version::SETTLE_TIME;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::platform::{Entry, ServiceVersions};
use crate::state::units::millis;
use crate::transport::node::Node;
use crate::transport::peers::links::Links;
use crate::transport::runtime::{lock, timeout};

use ledger::Ledger;
pub(crate) use ledger::run;

/// Number of hosts that keep a group of streams, besides those that relayed them.
const KEEPERS: usize = 3;
/// How long the hosts that keep a stream may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a stream is taken up again at most, before a configuration tells the longest time-out.
const RETENTION_DEFAULT: Duration = Duration::from_secs(60);
/// Multiple of the longest time-out of a route for which a stream is remembered: it may break off at its end, and be
/// taken up for as long again.
const RETENTION_TIMEOUTS: u32 = 2;
/// Time after which a restarted host is told again which streams it keeps: messages over a link that is still being
/// connected are lost.
const RETELL_DELAY: Duration = Duration::from_secs(1);
/// Most streams in one message.
const TOLD_MAX: usize = 1_024;

/// Whether a service has several versions; shared with the streams that are relayed.
#[derive(Debug, Default)]
struct Service {
    has_several: AtomicBool,
}

/// The services' versions in the host list.
#[derive(Debug, Default)]
struct Listed {
    /// Those of this region.
    here: ServiceVersions,
    /// Those of other regions.
    elsewhere: ServiceVersions,
}

impl Listed {
    /// The versions of all regions.
    fn all(&self) -> ServiceVersions {
        let mut all = self.here.clone();
        for (service, versions) in &self.elsewhere {
            let own = all.entry(service.clone()).or_default();
            own.extend(versions.iter().cloned());
        }
        all
    }
}

/// How the version of a stream became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// It was recorded for the stream.
    Recorded,
    /// The service had no other version.
    OnlyVersion,
}

impl Source {
    /// Returns the name used in logs and metrics.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// The version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    pub(crate) version: Version,
    pub(crate) source: Source,
}

/// Why the version that began a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// Two versions may have begun it.
    #[error("no host knows which of several versions began the stream")]
    Unknown,
    /// The hosts that may know did not answer.
    #[error("the hosts that may know which version began the stream gave no answer")]
    Unanswered,
    /// All hosts have started recently, and the platform does not tell which versions there were.
    #[error("all hosts have just started, and it is not known which versions there were before")]
    Unconfirmed,
}

/// This host's part of what is known of streams.
pub(crate) struct Streams {
    me: Name,
    links: Arc<Links>,
    log: Logger,
    services: ArcSwap<HashMap<Name, Arc<Service>>>,
    listed: Mutex<Listed>,
    histories: Mutex<BTreeMap<Name, History>>,
    records: Mutex<Records>,
    /// Streams to tell, by host and version.
    outgoing: Mutex<BTreeMap<(Name, Version), Vec<Id>>>,
    /// The hosts that keep each group, as last seen.
    keepers: Mutex<HashMap<u8, Arc<[Name]>>>,
    /// Hosts whose processes have been replaced, and when they are told again what they keep.
    restarted: Mutex<BTreeMap<Name, Instant>>,
    queries: Mutex<HashMap<u64, Sender<Report>>>,
    next_query: AtomicU64,
    retention_ms: AtomicU64,
    ledger: Ledger,
}

impl Streams {
    pub(crate) fn new(me: Name, links: Arc<Links>, log: Logger) -> Self {
        Self {
            me,
            links,
            log,
            services: ArcSwap::default(),
            listed: Mutex::default(),
            histories: Mutex::default(),
            records: Mutex::default(),
            outgoing: Mutex::default(),
            keepers: Mutex::default(),
            restarted: Mutex::default(),
            queries: Mutex::default(),
            next_query: AtomicU64::new(1),
            retention_ms: AtomicU64::new(millis(RETENTION_DEFAULT)),
            ledger: Ledger::default(),
        }
    }

    /// Sets the longest time-out of a route that streams may have.
    pub(crate) fn set_longest_timeout(&self, longest: Duration) {
        let retention = millis(longest * RETENTION_TIMEOUTS);
        self.retention_ms.store(retention, Ordering::Relaxed);
    }

    /// How long a stream is remembered.
    fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms.load(Ordering::Relaxed))
    }

    /// Number of streams that this host remembers.
    pub(crate) fn recorded(&self) -> usize {
        lock(&self.records).len()
    }

    /// Updates the services' versions in other regions, at whose hosts streams of this region may have begun.
    pub(crate) fn update_elsewhere(&self, elsewhere: ServiceVersions, now: Instant) {
        let has_changed = {
            let mut listed = lock(&self.listed);
            let has_changed = listed.elsewhere != elsewhere;
            listed.elsewhere = elsewhere;
            has_changed
        };
        if has_changed {
            self.apply_listed(now);
        }
    }

    /// Updates the services' versions from the servers of this region in the host list.
    pub(crate) fn update_listed<'a>(&self, servers: impl Iterator<Item = &'a Entry>, now: Instant) {
        let mut listed = ServiceVersions::new();
        for entry in servers {
            if let Some(service) = &entry.service {
                let versions = listed.entry(service.clone()).or_default();
                versions.insert(entry.version.clone());
            }
        }
        lock(&self.listed).here = listed;
        self.apply_listed(now);
    }

    /// Applies the listed versions of all regions to the histories.
    fn apply_listed(&self, now: Instant) {
        let listed = lock(&self.listed).all();
        {
            let mut histories = lock(&self.histories);
            for service in listed.keys() {
                histories.entry(service.clone()).or_default();
            }
            let none = BTreeSet::new();
            for (service, history) in histories.iter_mut() {
                history.apply_list(listed.get(service).unwrap_or(&none), now);
            }
        }
        self.refresh(now);
    }

    /// Updates which services have several versions, and tells what was recorded when a service gets another one.
    pub(crate) fn refresh(&self, now: Instant) {
        let retention = self.retention();
        let histories = lock(&self.histories);
        let several: Vec<(Name, bool)> = histories
            .iter()
            .map(|(service, history)| (service.clone(), history.recent(retention, now).len() > 1))
            .collect();
        drop(histories);
        let mut has_begun = false;
        for (name, has_several) in several {
            let service = self.service(&name);
            let before = service.has_several.swap(has_several, Ordering::Relaxed);
            if before != has_several {
                slog::info!(
                    self.log, "streams of a service are told to other hosts, or no longer";
                    "service" => &*name, "told" => has_several,
                );
                has_begun |= has_several;
            }
        }
        lock(&self.records).forget_old(retention, now);
        if has_begun {
            self.tell_all(|_, _| true);
        }
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

    /// The shared state of a service, which is added if it is missing.
    fn service(&self, name: &Name) -> Arc<Service> {
        if let Some(service) = self.services.load().get(name) {
            return Arc::clone(service);
        }
        let new = Arc::new(Service::default());
        self.services.rcu(|services| {
            let mut all = HashMap::clone(services);
            all.entry(name.clone()).or_insert_with(|| Arc::clone(&new));
            all
        });
        let services = self.services.load();
        Arc::clone(services.get(name).unwrap_or(&new))
    }

    /// The hosts that keep a group of streams.
    fn keepers_of(&self, group: u8) -> Arc<[Name]> {
        self.links.spread(&format!("streams/{group}"), KEEPERS)
    }

    /// Records the version of a stream, and tells the hosts that keep it with the next `flush`.
    fn tell(&self, id: Id, version: &Version, now: Instant) {
        let retention = self.retention();
        lock(&self.records).note(id, version, retention, now);
        let keepers = self.keepers_of(id.group());
        self.tell_keepers(id, version, &keepers);
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
    fn tell_all(&self, is_told: impl Fn(u8, &Name) -> bool) {
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
        for (group, keepers) in known.iter_mut() {
            let current = self.keepers_of(*group);
            let before = std::mem::replace(keepers, Arc::clone(&current));
            let mut stayed = before.iter().filter(|keeper| current.contains(keeper));
            let has_kept = before.contains(&self.me);
            if before != current && (has_kept || stayed.next().is_none()) {
                changed.insert(*group, before);
            }
        }
        drop(known);
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
        let mut known = lock(&self.keepers);
        for group in groups {
            known.entry(group).or_insert_with(|| self.keepers_of(group));
        }
    }

    /// Answers another host's question.
    pub(crate) fn handle_query(
        &self,
        from: &Name,
        sequence: u64,
        service: &Name,
        stream: Option<Id>,
        now: Instant,
    ) {
        let report = self.report(service, stream, now);
        self.links
            .send(from, Message::OriginReply { sequence, report });
    }

    /// Handles the reply to a question of this host.
    pub(crate) fn handle_reply(&self, sequence: u64, report: Report) {
        if let Some(reports) = lock(&self.queries).get(&sequence) {
            // The channel has room for a reply of each host that was asked.
            let _ = reports.try_send(report);
        }
    }

    /// What this host knows of a stream.
    fn report(&self, service: &Name, stream: Option<Id>, now: Instant) -> Report {
        let (version, is_conflicting) = {
            let records = lock(&self.records);
            let version = stream.and_then(|id| records.version(&id).cloned());
            (
                version,
                stream.is_some_and(|id| records.is_conflicting(&id)),
            )
        };
        let histories = lock(&self.histories);
        let history = histories.get(service);
        Report {
            version,
            is_conflicting,
            recent: history.map_or_else(BTreeSet::new, |it| it.recent(self.retention(), now)),
            span: history.map_or(Duration::ZERO, |history| history.span(now)),
        }
    }

    /// Finds the version that began a stream; `stream` is `None` if the caller does not name it.
    pub(crate) async fn find(
        &self,
        node: &Node,
        service: &Name,
        stream: Option<Id>,
    ) -> Result<Known, Error> {
        let retention = self.retention();
        let own = self.report(service, stream, Instant::now());
        if let Some(version) = &own.version {
            return Ok(Known {
                version: version.clone(),
                source: Source::Recorded,
            });
        }
        let mut evidence = Evidence {
            reports: vec![own],
            asked: 0,
            is_current: false,
        };
        self.ask(service, stream, &mut evidence).await;
        evidence.is_current = node.confirmed_ago().is_some_and(|ago| ago <= SETTLE_TIME);
        let mut verdict = evidence.decide(None, retention);
        if verdict == Verdict::Unconfirmed {
            let stored = self.ledger.read(node, service).await;
            verdict = evidence.decide(stored.as_ref(), retention);
        }
        let source = if evidence.is_recorded() {
            Source::Recorded
        } else {
            Source::OnlyVersion
        };
        match verdict {
            Verdict::Version(version) => Ok(Known { version, source }),
            Verdict::Unknown => Err(Error::Unknown),
            Verdict::Unconfirmed => Err(Error::Unconfirmed),
            Verdict::Unanswered => Err(Error::Unanswered),
        }
    }

    /// Asks the hosts that keep a stream, and adds their reports until one knows its version.
    async fn ask(&self, service: &Name, stream: Option<Id>, evidence: &mut Evidence) {
        let group = stream.map_or(0, |id| id.group());
        let keepers = self.keepers_of(group);
        let others: Vec<&Name> = keepers.iter().filter(|host| **host != self.me).collect();
        evidence.asked = others.len();
        if others.is_empty() {
            return;
        }
        let query = Query::open(self, others.len());
        for keeper in &others {
            let message = Message::OriginQuery {
                sequence: query.sequence,
                service: service.clone(),
                stream,
            };
            self.links.send(keeper, message);
        }
        let collect = async {
            for _ in &others {
                let Ok(report) = query.replies.recv().await else {
                    break;
                };
                let is_known = report.version.is_some() || report.is_conflicting;
                evidence.reports.push(report);
                if is_known {
                    break;
                }
            }
        };
        // Hosts that do not answer in time count as not knowing the stream.
        let _ = timeout(QUERY_TIMEOUT, collect).await;
    }
}

/// A question whose replies are awaited; dropping it ends the wait.
struct Query<'a> {
    streams: &'a Streams,
    sequence: u64,
    replies: Receiver<Report>,
}

impl<'a> Query<'a> {
    fn open(streams: &'a Streams, asked: usize) -> Self {
        let sequence = streams.next_query.fetch_add(1, Ordering::Relaxed);
        let (sender, replies) = async_channel::bounded(asked);
        lock(&streams.queries).insert(sequence, sender);
        Self {
            streams,
            sequence,
            replies,
        }
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        lock(&self.streams.queries).remove(&self.sequence);
    }
}

/// A stream that this host relays; dropping it records the version if the stream may be taken up again.
pub(crate) struct Relayed {
    streams: Arc<Streams>,
    service: Arc<Service>,
    /// The stream, and the version that began it once its first event has been relayed.
    id: Id,
    version: Option<Version>,
    is_told: bool,
    is_whole: bool,
}

impl Relayed {
    /// Starts to follow a stream that this host relays.
    pub(crate) fn open(streams: &Arc<Streams>, service: &Name, id: Id) -> Self {
        Self {
            service: streams.service(service),
            streams: Arc::clone(streams),
            id,
            version: None,
            is_told: false,
            is_whole: false,
        }
    }

    /// Notes that events of a version are relayed. The stream is told with its first event, or as soon as the service
    /// has several versions.
    pub(crate) fn note_events(&mut self, version: &Version) {
        if self.version.is_none() {
            self.version = Some(version.clone());
        }
        if !self.is_told && self.service.has_several.load(Ordering::Relaxed) {
            self.is_told = true;
            self.streams.tell(self.id, version, Instant::now());
        }
    }

    /// Notes that the stream has ended, so that it is not taken up again.
    pub(crate) fn note_end(&mut self) {
        self.is_whole = true;
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if self.is_whole || self.is_told {
            return;
        }
        if let Some(version) = &self.version {
            let retention = self.streams.retention();
            let mut records = lock(&self.streams.records);
            records.note(self.id, version, retention, Instant::now());
        }
    }
}
