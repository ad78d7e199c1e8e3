//! Logs JSON lines to standard output or standard error, rate limited and without blocking the caller.

use std::io::{self, Write as _};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::config::{Level, Logs};
use slog::{Drain, LevelFilter, Logger, Never, OwnedKVList, Record, o};

/// Most log lines that wait to be written; further lines are dropped and counted in a line of their own.
const QUEUE_LINES: usize = 8_192;
/// Length of a rate limit window.
const WINDOW: Duration = Duration::from_secs(1);
/// Share of the lines of a window that is reserved for warnings and errors.
const WARNING_SHARE: f64 = 0.2;

/// Opens the log. Dropping the guard writes the lines that still wait.
pub fn open(settings: &Logs) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::new(Sink::new(settings))
        .add_default_keys()
        .build();
    // A closed pipe must not end the process.
    let drain = Mutex::new(json).map(slog::IgnoreResult::new);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build_with_guard();
    let output = Logger::root(drain.fuse(), o!());
    let drain = RateLimited::new(output, settings.lines_per_second);
    let drain = LevelFilter::new(drain, minimum_level(settings.level));
    (Logger::root(drain.fuse(), o!()), guard)
}

/// Writes each line with a single call, since other code writes to the same stream.
struct Sink {
    to_stderr: bool,
    /// The incomplete line.
    line: Vec<u8>,
}

impl Sink {
    fn new(settings: &Logs) -> Self {
        Self {
            to_stderr: settings.to_stderr,
            line: Vec::new(),
        }
    }

    fn write_line(&self) -> io::Result<()> {
        if self.to_stderr {
            return io::stderr().lock().write_all(&self.line);
        }
        let mut out = io::stdout().lock();
        out.write_all(&self.line)?;
        out.flush()
    }
}

impl io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let result = self.write_line();
            self.line.clear();
            result?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Passes a limited number of lines per second and reports how many it dropped.
///
/// A share of the limit is reserved for warnings and errors, so that many request lines do not
/// displace them.
struct RateLimited {
    /// The logger behind the limit.
    output: Logger,
    limit: u32,
    window: Mutex<Window>,
}

/// Line counts of the current window.
struct Window {
    started: Instant,
    logged: u32,
    dropped: u32,
}

impl RateLimited {
    fn new(output: Logger, limit: u32) -> Self {
        let window = Mutex::new(Window {
            started: Instant::now(),
            logged: 0,
            dropped: 0,
        });
        Self {
            output,
            limit,
            window,
        }
    }

    /// Returns whether the line may be logged, and how many lines were dropped in a window that just ended.
    fn admit(&self, is_warning: bool, now: Instant) -> (bool, Option<u32>) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut reported = None;
        if now.saturating_duration_since(window.started) >= WINDOW {
            reported = (window.dropped > 0).then_some(window.dropped);
            *window = Window {
                started: now,
                logged: 0,
                dropped: 0,
            };
        }
        let limit = f64::from(self.limit) * if is_warning { 1.0 } else { 1.0 - WARNING_SHARE };
        let passes = f64::from(window.logged) < limit;
        if passes {
            window.logged += 1;
        } else {
            window.dropped += 1;
        }
        (passes, reported)
    }
}

impl Drain for RateLimited {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let is_warning = record.level().is_at_least(slog::Level::Warning);
        let (passes, dropped) = self.admit(is_warning, Instant::now());
        if let Some(count) = dropped {
            slog::warn!(self.output, "log lines were left out"; "count" => count);
        }
        if passes {
            self.output.log(record);
        }
        Ok(())
    }
}

fn minimum_level(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;
