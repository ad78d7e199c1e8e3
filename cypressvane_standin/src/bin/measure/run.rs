//! Runs one way on one schedule of arrivals.

use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::runtime::{self, timeout};
use cypressvane_standin::caller::{Answer, CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use smol::Timer;

use crate::shape::{Arrival, Burst, MODEL, Shape};
use crate::ways::{Chooser, Way};

/// Time before the measured part of a run; its arrivals are not counted.
pub const WARM_UP: Duration = Duration::from_secs(3);
/// Factor by which [`Fault::SlowEngine`] slows an engine down.
const SLOWDOWN: f64 = 3.0;
/// Duration of a burst.
const BURST_TIME: Duration = Duration::from_secs(3);
/// Maximum age of the load reports of engines, in milliseconds.
const REPORT_MS: u64 = 1_000;
/// Maximum age of the load reports under [`Fault::Stale`], in milliseconds.
const STALE_MS: u64 = 5_000;
/// Time until the load balancer stops sending requests to a killed host.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// A fault that is injected into a run; all but [`Fault::Stale`] start in the middle of its measured part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The last engine becomes three times slower.
    SlowEngine,
    /// The first host is killed.
    KillHost,
    /// Arrivals double for 3 s, and half of them go to the first host.
    Burst,
    /// Load reports are up to 5 s old during the whole run.
    Stale,
}

impl Fault {
    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::SlowEngine => "slow-engine",
            Self::KillHost => "kill-host",
            Self::Burst => "burst",
            Self::Stale => "stale-5s",
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let faults = [Self::SlowEngine, Self::KillHost, Self::Burst, Self::Stale];
        let found = faults.into_iter().find(|fault| fault.name() == text);
        found.ok_or_else(|| {
            format!("{text:?} found; slow-engine, kill-host, burst, stale-5s allowed")
        })
    }
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The deployment.
    pub shape: &'a Shape,
    /// How requests are dispatched to engines.
    pub way: Way,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Offered load as a multiple of the capacity.
    pub load: f64,
    /// Duration of the measured part of the run.
    pub time: Duration,
    /// The fault to inject.
    pub fault: Option<Fault>,
}

/// The result of one request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Index of the tier of the request.
    pub tier: usize,
    /// Time from the scheduled arrival to the first token; `None` unless the answer is whole.
    pub first: Option<Duration>,
    /// Whether the answer is whole and met the limits of the tier.
    pub good: bool,
    /// The code of the refusal or failure.
    pub refused: Option<&'static str>,
    /// Whether there was no answer.
    pub unanswered: bool,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The results of the requests that count.
    pub results: Vec<RequestResult>,
    /// Prompt tokens that the engines prefilled.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engines prefilled for requests that were cancelled.
    pub wasted_tokens: u64,
}

/// The receivers of requests, by host.
enum Target {
    Hosts(Vec<SocketAddr>),
    Choosers(Vec<Chooser>),
}

impl Target {
    fn address(&self, host: usize) -> SocketAddr {
        match self {
            Self::Hosts(hosts) => hosts[host],
            Self::Choosers(choosers) => choosers[host].choose(),
        }
    }
}

/// Runs a plan with newly started processes.
pub async fn run(plan: Plan<'_>) -> io::Result<Outcome> {
    let report_ms = if plan.fault == Some(Fault::Stale) {
        STALE_MS
    } else {
        REPORT_MS
    };
    let settings = plan.shape.engines(report_ms);
    let mut fleet = Fleet::spawn()?;
    for settings in &settings {
        fleet.add_engine(MODEL, settings).await?;
    }
    let engines: Vec<SocketAddr> = fleet
        .backends
        .iter()
        .map(|backend| backend.address("address"))
        .collect();
    let target = if plan.way == Way::Home {
        for _ in 0..plan.shape.hosts {
            fleet.add_host("[logs]\nlevel = \"error\"\n").await?;
        }
        fleet.submit(0, &plan.shape.configuration()).await?;
        fleet.wait_until_linked().await?;
        let hosts = fleet.running().collect::<Vec<_>>();
        Target::Hosts(
            hosts
                .into_iter()
                .map(|index| fleet.callers(index))
                .collect(),
        )
    } else {
        let chooser = |turn| Chooser::spawn(plan.way, engines.clone(), turn);
        Target::Choosers((0..plan.shape.hosts).map(chooser).collect())
    };
    let results = send_arrivals(plan, &mut fleet, &target, &settings).await?;
    let mut outcome = Outcome {
        results,
        ..Outcome::default()
    };
    for index in 0..engines.len() {
        let ledger = fleet.ledger(index).await?;
        outcome.prompt_tokens += ledger.prompt_tokens;
        outcome.wasted_tokens += ledger.wasted_tokens;
    }
    Ok(outcome)
}

