//! Finds the version that began a stream, and asks the hosts that keep the stream for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future::or;

use super::{Streams, contact};
use crate::coordination::origin::{Evidence, Id, Report, Verdict, Version};
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::node::Node;
use crate::transport::runtime::{lock, spawn, timeout};

/// How long the hosts that keep a stream may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long hosts that have just started may take to read what is stored of a stream. Callers abandon a stream that is
/// silent for two seconds.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// The host that had the record; `None` if there is no record.
    pub(crate) informant: Option<Name>,
}

/// Why the version that began a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// Two versions may have begun it, and no host will come to know which one did.
    #[error("no host knows which of several versions began the stream")]
    Unknown,
    /// Hosts that may know did not answer, or have still to read what is stored.
    #[error("the hosts that may know which version began the stream gave no answer")]
    Unanswered,
    /// All hosts have started recently, and the platform does not tell which versions there were.
    #[error("all hosts have just started, and it is not known which versions there were before")]
    Unconfirmed,
}

impl Error {
    /// Returns the name used in metrics.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

impl Streams {
    /// Answers another host's question; `is_current` says whether this host has heard from the platform within the settle
    /// time. It answers once more when this host has read what is stored of the stream.
    pub(crate) fn handle_query(
        self: &Arc<Self>,
        from: &Name,
        sequence: u64,
        service: &Name,
        stream: Option<Id>,
        is_current: bool,
    ) {
        let now = Instant::now();
        let report = Report {
            is_current,
            ..self.report(service, stream, now)
        };
        let reads = stream.filter(|_| report.is_reading && report.version.is_none());
        self.links
            .send(from, Message::OriginReply { sequence, report });
        if let Some(id) = reads {
            let (streams, from, service) = (Arc::clone(self), from.clone(), service.clone());
            let answer_again = async move {
                timeout(READ_TIMEOUT, streams.until_read(id.group())).await;
                let report = Report {
                    is_reading: false,
                    is_current,
                    ..streams.report(&service, stream, Instant::now())
                };
                let reply = Message::OriginReply { sequence, report };
                streams.links.send(&from, reply);
            };
            spawn(answer_again).detach();
        }
    }

    /// Handles the reply to a question of this host.
    pub(crate) fn handle_reply(&self, from: &Name, sequence: u64, report: Report) {
        if let Some(replies) = lock(&self.queries).get(&sequence) {
            // The channel has room for all replies of the hosts that were asked.
            let _ = replies.try_send((from.clone(), report));
        }
    }

    /// What this host knows of a stream; whether it is current is for the caller to say.
    fn report(&self, service: &Name, stream: Option<Id>, now: Instant) -> Report {
        let is_reading = stream.is_some_and(|id| self.is_reading(id.group(), now));
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
            is_current: false,
            stored: self.ledger.stored(service),
            is_reading,
        }
    }

    /// Finds the version that began a stream for a request that takes it up; `stream` is `None` if the caller does not
    /// name it.
    pub(crate) async fn find(
        &self,
        node: &Node,
        request_id: &str,
        service: &Name,
        stream: Option<Id>,
    ) -> Result<Known, Error> {
        let retention = self.retention();
        let own = self.report(service, stream, Instant::now());
        if let Some(version) = &own.version {
            return Ok(Known {
                version: version.clone(),
                source: Source::Recorded,
                informant: Some(self.me.clone()),
            });
        }
        let mut evidence = Evidence {
            reports: vec![own],
            asked: 0,
            hears_most: false,
            stored: None,
        };
        let informant = self.ask(service, stream, &mut evidence).await;
        evidence.reports[0].is_current = contact::is_current(node);
        evidence.hears_most = self.links.hears_most();
        let mut verdict = evidence.decide(retention);
        if matches!(verdict, Verdict::Unconfirmed | Verdict::Unanswered) {
            evidence.stored = self.ledger.read(node, service).await;
            verdict = evidence.decide(retention);
        }
        let source = if evidence.is_recorded() {
            Source::Recorded
        } else {
            Source::OnlyVersion
        };
        let error = match verdict {
            Verdict::Version(version) => {
                return Ok(Known {
                    version,
                    source,
                    informant,
                });
            }
            Verdict::Unknown if evidence.is_final() => Error::Unknown,
            Verdict::Unknown | Verdict::Unanswered => Error::Unanswered,
            Verdict::Unconfirmed => Error::Unconfirmed,
        };
        slog::info!(
            self.log, "a stream is not taken up";
            "request_id" => request_id, "cause" => %error, "is_named" => stream.is_some(),
            "hosts_asked" => evidence.asked, "hosts_answered" => evidence.reports.len() - 1,
            "versions" => versions_text(&evidence),
            "is_conflicting" => evidence.reports.iter().any(|report| report.is_conflicting),
            "longest_span_ms" => evidence.reports.iter().map(|report| millis(report.span)).max(),
            "recorded" => self.recorded(),
        );
        Err(error)
    }

