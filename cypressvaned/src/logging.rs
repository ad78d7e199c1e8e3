//! JSON lines on standard error.

use cypressvane::config::Level;
use slog::{Drain as _, LevelFilter, Logger, o};

/// Log lines that may wait to be written; more are dropped and counted in a line of their own.
const QUEUE: usize = 8_192;

/// Opens the log; the guard writes what waits when it is dropped.
pub fn open(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::new(std::io::stderr())
        .add_default_keys()
        .build();
    let (drain, guard) = slog_async::Async::new(json.fuse())
        .chan_size(QUEUE)
        .build_with_guard();
    let drain = LevelFilter::new(drain.fuse(), least(level));
    (Logger::root(drain.fuse(), o!()), guard)
}

fn least(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}
