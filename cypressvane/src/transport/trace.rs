//! Metrics and log line of one request.

use std::sync::Arc;
use std::time::Duration;

use crate::protocol::headers::Load;
use crate::protocol::refusal::Reason;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::accounts::Charge;
use crate::transport::metrics::Times;
use crate::transport::node::Node;
use crate::transport::scheduler::Grant;
use crate::transport::streams;

/// The outcome of a request whose whole answer was relayed.
pub(crate) const ANSWERED: &str = "answered";
/// The outcome of a request whose caller disconnected.
const CALLER_GONE: &str = "caller_gone";
/// The log value where there is no backend server.
const NO_SERVER: &str = "-";

/// The record of an admitted request; dropping it counts, logs and releases the request.
pub(crate) struct Trace {
    node: Arc<Node>,
    pub(crate) times: Times,
    pub(crate) request_id: String,
    pub(crate) account: Name,
    pub(crate) tier: Name,
    pub(crate) service: Name,
    pub(crate) arrived: Instant,
    server: Name,
    /// Version of the server's software.
    server_version: Option<Name>,
    /// The version that began the stream with which the request goes on, if it does.
    stream: Option<streams::Known>,
    /// The host that passed the request on to the server; `None` if it went directly.
    through: Option<Name>,
    outcome: &'static str,
    /// Answer tokens relayed; `None` if the answer is relayed without being parsed.
    tokens: Option<u64>,
    /// Time from arrival until the request may wait: its head and body were read, and its account's limit allowed it.
    admitted_ms: u64,
    waited_ms: Option<u64>,
    /// Time from arrival to an established connection to a server.
    connected_ms: Option<u64>,
    /// Forecast time from the grant to the first token.
    forecast_ms: Option<u64>,
    first_ms: Option<u64>,
    longest_gap: Duration,
    /// The server's load when it answered, if the server stated it.
    load: Option<Load>,
    /// The charge to the account, until the request is sent.
    charge: Option<Charge>,
    /// Why the request was refused or failed, and when its caller should retry.
    reason: Option<Reason>,
}

impl Trace {
    /// Starts the record of a request that its account's limits have admitted.
    pub(crate) fn new(
        node: &Arc<Node>,
        request_id: String,
        account: Name,
        tier: Name,
        service: Name,
        arrived: Instant,
    ) -> Self {
        node.metrics.held.inc();
        Self {
            times: node.metrics.times(&tier, &service),
            node: Arc::clone(node),
            request_id,
            account,
            tier,
            service,
            arrived,
            server: Name::from(NO_SERVER),
            server_version: None,
            stream: None,
            through: None,
            outcome: CALLER_GONE,
            tokens: None,
            admitted_ms: millis(arrived.elapsed()),
            waited_ms: None,
            connected_ms: None,
            forecast_ms: None,
            first_ms: None,
            longest_gap: Duration::ZERO,
            load: None,
            charge: None,
            reason: None,
        }
    }

    /// Records the charge to the account, which is given back if the request is never sent.
    pub(crate) fn record_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }

    /// Records which version began the stream with which the request goes on.
    pub(crate) fn record_stream(&mut self, begun: &streams::Known) {
        self.stream = Some(begun.clone());
    }

    /// Records that the request is sent to a backend server.
    pub(crate) fn record_sent(&mut self) {
        self.charge = None;
    }

    /// Records the server that the request is granted.
    pub(crate) fn record_grant(&mut self, grant: &Grant) {
        self.server = grant.server.clone();
        self.server_version.clone_from(&grant.version);
        self.forecast_ms = Some(millis(grant.first_token));
        let waited = self.arrived.elapsed();
        self.waited_ms = Some(millis(waited));
        self.times.waiting.observe(waited.as_secs_f64());
    }

    /// Records that a connection to the server is established, `through` another host or directly.
    pub(crate) fn record_connected(&mut self, through: Option<&Name>) {
        self.connected_ms = Some(millis(self.arrived.elapsed()));
        self.through = through.cloned();
        self.node
            .metrics
            .network
            .detours
            .inc_by(u64::from(through.is_some()));
    }

    /// Records that the answer comes from another server than the one that the request was granted first.
    pub(crate) fn record_other_server(&mut self, grant: &Grant, through: Option<&Name>) {
        self.server = grant.server.clone();
        self.server_version.clone_from(&grant.version);
        self.through = through.cloned();
    }

    /// The server that the request was last granted.
    pub(crate) fn server(&self) -> &str {
        &self.server
    }

    /// Records the load of the server that answered.
    pub(crate) fn record_load(&mut self, load: Option<Load>) {
        self.load = load;
    }

    /// Records the arrival of the answer, or of the first event of a stream.
    pub(crate) fn record_first_token(&mut self) {
        let elapsed = self.arrived.elapsed();
        self.first_ms.get_or_insert(millis(elapsed));
        self.times.first_token.observe(elapsed.as_secs_f64());
    }

    /// Records a pause between two parts of a stream.
    pub(crate) fn record_gap(&mut self, pause: Duration) {
        self.longest_gap = self.longest_gap.max(pause);
        self.times.between_tokens.observe(pause.as_secs_f64());
    }

    /// Adds answer tokens that were relayed.
    pub(crate) fn count_tokens(&mut self, tokens: u64) {
        self.tokens = Some(self.tokens.unwrap_or_default() + tokens);
    }

    /// Records why the request was refused or failed.
    pub(crate) fn record_failure(&mut self, reason: &Reason) {
        self.outcome = reason.code.text();
        self.reason = Some(reason.clone());
    }

    /// Records how the request ended.
    pub(crate) fn record_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Trace {
    fn retry_after(&self) -> Option<Duration> {
        self.reason.as_ref()?.retry_after
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.node.accounts.release(&self.account);
        if let Some(charge) = &self.charge {
            self.node.give_back(&self.account, charge);
        }
        let metrics = &self.node.metrics;
        metrics.held.dec();
        metrics
            .requests
            .with_label_values(&[&self.tier, &self.service, self.outcome])
            .inc();
        metrics
            .tokens
            .with_label_values(&[&self.tier, &self.service])
            .inc_by(self.tokens.unwrap_or_default());
        slog::info!(
            self.node.log, "request";
            "request_id" => &self.request_id,
            "account" => &*self.account,
            "tier" => &*self.tier,
            "service" => &*self.service,
            "server" => &*self.server,
            "server_version" => self.server_version.as_deref(),
            "stream_version" => self.stream.as_ref().and_then(|it| it.version.as_deref()),
            "stream_known" => self.stream.as_ref().map(|it| it.source.text()),
            "stream_known_by" => self.stream.as_ref().and_then(|it| it.informant.as_deref()),
            "through" => self.through.as_deref(),
            "outcome" => self.outcome,
            "tokens" => self.tokens,
            "admitted_ms" => self.admitted_ms,
            "waited_ms" => self.waited_ms,
            "connected_ms" => self.connected_ms,
            "forecast_ms" => self.forecast_ms,
            "first_ms" => self.first_ms,
            "gap_ms" => millis(self.longest_gap),
            "server_load" => self.load.map(|load| load.to_string()),
            "version" => self.node.version(),
            "confirmed_ms_ago" => self.node.confirmed_ago().map(millis),
            "reason" => self.reason.as_ref().map(|reason| reason.message.as_str()),
            "retry_after_ms" => self.retry_after().map(millis),
            "ms" => millis(self.arrived.elapsed()),
        );
    }
}
