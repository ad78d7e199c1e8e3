//! Prometheus metrics of a host.

use prometheus::{
    Encoder as _, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, Opts, Registry, TextEncoder,
};

use crate::coordination::dump::Share;
use crate::state::units::to_f64;
use crate::transport::memory;
use crate::transport::peers::links::Counters;

/// Buckets of waiting and first-token times, in seconds; 0.46 is the planned upper bound.
const TIME_BUCKETS: [f64; 12] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.46, 1.0, 2.0, 5.0, 15.0, 60.0,
];
/// Buckets of the time between tokens, in seconds; 0.041 is the planned upper bound.
const TOKEN_BUCKETS: [f64; 9] = [0.001, 0.005, 0.01, 0.02, 0.041, 0.08, 0.16, 0.5, 2.0];

/// The metrics of a host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests that ended, by tier, service and outcome.
    pub(crate) requests: IntCounterVec,
    /// Answer tokens passed on, by tier and service.
    pub(crate) tokens: IntCounterVec,
    /// Failed policy programs, by policy.
    pub(crate) policy_failures: IntCounterVec,
    /// Platform calls without an answer, by service.
    pub(crate) platform_failures: IntCounterVec,
    /// Requests under which servers end.
    pub(crate) quarantine: Quarantine,
    /// Versions fetched from other hosts because the platform did not provide them.
    pub(crate) fetched_configurations: IntCounter,
    /// What backend servers state of themselves.
    pub(crate) notices: Notices,
    /// The ways to the backend servers.
    pub(crate) network: Network,
    /// Streams that are taken up.
    pub(crate) streams: Streams,
    /// Accounts that share pools.
    pub(crate) shares: Shares,
    /// Second servers that were sought for silent ones, by what came of it.
    pub(crate) hedges: IntCounterVec,
    /// Connections of callers on routes.
    pub(crate) connections: Connections,
    /// What is held for others.
    pub(crate) memory: Memory,
    /// Requests that wait or run here.
    pub(crate) held: IntGauge,
    /// Configuration version in force.
    pub(crate) version: IntGauge,
    waiting: HistogramVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
}

/// The histograms for one tier and service.
#[derive(Clone, Debug)]
pub(crate) struct Times {
    /// Time from arrival to grant, in seconds.
    pub(crate) waiting: Histogram,
    /// Time from arrival to the first token, in seconds.
    pub(crate) first_token: Histogram,
    /// Time from one token to the next, in seconds.
    pub(crate) between_tokens: Histogram,
}

/// Metrics of requests under which backend servers end.
#[derive(Debug)]
pub(crate) struct Quarantine {
    /// Ends of servers that were running a request, counted once for each request.
    pub(crate) server_ends: IntCounter,
    /// Requests refused, and second sendings given up, because servers end under them.
    pub(crate) refusals: IntCounter,
    /// The same because a request with the same suspected feature runs.
    pub(crate) turn_refusals: IntCounter,
    /// Requests in quarantine.
    pub(crate) kept: IntGauge,
}

impl Quarantine {
    fn new(
        counter: impl Fn(&str, &str) -> IntCounter,
        gauge: impl Fn(&str, &str) -> IntGauge,
    ) -> Self {
        Self {
            server_ends: counter(
                "cypressvane_server_ends_total",
                "Requests that ran at a server which ended.",
            ),
            refusals: counter(
                "cypressvane_quarantine_refusals_total",
                "Requests refused, and second sendings given up, since servers end under them.",
            ),
            turn_refusals: counter(
                "cypressvane_turn_refusals_total",
                "Requests refused, and second sendings given up, since a request with the same suspected feature ran.",
            ),
            kept: gauge(
                "cypressvane_quarantined_requests",
                "Requests that are kept from the servers.",
            ),
        }
    }
}

/// Metrics of what backend servers state of themselves in their answers.
#[derive(Debug)]
pub(crate) struct Notices {
    /// Answers with a malformed limit.
    pub(crate) malformed_limits: IntCounter,
    /// Refusals with a malformed `Retry-After`.
    pub(crate) malformed_rests: IntCounter,
    /// Servers that state a limit, in the pools whose home is this host.
    pub(crate) limited: IntGauge,
    /// Servers that are leaving by their own statement, in these pools.
    pub(crate) leaving: IntGauge,
    /// Servers that rest, in these pools.
    pub(crate) resting: IntGauge,
    /// Answers with a malformed statement of how brittle the server is.
    pub(crate) malformed_tolerances: IntCounter,
    /// Servers that are brittle, in these pools.
    pub(crate) brittle: IntGauge,
    /// Answers with a malformed load.
    pub(crate) malformed_loads: IntCounter,
}

