//! Tells a request's story from the log files of hosts, its cause first.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::cli::Explain;
use crate::error::Error;
use crate::logs::{self, Fields};
use crate::output::Output;

/// The outcome of a request whose caller hung up.
const CALLER_GONE: &str = "caller_gone";
/// Fields that every line has, which the story does not repeat.
const COMMON: [&str; 4] = ["msg", "level", "ts", "request_id"];
/// Lines that tell how a request ended.
const ENDS: [&str; 2] = ["request", "refused on arrival"];
/// The outcome of a request that was answered.
const ANSWERED: &str = "answered";

/// A request as its hosts' logs tell of it.
#[derive(Debug, Serialize)]
struct Story {
    request_id: String,
    /// How it ended, and why, where that is told.
    cause: Option<Cause>,
    lines: Vec<Line>,
    /// Lines that are no log lines, by file.
    foreign: BTreeMap<String, u64>,
}

/// How a request ended.
#[derive(Debug, Serialize)]
struct Cause {
    outcome: String,
    reason: Option<String>,
    /// The line that comes right before it and names a cause of its own.
    evidence: Option<String>,
}

/// One log line about the request.
#[derive(Debug, Serialize)]
struct Line {
    file: String,
    ts: String,
    message: String,
    fields: Fields,
}

/// Reads the files and prints the story.
pub fn run(options: &Explain, output: Output) -> Result<(), Error> {
    if options.files.is_empty() {
        let message = "a log file is missing: explain REQUEST-ID FILE...".to_owned();
        return Err(Error::Usage(message));
    }
    let mut story = Story {
        request_id: options.request.clone(),
        cause: None,
        lines: Vec::new(),
        foreign: BTreeMap::new(),
    };
    for path in &options.files {
        read(path, &mut story)?;
    }
    if story.lines.is_empty() {
        let message = format!(
            "no line of these files tells of request {}",
            story.request_id
        );
        return Err(Error::Unexpected(message));
    }
    story.lines.sort_by(|one, other| one.ts.cmp(&other.ts));
    story.cause = cause(&story.lines);
    output.print(&story, || text(&story))
}

fn read(path: &Path, story: &mut Story) -> Result<(), Error> {
    let file = path.display().to_string();
    logs::read(path, |fields| {
        let Some(mut fields) = fields else {
            *story.foreign.entry(file.clone()).or_default() += 1;
            return;
        };
        if fields.get("request_id").and_then(Value::as_str) != Some(&story.request_id) {
            return;
        }
        let take = |name: &str| {
            fields
                .get(name)
                .and_then(Value::as_str)
                .unwrap_or("-")
                .to_owned()
        };
        let (ts, message) = (take("ts"), take("msg"));
        fields.retain(|name, value| !COMMON.contains(&name.as_str()) && !value.is_null());
        story.lines.push(Line {
            file: file.clone(),
            ts,
            message,
            fields,
        });
    })
}

fn cause(lines: &[Line]) -> Option<Cause> {
    let is_end = |line: &&Line| ENDS.contains(&line.message.as_str());
    let last = lines.iter().rposition(|line| is_end(&line))?;
    let field = |line: &Line, name: &str| {
        let value = line.fields.get(name);
        value.and_then(Value::as_str).map(str::to_owned)
    };
    let outcome = field(&lines[last], "outcome")?;
    let mut before = lines[..last].iter().rev();
    let evidence = before.find_map(|line| Some((line, field(line, "cause")?)));
    let evidence = evidence.map(|(line, cause)| {
        let server = field(line, "server").unwrap_or_else(|| "-".to_owned());
        format!("{}: {cause} (server {server}, {})", line.message, line.ts)
    });
    let reason = field(&lines[last], "reason");
    Some(Cause {
        reason: reason.or_else(|| (outcome == CALLER_GONE).then(|| hung_up(&lines[last]))),
        evidence: evidence.filter(|_| outcome != ANSWERED),
        outcome,
    })
}

/// Where a request stood whose caller hung up.
fn hung_up(end: &Line) -> String {
    let number = |name: &str| end.fields.get(name).and_then(Value::as_u64);
    let all = number("ms").unwrap_or_default();
    let server = end.fields.get("server").and_then(Value::as_str);
    match (server, number("waited_ms"), number("first_ms")) {
        (_, None, _) => format!("its caller hung up after {all} ms, while it waited for a server"),
        (server, Some(waited), None) => format!(
            "its caller hung up after {all} ms; it had a server ({}) after {waited} ms and no answer yet",
            server.unwrap_or("-")
        ),
        (_, _, Some(first)) => format!(
            "its caller hung up after {all} ms, in the middle of the answer that began at {first} ms"
        ),
    }
}

fn text(story: &Story) -> String {
    let mut text = format!("request {}", story.request_id);
    match &story.cause {
        None => text.push_str(": its end is not told"),
        Some(cause) => {
            let _ = write!(text, ": {}", cause.outcome);
            if let Some(reason) = &cause.reason {
                let _ = write!(text, ", because {reason}");
            }
            if let Some(evidence) = &cause.evidence {
                let _ = write!(text, "\n  before that: {evidence}");
            }
        }
    }
    for line in &story.lines {
        let _ = write!(text, "\n{} {} [{}]", line.ts, line.message, line.file);
        for (name, value) in &line.fields {
            let _ = write!(text, " {name}={value}");
        }
    }
    for (file, count) in &story.foreign {
        let _ = write!(text, "\n{file}: {count} lines are no log lines");
    }
    text
}