    /// Asks the hosts that keep a stream, and adds their reports until one knows its version; returns that host.
    ///
    /// The first report in `evidence` is this host's own; it is replaced if this host reads what is stored meanwhile.
    async fn ask(
        &self,
        service: &Name,
        stream: Option<Id>,
        evidence: &mut Evidence,
    ) -> Option<Name> {
        let group = stream.map_or(0, |id| id.group());
        let keepers = self.keepers_of(group);
        let others: Vec<&Name> = keepers.iter().filter(|host| **host != self.me).collect();
        evidence.asked = others.len();
        let query = Query::open(self, others.len());
        for keeper in &others {
            let message = Message::OriginQuery {
                sequence: query.sequence,
                service: service.clone(),
                stream,
            };
            self.links.send(keeper, message);
        }
        let mut replies = BTreeMap::new();
        let is_answered = |replies: &BTreeMap<Name, Report>| replies.len() >= others.len();
        // Hosts that do not answer in time count as not knowing the stream.
        let first = query.collect(&mut replies, is_answered);
        let mut informant = timeout(QUERY_TIMEOUT, first).await.flatten();
        let keeps = keepers.contains(&self.me);
        let reads = keeps && evidence.reports[0].is_reading;
        if informant.is_none() && (reads || replies.values().any(|it| it.is_reading)) {
            let is_read = |replies: &BTreeMap<Name, Report>| {
                !reads && replies.values().all(|report| !report.is_reading)
            };
            let later = query.collect(&mut replies, is_read);
            let own = async {
                if !reads {
                    std::future::pending::<()>().await;
                }
                self.until_read(group).await;
                None
            };
            informant = timeout(READ_TIMEOUT, or(later, own)).await.flatten();
        }
        if reads {
            let own = self.report(service, stream, Instant::now());
            if own.version.is_some() {
                informant = Some(self.me.clone());
            }
            evidence.reports[0] = own;
        }
        evidence.reports.extend(replies.into_values());
        informant
    }
}

/// The versions that may have begun a stream, for logs.
fn versions_text(evidence: &Evidence) -> String {
    let versions: BTreeSet<&Version> = evidence.reports.iter().flat_map(|it| &it.recent).collect();
    let texts: Vec<&str> = versions
        .iter()
        .map(|version| version.as_deref().unwrap_or("-"))
        .collect();
    texts.join(", ")
}

/// A question whose replies are awaited; dropping it ends the wait.
struct Query<'a> {
    streams: &'a Streams,
    sequence: u64,
    replies: Receiver<(Name, Report)>,
}

impl<'a> Query<'a> {
    fn open(streams: &'a Streams, asked: usize) -> Self {
        let sequence = streams.next_query.fetch_add(1, Ordering::Relaxed);
        // A host that reads what is stored replies twice.
        let (sender, replies) = async_channel::bounded((2 * asked).max(1));
        lock(&streams.queries).insert(sequence, sender);
        Self {
            streams,
            sequence,
            replies,
        }
    }

    /// Collects the replies until one knows the stream, which is returned, or until `is_complete`. A host's later reply
    /// replaces its earlier one.
    async fn collect(
        &self,
        replies: &mut BTreeMap<Name, Report>,
        is_complete: impl Fn(&BTreeMap<Name, Report>) -> bool,
    ) -> Option<Name> {
        while !is_complete(replies) {
            let (host, report) = self.replies.recv().await.ok()?;
            let is_known = report.version.is_some() || report.is_conflicting;
            replies.insert(host.clone(), report);
            if is_known {
                return Some(host);
            }
        }
        None
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        lock(&self.streams.queries).remove(&self.sequence);
    }
}
