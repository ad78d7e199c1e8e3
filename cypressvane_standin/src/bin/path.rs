//! Measures the overhead of a call through a host over a direct call to the same engine.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::{digest, runtime};
use cypressvane_standin::caller::{Answer, CompletionRequest, complete};
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};
use cypressvane_standin::{engine, usage};

/// The key of the caller's account.
const KEY: &str = "path-key";
/// The name of the model.
const MODEL: &str = "echo";
/// Number of pairs of calls, one direct and one through the host.
const PAIRS: usize = 2_000;
/// Number of warm-up pairs, which are not measured.
const WARM_UP: usize = 200;
/// Number of concurrent streams in the measurement of the cost of a token.
const STREAMS: usize = 64;
/// Number of tokens of each of these streams.
const STREAM_TOKENS: u32 = 3_000;
/// Number of open streams in the measurement of memory.
const OPEN_STREAMS: usize = 1_000;

fn main() -> ExitCode {
    runtime::start(1);
    match smol::block_on(measure()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("path: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure() -> io::Result<()> {
    let threads = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let mut fleet = Fleet::spawn()?;
    fleet.threads = threads.unwrap_or(fleet.threads);
    let fast = engine::Settings {
        prefill_rate: 1e9,
        decode_ms: 0.0,
        batch: 4_096,
        ..Default::default()
    };
    let engine = fleet.add_engine(MODEL, &fast).await?;
    fleet.add_host("[logs]\nlevel = \"warning\"\n").await?;
    fleet.submit(0, &configuration()).await?;
    added_time(&fleet, engine).await?;
    token_cost(&fleet).await?;
    open_streams(&fleet, engine).await
}

fn configuration() -> String {
    format!(
        "[[tiers]]\nname = \"only\"\nfirst_token_ms = 10000\nbetween_tokens_ms = 1000\n\
         [[accounts]]\nname = \"path\"\ntier = \"only\"\nkey_sha256 = \"{}\"\n\
         [[services]]\nname = \"{MODEL}\"\nkind = \"model\"\nslots = 4096\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        digest::sha256_hex(KEY.as_bytes()),
        digest::sha256_hex(OPERATOR_KEY.as_bytes())
    )
}

/// Calls the engine directly and through the host in turn, and prints both times and their difference.
async fn added_time(fleet: &Fleet, engine: usize) -> io::Result<()> {
    let direct = fleet.backends[engine].address("address");
    let through = fleet.callers(0);
    let request = CompletionRequest::new(KEY, MODEL, "one two three").streamed(8);
    let mut times: [Vec<Answer>; 2] = [Vec::new(), Vec::new()];
    for pair in 0..PAIRS + WARM_UP {
        for (index, address) in [direct, through].into_iter().enumerate() {
            let answer = complete_checked(address, &request).await?;
            if pair >= WARM_UP {
                times[index].push(answer);
            }
        }
    }
    println!("added time over {PAIRS} pairs of calls, in ms");
    println!(
        "{:<24}{:>10}{:>10}{:>10}{:>8}",
        "", "direct", "through", "added", "ratio"
    );
    for (name, time) in [
        (
            "first token",
            (|answer| answer.first) as fn(&Answer) -> Duration,
        ),
        ("whole answer", |answer| answer.total),
    ] {
        for share in [0.5, 0.99] {
            let direct = percentile(&times[0], time, share);
            let through = percentile(&times[1], time, share);
            println!(
                "{:<24}{direct:>10.3}{through:>10.3}{:>10.3}{:>8.2}",
                format!("{name} p{:.0}", share * 100.0),
                through - direct,
                through / direct
            );
        }
    }
    Ok(())
}

/// Prints the processor time of the host for each token of many fast concurrent streams.
async fn token_cost(fleet: &Fleet) -> io::Result<()> {
    let id = fleet.host(0).id();
    let before = usage::of(id)?;
    let begun = Instant::now();
    let request = CompletionRequest::new(KEY, MODEL, "cost").streamed(STREAM_TOKENS);
    let address = fleet.callers(0);
    run_concurrently(address, &request, STREAMS).await?;
    let tokens = f64::from(STREAM_TOKENS) * u32::try_from(STREAMS).map_or(0.0, f64::from);
    let used = usage::of(id)?
        .processor
        .saturating_sub(before.processor)
        .as_secs_f64();
    println!(
        "\n{tokens:.0} tokens in {:.2} s: {:.1} us of processor time a token, {:.0} tokens a second \
         on one core",
        begun.elapsed().as_secs_f64(),
        used / tokens * 1e6,
        tokens / used
    );
    Ok(())
}

/// Prints the memory of the host for each of many slow concurrent streams.
async fn open_streams(fleet: &Fleet, engine: usize) -> io::Result<()> {
    let slow = engine::Settings {
        decode_ms: 50.0,
        batch: 4_096,
        ..Default::default()
    };
    fleet.set_engine(engine, &slow).await?;
    let id = fleet.host(0).id();
    let before = usage::of(id)?;
    let request = CompletionRequest::new(KEY, MODEL, "open").streamed(8);
    let address = fleet.callers(0);
    let tasks =
        runtime::spawn(async move { run_concurrently(address, &request, OPEN_STREAMS).await });
    fleet
        .wait_until("all streams are open", async || {
            fleet
                .dump(0)
                .await
                .is_ok_and(|dump| dump.held == OPEN_STREAMS as u64)
        })
        .await?;
    smol::Timer::after(Duration::from_secs(1)).await;
    let open = usage::of(id)?;
    println!(
        "\n{OPEN_STREAMS} open streams: {:.1} MB resident, {:.1} MB before, {:.1} KB a stream",
        megabytes(open.resident),
        megabytes(before.resident),
        megabytes(open.resident.saturating_sub(before.resident)) * 1e3
            / u32::try_from(OPEN_STREAMS).map_or(1.0, f64::from)
    );
    tasks.await
}

async fn run_concurrently(
    address: SocketAddr,
    request: &CompletionRequest,
    count: usize,
) -> io::Result<()> {
    let mut tasks = Vec::new();
    for _ in 0..count {
        let request = request.clone();
        tasks.push(runtime::spawn(async move {
            complete_checked(address, &request).await
        }));
    }
    for answer in tasks {
        answer.await?;
    }
    Ok(())
}

/// Sends a request and checks that the answer is complete and has the expected text.
async fn complete_checked(address: SocketAddr, request: &CompletionRequest) -> io::Result<Answer> {
    let answer = complete(address, request).await.map_err(io::Error::other)?;
    if !answer.whole || answer.text != request.expected() {
        return Err(io::Error::other(format!(
            "an answer is incomplete or has the wrong text: {:?}",
            answer.error
        )));
    }
    Ok(answer)
}

/// A percentile of the times of answers, in milliseconds.
fn percentile(answers: &[Answer], time: fn(&Answer) -> Duration, share: f64) -> f64 {
    let mut times: Vec<Duration> = answers.iter().map(time).collect();
    times.sort();
    let count = u32::try_from(times.len()).map_or(0.0, f64::from);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small index"
    )]
    let index = (count * share) as usize;
    times[index.min(times.len() - 1)].as_secs_f64() * 1e3
}

fn megabytes(bytes: u64) -> f64 {
    u32::try_from(bytes / 1000).map_or(f64::INFINITY, f64::from) / 1e3
}