impl Notices {
    fn new(
        counter: impl Fn(&str, &str) -> IntCounter,
        gauge: impl Fn(&str, &str) -> IntGauge,
    ) -> Self {
        Self {
            malformed_limits: counter(
                "cypressvane_malformed_limits_total",
                "Answers of backend servers that name what is no limit.",
            ),
            malformed_rests: counter(
                "cypressvane_malformed_rests_total",
                "Refusals of backend servers whose Retry-After is no time.",
            ),
            limited: gauge(
                "cypressvane_limited_servers",
                "Backend servers that name a limit, of the pools whose home this host is.",
            ),
            leaving: gauge(
                "cypressvane_leaving_servers",
                "Backend servers that say they leave, of the pools whose home this host is.",
            ),
            resting: gauge(
                "cypressvane_resting_servers",
                "Backend servers that asked for rest, of the pools whose home this host is.",
            ),
            malformed_tolerances: counter(
                "cypressvane_malformed_tolerances_total",
                "Answers of backend servers that say in no number how brittle they are.",
            ),
            brittle: gauge(
                "cypressvane_brittle_servers",
                "Backend servers that say they are brittle, of the pools whose home this host is.",
            ),
            malformed_loads: counter(
                "cypressvane_malformed_loads_total",
                "Answers of backend servers whose load is not three or four numbers, or whose pace is out of range.",
            ),
        }
    }
}

/// Metrics of streams that are taken up after they broke off.
#[derive(Debug)]
pub(crate) struct Streams {
    /// Requests that go on with a stream, by how the version that began it became known.
    pub(crate) resumptions: IntCounterVec,
    /// Streams whose version this host remembers.
    pub(crate) recorded: IntGauge,
    /// Streams whose version this host has still to write to the platform.
    pub(crate) unsaved: IntGauge,
}

impl Streams {
    fn new(
        counters: impl Fn(&str, &str, &[&str]) -> IntCounterVec,
        gauge: impl Fn(&str, &str) -> IntGauge,
    ) -> Self {
        Self {
            resumptions: counters(
                "cypressvane_resumptions_total",
                "Requests that go on with a stream, by how the version that began it became known.",
                &["version"],
            ),
            recorded: gauge(
                "cypressvane_recorded_streams",
                "Streams whose version is remembered here.",
            ),
            unsaved: gauge(
                "cypressvane_unsaved_streams",
                "Streams whose version is still to be written to the platform.",
            ),
        }
    }
}

/// Metrics of the ways on which this host reaches backend servers.
#[derive(Debug)]
pub(crate) struct Network {
    /// Connections through other hosts.
    pub(crate) detours: IntCounter,
    /// Whether this host reaches no backend server directly.
    pub(crate) severed: IntGauge,
    /// Servers to which the direct path has failed.
    pub(crate) failed_paths: IntGauge,
    /// Requests that this host carries for others.
    pub(crate) carried: IntGauge,
}

impl Network {
    fn new(
        counter: impl Fn(&str, &str) -> IntCounter,
        gauge: impl Fn(&str, &str) -> IntGauge,
    ) -> Self {
        Self {
            detours: counter(
                "cypressvane_detours_total",
                "Connections to backend servers through other hosts.",
            ),
            severed: gauge(
                "cypressvane_severed",
                "1 while this host reaches no backend server directly.",
            ),
            failed_paths: gauge(
                "cypressvane_failed_paths",
                "Backend servers that this host does not reach directly, though another host does.",
            ),
            carried: gauge(
                "cypressvane_carried_requests",
                "Requests that this host carries for hosts that do not reach the servers.",
            ),
        }
    }
}

/// Metrics of the connections of callers on routes.
#[derive(Debug)]
pub(crate) struct Connections {
    /// Connections that were lost under a request, by how far it had come.
    pub(crate) lost: IntCounterVec,
}

impl Connections {
    fn new(counters: impl Fn(&str, &str, &[&str]) -> IntCounterVec) -> Self {
        Self {
            lost: counters(
                "cypressvane_lost_connections_total",
                "Connections of callers on routes that were lost under a request, by how far it had come.",
                &["stage"],
            ),
        }
    }
}

/// Metrics of the memory that is held for others.
#[derive(Debug)]
pub(crate) struct Memory {
    /// Bytes held for bodies and answers.
    pub(crate) held: IntGauge,
    /// Bodies, answers and connections for which there was no room.
    refusals: IntCounter,
    /// Rooms that were given up before the body had arrived or the answer was written, and those of idle connections.
    evictions: IntCounter,
}

impl Memory {
    fn new(
        counter: impl Fn(&str, &str) -> IntCounter,
        gauge: impl Fn(&str, &str) -> IntGauge,
    ) -> Self {
        Self {
            held: gauge(
                "cypressvane_memory_held_bytes",
                "Memory held for bodies of requests and for answers.",
            ),
            refusals: counter(
                "cypressvane_memory_refusals_total",
                "Bodies, answers and connections for which there was no memory.",
            ),
            evictions: counter(
                "cypressvane_memory_evictions_total",
                "Bodies and answers that had to give up their memory before they had arrived or were written, and idle connections that were closed.",
            ),
        }
    }

    /// Takes over the state of the account.
    pub(crate) fn update(&self, account: &memory::Memory) {
        let held = i64::try_from(account.held()).unwrap_or(i64::MAX);
        self.held.set(held);
        let (refusals, evictions) = account.refusals_and_evictions();
        self.refusals
            .inc_by(refusals.saturating_sub(self.refusals.get()));
        self.evictions
            .inc_by(evictions.saturating_sub(self.evictions.get()));
    }
}

