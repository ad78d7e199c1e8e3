//! Finds the version that began a stream, and asks the hosts that keep the stream for it.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;

use super::Streams;
use crate::coordination::origin::{Evidence, Id, Report, Verdict, Version};
use crate::coordination::rollout::version::SETTLE_TIME;
use crate::protocol::message::Message;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::node::Node;
use crate::transport::runtime::{lock, timeout};

/// How long the hosts that keep a stream may take to answer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

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
    pub(crate) fn handle_reply(&self, from: &Name, sequence: u64, report: Report) {
        if let Some(replies) = lock(&self.queries).get(&sequence) {
            // The channel has room for a reply of each host that was asked.
            let _ = replies.try_send((from.clone(), report));
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
            is_current: false,
        };
        let informant = self.ask(service, stream, &mut evidence).await;
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
        let error = match verdict {
            Verdict::Version(version) => {
                return Ok(Known {
                    version,
                    source,
                    informant,
                });
            }
            Verdict::Unknown => Error::Unknown,
            Verdict::Unconfirmed => Error::Unconfirmed,
            Verdict::Unanswered => Error::Unanswered,
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
        if others.is_empty() {
            return None;
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
                let (host, report) = query.replies.recv().await.ok()?;
                let is_known = report.version.is_some() || report.is_conflicting;
                evidence.reports.push(report);
                if is_known {
                    return Some(host);
                }
            }
            None
        };
        // Hosts that do not answer in time count as not knowing the stream.
        timeout(QUERY_TIMEOUT, collect).await.flatten()
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
