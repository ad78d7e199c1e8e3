//! The cypressvane daemon. Every entry host runs the same program.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod cli;
mod dev;
mod logging;
mod settings;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use cypressvane::config::{Config, Protocol};
use cypressvane::{host, runtime};
use futures_lite::FutureExt as _;
use gumdrop::Options as _;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::Logger;

use crate::cli::Options;

/// Exit code when requests were unfinished at the end of the drain time and were cut.
const EXIT_CUT_REQUESTS: u8 = 3;
/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Delay between an operator's drain order and the drain, so that the order's answer can be written.
const ORDER_ANSWER_DELAY: Duration = Duration::from_millis(100);

/// An error that ends the daemon.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The settings file cannot be read or is invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The command line is invalid.
    #[error("{0}")]
    Usage(&'static str),
    /// The host failed to start.
    #[error(transparent)]
    Host(#[from] host::Error),
    /// An I/O operation failed.
    #[error(transparent)]
    System(#[from] io::Error),
}

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    match run(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cypressvaned: {error}");
            match error {
                Error::Settings(_) | Error::Usage(_) => ExitCode::from(EXIT_USAGE),
                Error::Host(_) | Error::System(_) => ExitCode::FAILURE,
            }
        }
    }
}

fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.version {
        println!("cypressvaned {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    match (&options.config, options.dev) {
        (Some(_), true) => Err(Error::Usage("--dev and --config cannot be used together")),
        (None, false) => Err(Error::Usage("--config FILE or --dev is needed; see --help")),
        (None, true) if options.check => Err(Error::Usage("--check needs --config FILE")),
        (None, true) => {
            runtime::start(0);
            let environment = dev::Environment::start(options.listen)?;
            serve(environment.config(), None, dev::announce)
        }
        (Some(path), false) => {
            let loaded = settings::load(path)?;
            for key in &loaded.unknown_keys {
                eprintln!("cypressvaned: warning: {key} is not a known key");
            }
            if options.check {
                println!("{}: the settings are right", path.display());
                return Ok(ExitCode::SUCCESS);
            }
            runtime::start(loaded.config.host.threads);
            serve(loaded.config, Some(path), announce)
        }
    }
}

/// Runs a host until a signal or an operator orders it to drain.
fn serve(
    config: Config,
    settings: Option<&Path>,
    announce: impl FnOnce(&host::Handle) -> io::Result<()>,
) -> Result<ExitCode, Error> {
    let (log, _guard) = logging::open(&config.logs);
    let signals = signals()?;
    slog::info!(
        log, "start";
        "program" => env!("CARGO_PKG_VERSION"),
        "host" => &*config.host.name, "data_centre" => &*config.host.data_centre,
    );
    let host = match config.platform.protocol {
        Protocol::Plain => host::spawn(config, log.clone())?,
        Protocol::Adapter => {
            let services = cypressvane_platform::services(&config.platform);
            host::spawn_on(
                config,
                services,
                cypressvane_platform::dialect(),
                log.clone(),
            )?
        }
    };
    announce(&host)?;
    let cut = smol::block_on(async {
        let signal = async {
            // The signal thread never ends and owns the sender, so `recv` does not fail.
            while let Ok(SIGHUP) = signals.recv().await {
                reload(settings, &log);
            }
        };
        let order = async {
            host.drain_ordered().await;
            smol::Timer::after(ORDER_ANSWER_DELAY).await;
        };
        signal.or(order).await;
        host.drain().await
    });
    slog::info!(log, "stop"; "cut" => cut);
    Ok(if cut == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT_REQUESTS)
    })
}

/// Prints the addresses of the listeners to standard output as one line of JSON.
fn announce(host: &host::Handle) -> io::Result<()> {
    use io::Write as _;
    let routes = host.routes();
    let routes = routes.map_or_else(String::new, |address| format!(r#","routes":"{address}""#));
    let mut out = io::stdout().lock();
    writeln!(
        out,
        r#"{{"callers":"{}","operators":"{}","peers":"{}"{routes}}}"#,
        host.callers(),
        host.operators(),
        host.peers()
    )?;
    out.flush()
}

/// Checks the settings file again and logs the result; changes apply only after a restart.
fn reload(path: Option<&Path>, log: &Logger) {
    let Some(path) = path else { return };
    match settings::load(path) {
        Ok(_) => slog::info!(log, "the settings are right, and count from the next start"),
        Err(error) => slog::error!(log, "the settings are wrong"; "cause" => %error),
    }
}

/// Starts a thread that forwards SIGTERM, SIGINT and SIGHUP to the returned channel.
fn signals() -> io::Result<smol::channel::Receiver<i32>> {
    let (sender, receiver) = smol::channel::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if sender.send_blocking(signal).is_err() {
                    return;
                }
            }
        })?;
    Ok(receiver)
}