/// Metrics of the accounts that share the pools whose home is this host. Only accounts that use a pool now, or did a
/// short time ago, have gauges, so their number is bounded by the accounts of the configuration.
#[derive(Debug)]
pub(crate) struct Shares {
    /// Share in all pools, in servers, by account.
    share: GaugeVec,
    /// Use in all pools, in servers, by account.
    used: GaugeVec,
    /// Waiting requests by account.
    waiting: GaugeVec,
    /// Requests refused since the account became active, by account.
    refused: GaugeVec,
}

impl Shares {
    fn new(gauges: impl Fn(&str, &str, &[&str]) -> GaugeVec) -> Self {
        let by_account = |name: &str, help: &str| gauges(name, help, &["account"]);
        Self {
            share: by_account(
                "cypressvane_account_share_servers",
                "Share of an account in the pools whose home this host is, in servers.",
            ),
            used: by_account(
                "cypressvane_account_used_servers",
                "Recent use of these pools by an account, in servers.",
            ),
            waiting: by_account(
                "cypressvane_account_waiting_requests",
                "Requests of an account that wait in these pools.",
            ),
            refused: by_account(
                "cypressvane_account_share_refusals",
                "Requests of an account refused in these pools since it asked for more than its share, \
                 since it became active.",
            ),
        }
    }

    /// Replaces all gauges by the shares in the pools.
    pub(crate) fn set(&self, shares: &[Share]) {
        for gauges in [&self.share, &self.used, &self.waiting, &self.refused] {
            gauges.reset();
        }
        for share in shares {
            let labels = [&*share.account];
            self.share.with_label_values(&labels).add(share.share);
            self.used.with_label_values(&labels).add(share.used);
            let waiting = self.waiting.with_label_values(&labels);
            waiting.add(to_f64(share.waiting));
            let refused = self.refused.with_label_values(&labels);
            refused.add(to_f64(share.refused));
        }
    }
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Panics
    /// Panics if two metrics have the same name, which is a programming error.
    pub(crate) fn new(links: &Counters) -> Self {
        let registry = Registry::new();
        let register = |collector: Box<dyn prometheus::core::Collector>| {
            registry
                .register(collector)
                .expect("metric names are unique");
        };
        links.collectors().into_iter().for_each(register);
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric");
            register(Box::new(vec.clone()));
            vec
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid metric");
            register(Box::new(counter.clone()));
            counter
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let vec = GaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
            register(Box::new(vec.clone()));
            vec
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric");
            register(Box::new(gauge.clone()));
            gauge
        };
        let times = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let vec = HistogramVec::new(options, &["tier", "service"]).expect("valid metric");
            register(Box::new(vec.clone()));
            vec
        };
        Self {
            requests: counters(
                "cypressvane_requests_total",
                "Requests that ended.",
                &["tier", "service", "outcome"],
            ),
            tokens: counters(
                "cypressvane_tokens_total",
                "Answer tokens passed on.",
                &["tier", "service"],
            ),
            policy_failures: counters(
                "cypressvane_policy_failures_total",
                "Policy programs that failed; the tier's order was used.",
                &["policy"],
            ),
            platform_failures: counters(
                "cypressvane_platform_failures_total",
                "Platform calls that gave no answer.",
                &["service"],
            ),
            quarantine: Quarantine::new(counter, gauge),
            fetched_configurations: counter(
                "cypressvane_fetched_configurations_total",
                "Configurations taken from another host.",
            ),
            network: Network::new(counter, gauge),
            streams: Streams::new(counters, gauge),
            notices: Notices::new(counter, gauge),
            shares: Shares::new(gauges),
            hedges: counters(
                "cypressvane_hedges_total",
                "Second servers that were sought for silent ones, by what came of it.",
                &["outcome"],
            ),
            connections: Connections::new(counters),
            memory: Memory::new(counter, gauge),
            held: gauge(
                "cypressvane_held_requests",
                "Requests waiting or running here.",
            ),
            version: gauge(
                "cypressvane_configuration_version",
                "Configuration in force.",
            ),
            waiting: times(
                "cypressvane_waiting_seconds",
                "Arrival to grant.",
                &TIME_BUCKETS,
            ),
            first_token: times(
                "cypressvane_first_token_seconds",
                "Arrival to first token.",
                &TIME_BUCKETS,
            ),
            between_tokens: times(
                "cypressvane_between_tokens_seconds",
                "One token to the next.",
                &TOKEN_BUCKETS,
            ),
            registry,
        }
    }

    /// The histograms for one tier and service.
    pub(crate) fn times(&self, tier: &str, service: &str) -> Times {
        let labels = [tier, service];
        Times {
            waiting: self.waiting.with_label_values(&labels),
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
        }
    }

    /// The metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        // Encoding to memory fails only for an invalid metric; the text encoded before it is still useful.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}