/// Sends the arrivals on schedule, without waiting for answers, and returns the results.
async fn send_arrivals(
    plan: Plan<'_>,
    fleet: &mut Fleet,
    target: &Target,
    settings: &[engine::Settings],
) -> io::Result<Vec<RequestResult>> {
    let middle = WARM_UP + plan.time / 2;
    let burst = Burst {
        from: middle,
        to: middle + BURST_TIME,
    };
    let burst = (plan.fault == Some(Fault::Burst)).then_some(burst);
    let arrivals = plan
        .shape
        .arrivals(plan.seed, plan.load, WARM_UP + plan.time, burst);
    let begun = Instant::now();
    let is_first_host_killed = Arc::new(AtomicBool::new(false));
    let mut killed_at = None;
    let mut slowed = false;
    let mut running = Vec::new();
    for mut arrival in arrivals {
        Timer::after(arrival.at.saturating_sub(begun.elapsed())).await;
        let past_middle = begun.elapsed() >= middle;
        if past_middle && plan.fault == Some(Fault::KillHost) && killed_at.is_none() {
            killed_at = Some(Instant::now());
            is_first_host_killed.store(true, Ordering::Relaxed);
            if let Some(host) = fleet.hosts.first_mut().and_then(Option::as_mut) {
                host.kill();
            }
        }
        if past_middle && plan.fault == Some(Fault::SlowEngine) && !slowed {
            slowed = true;
            let slow = slowed_settings(&settings[settings.len() - 1]);
            fleet.set_engine(settings.len() - 1, &slow).await?;
        }
        if arrival.host == 0 && killed_at.is_some_and(|at: Instant| at.elapsed() > BALANCER_LAG) {
            arrival.host = 1 + running.len() % (plan.shape.hosts - 1);
        }
        let request = request(plan.shape, &arrival);
        let address = target.address(arrival.host);
        let due = begun + arrival.at;
        let is_first_host_killed = Arc::clone(&is_first_host_killed);
        let deadline = Duration::from_millis(plan.shape.tiers[arrival.tier].deadline_ms);
        running.push(runtime::spawn(async move {
            let left = (due + deadline).saturating_duration_since(Instant::now());
            let sent = Instant::now();
            let answer = timeout(left, complete(address, &request)).await;
            // The callers of a killed host lose their answers; they are dropped here, since the
            // baselines have no host process to kill.
            let lost = arrival.host == 0 && is_first_host_killed.load(Ordering::Relaxed);
            let answer = answer.and_then(Result::ok).filter(|_| !lost);
            (arrival, sent.saturating_duration_since(due), answer)
        }));
    }
    let mut results = Vec::new();
    for task in running {
        let (arrival, late, answer) = task.await;
        if arrival.at >= WARM_UP {
            results.push(evaluate(plan.shape, &arrival, late, answer));
        }
    }
    Ok(results)
}

fn slowed_settings(settings: &engine::Settings) -> engine::Settings {
    let mut slow = settings.clone();
    slow.prefill_rate /= SLOWDOWN;
    slow.decode_ms *= SLOWDOWN;
    slow
}

fn request(shape: &Shape, arrival: &Arrival) -> CompletionRequest {
    let tier = &shape.tiers[arrival.tier];
    let deadline = tier.deadline_ms.to_string();
    CompletionRequest::new(&tier.name, MODEL, &arrival.prompt)
        .streamed(arrival.answer_tokens)
        .with_header("cypressvane-deadline-ms", &deadline)
}

/// Checks an answer against the limits of its tier.
///
/// `late` is the delay of the sending after the scheduled arrival.
fn evaluate(
    shape: &Shape,
    arrival: &Arrival,
    late: Duration,
    answer: Option<Answer>,
) -> RequestResult {
    let tier = &shape.tiers[arrival.tier];
    let Some(answer) = answer else {
        return RequestResult {
            tier: arrival.tier,
            first: None,
            good: false,
            refused: None,
            unanswered: true,
        };
    };
    let first = late + answer.first;
    let tokens = arrival.answer_tokens.saturating_sub(1).max(1);
    let between = answer.total.saturating_sub(answer.first) / tokens;
    let good = answer.whole
        && first <= Duration::from_millis(tier.first_token_ms)
        && between <= Duration::from_millis(tier.between_tokens_ms)
        && late + answer.total <= Duration::from_millis(tier.deadline_ms);
    RequestResult {
        tier: arrival.tier,
        first: answer.whole.then_some(first),
        good,
        refused: answer.error.map(|error| error.code.text()),
        unanswered: false,
    }
}
