//! JSON lines on standard output, bounded in number and never waited for.

use std::io::{self, Write as _};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::config::{Level, Logs};
use slog::{Drain, LevelFilter, Logger, Never, OwnedKVList, Record, o};

/// Log lines that may wait to be written; more are dropped and counted in a line of their own.
const QUEUE: usize = 8_192;
/// Time over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Part of the lines of a span that only warnings and errors may use.
const KEPT_FOR_WARNINGS: f64 = 0.2;

/// Opens the log; the guard writes what waits when it is dropped.
pub fn open(settings: &Logs) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::new(Sink::of(settings))
        .add_default_keys()
        .build();
    // A reader that went away must not end the process.
    let drain = Mutex::new(json).map(slog::IgnoreResult::new);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .build_with_guard();
    let all = Logger::root(drain.fuse(), o!());
    let drain = Bounded::new(all, settings.lines_per_second);
    let drain = LevelFilter::new(drain, least(settings.level));
    (Logger::root(drain.fuse(), o!()), guard)
}

/// Where lines go: each in one piece, since others write there as well.
struct Sink {
    to_stderr: bool,
    /// The line that is being made.
    line: Vec<u8>,
}

impl Sink {
    fn of(settings: &Logs) -> Self {
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
            let written = self.write_line();
            self.line.clear();
            written?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lets a number of lines a second through, and says how many it left out.
///
/// Warnings and errors have a part of the number to themselves, so that many lines of requests do
/// not hide them.
struct Bounded {
    /// Logs every line.
    all: Logger,
    most: u32,
    counted: Mutex<Counted>,
}

/// The lines of the present span.
struct Counted {
    began: Instant,
    passed: u32,
    left_out: u32,
}

impl Bounded {
    fn new(all: Logger, most: u32) -> Self {
        let counted = Mutex::new(Counted {
            began: Instant::now(),
            passed: 0,
            left_out: 0,
        });
        Self { all, most, counted }
    }

    /// Whether a line passes, and how many were left out in a span that is now over.
    fn admit(&self, is_warning: bool, now: Instant) -> (bool, Option<u32>) {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        let mut told = None;
        if now.saturating_duration_since(counted.began) >= SPAN {
            told = (counted.left_out > 0).then_some(counted.left_out);
            *counted = Counted {
                began: now,
                passed: 0,
                left_out: 0,
            };
        }
        let most = f64::from(self.most)
            * if is_warning {
                1.0
            } else {
                1.0 - KEPT_FOR_WARNINGS
            };
        let passes = f64::from(counted.passed) < most;
        if passes {
            counted.passed += 1;
        } else {
            counted.left_out += 1;
        }
        (passes, told)
    }
}

impl Drain for Bounded {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let is_warning = record.level().is_at_least(slog::Level::Warning);
        let (passes, left_out) = self.admit(is_warning, Instant::now());
        if let Some(count) = left_out {
            slog::warn!(self.all, "log lines were left out"; "count" => count);
        }
        if passes {
            self.all.log(record);
        }
        Ok(())
    }
}

fn least(level: Level) -> slog::Level {
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
