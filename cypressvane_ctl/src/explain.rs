//! `cypressvane explain`: explains from log files of hosts how a request ended, its cause first.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::cli::Explain;
use crate::error::Error;
use crate::logs::{self, Fields};
use crate::output::Output;

/// Outcome of a request whose caller closed the connection.
const CALLER_GONE: &str = "caller_gone";
/// Fields of every log line that are not printed with the other fields.
const OMITTED_FIELDS: [&str; 4] = ["msg", "level", "ts", "request_id"];
/// Messages of the log lines that say how a request ended.
const END_MESSAGES: [&str; 2] = ["request", "refused on arrival"];
/// Message of the log line about a connection that was lost under a request.
const LOST_MESSAGE: &str = "a caller's connection was lost";
/// Outcome of a request that was answered.
const ANSWERED: &str = "answered";

/// How a request ended, with all log lines about it.
#[derive(Debug, Serialize)]
struct Explanation {
    request_id: String,
    /// How it ended and why; `None` if no line says so.
    cause: Option<Cause>,
    lines: Vec<LogLine>,
    /// Number of lines that are not log lines, by file.
    foreign: BTreeMap<String, u64>,
}

/// How a request ended.
#[derive(Debug, Serialize)]
struct Cause {
    outcome: String,
    reason: Option<String>,
    /// The last earlier line that names a cause.
    evidence: Option<String>,
}

/// A log line about the request.
#[derive(Debug, Serialize)]
struct LogLine {
    file: String,
    ts: String,
    message: String,
    fields: Fields,
}

/// Reads the files and prints the explanation.
pub fn run(options: &Explain, output: Output) -> Result<(), Error> {
    if options.files.is_empty() {
        let message = "a log file is missing: explain REQUEST-ID FILE...".to_owned();
        return Err(Error::Usage(message));
    }
    let mut explanation = Explanation {
        request_id: options.request.clone(),
        cause: None,
        lines: Vec::new(),
        foreign: BTreeMap::new(),
    };
    for path in &options.files {
        read(path, &mut explanation)?;
    }
    if explanation.lines.is_empty() {
        let message = format!(
            "no line of these files tells of request {}",
            explanation.request_id
        );
        return Err(Error::Unexpected(message));
    }
    explanation.lines.sort_by(|a, b| a.ts.cmp(&b.ts));
    explanation.cause = find_cause(&explanation.lines);
    output.print(&explanation, || text(&explanation))
}

fn read(path: &Path, explanation: &mut Explanation) -> Result<(), Error> {
    let file = path.display().to_string();
    logs::read(path, |fields| {
        let Some(mut fields) = fields else {
            *explanation.foreign.entry(file.clone()).or_default() += 1;
            return;
        };
        if fields.get("request_id").and_then(Value::as_str) != Some(&explanation.request_id) {
            return;
        }
        let text_field = |name: &str| {
            fields
                .get(name)
                .and_then(Value::as_str)
                .unwrap_or("-")
                .to_owned()
        };
        let (ts, message) = (text_field("ts"), text_field("msg"));
        fields.retain(|name, value| !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null());
        explanation.lines.push(LogLine {
            file: file.clone(),
            ts,
            message,
            fields,
        });
    })
}

fn find_cause(lines: &[LogLine]) -> Option<Cause> {
    let end = lines
        .iter()
        .rposition(|line| END_MESSAGES.contains(&line.message.as_str()));
    let lost_at = lines.iter().rposition(|line| line.message == LOST_MESSAGE);
    let field = |line: &LogLine, name: &str| {
        let value = line.fields.get(name);
        value.and_then(Value::as_str).map(str::to_owned)
    };
    let is_open = |end: &usize| field(&lines[*end], "outcome").is_none_or(|it| it == ANSWERED);
    // A request that was answered may still lose its answer with the connection.
    let last = lost_at
        .filter(|_| end.is_none_or(|end| is_open(&end)))
        .or(end)?;
    let outcome = field(&lines[last], "outcome")?;
    let mut earlier = lines[..last].iter().rev();
    let evidence = earlier.find_map(|line| Some((line, field(line, "cause")?)));
    let evidence = evidence.map(|(line, cause)| {
        let server = field(line, "server").unwrap_or_else(|| "-".to_owned());
        format!("{}: {cause} (server {server}, {})", line.message, line.ts)
    });
    let reason = field(&lines[last], "reason");
    Some(Cause {
        reason: reason
            .or_else(|| (outcome == CALLER_GONE).then(|| caller_gone_reason(&lines[last]))),
        evidence: evidence.filter(|_| outcome != ANSWERED),
        outcome,
    })
}

/// Describes how far a request had come when its caller closed the connection.
fn caller_gone_reason(end: &LogLine) -> String {
    let number = |name: &str| end.fields.get(name).and_then(Value::as_u64);
    let total = number("ms").unwrap_or_default();
    let server = end.fields.get("server").and_then(Value::as_str);
    match (server, number("waited_ms"), number("first_ms")) {
        (_, None, _) => {
            format!("its caller hung up after {total} ms, while it waited for a server")
        }
        (server, Some(waited), None) => format!(
            "its caller hung up after {total} ms; it had a server ({}) after {waited} ms and no answer yet",
            server.unwrap_or("-")
        ),
        (_, _, Some(first)) => format!(
            "its caller hung up after {total} ms, in the middle of the answer that began at {first} ms"
        ),
    }
}

fn text(explanation: &Explanation) -> String {
    let mut text = format!("request {}", explanation.request_id);
    match &explanation.cause {
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
    for line in &explanation.lines {
        let _ = write!(text, "\n{} {} [{}]", line.ts, line.message, line.file);
        for (name, value) in &line.fields {
            let _ = write!(text, " {name}={value}");
        }
    }
    for (file, count) in &explanation.foreign {
        let _ = write!(text, "\n{file}: {count} lines are no log lines");
    }
    text
}
