//! `cypressvane policy check`: compiles a program and runs it on example requests.

use std::fs;
use std::path::Path;

use cypressvane::fleet::{Fleet, Policy as Program};
use cypressvane::name::Name;
use cypressvane::policy::{Programs, Queue, Request, Verdict};
use serde::{Deserialize, Serialize};

use crate::cli::{Check, Policy, PolicyCommand};
use crate::error::Error;
use crate::output::Output;

/// An example request with the state of its queue; omitted fields have defaults.
#[derive(Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Example {
    account: String,
    tier: String,
    tier_rank: usize,
    service: String,
    path: String,
    prompt_tokens: u32,
    answer_tokens: u32,
    deadline_ms: u64,
    stream: bool,
    waiting: u64,
    waiting_tokens: u64,
    running: u64,
    servers: u64,
}

impl Default for Example {
    fn default() -> Self {
        Self {
            account: "example".to_owned(),
            tier: "example".to_owned(),
            tier_rank: 0,
            service: "example".to_owned(),
            path: String::new(),
            prompt_tokens: 100,
            answer_tokens: 100,
            deadline_ms: 10_000,
            stream: false,
            waiting: 0,
            waiting_tokens: 0,
            running: 0,
            servers: 1,
        }
    }
}

/// A program's decision on an example.
#[derive(Debug, Serialize)]
struct Decision {
    request: Example,
    verdict: &'static str,
    priority: Option<i64>,
    why: Option<String>,
}

/// Runs a subcommand.
pub fn run(policy: &Policy, output: Output) -> Result<(), Error> {
    let Some(PolicyCommand::Check(check)) = &policy.command else {
        return Err(Error::Usage("policy: check is needed".to_owned()));
    };
    let name = Name::from(check.file.to_string_lossy().as_ref());
    let program = read(&check.file)?;
    let fleet = Fleet {
        policies: vec![Program {
            name: name.clone(),
            program,
        }],
        ..Fleet::default()
    };
    let programs = Programs::compile(&fleet)?;
    let mut decisions = Vec::new();
    for example in examples(check)? {
        decisions.push(decide(&programs, &name, example)?);
    }
    output.print(&decisions, || {
        let lines: Vec<String> = decisions.iter().map(text).collect();
        lines.join("\n")
    })
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

fn examples(check: &Check) -> Result<Vec<Example>, Error> {
    let Some(path) = &check.examples else {
        return Ok(vec![Example::default()]);
    };
    serde_json::from_str(&read(path)?).map_err(|error| Error::Document {
        path: path.clone(),
        cause: error.to_string(),
    })
}

fn decide(programs: &Programs, policy: &Name, example: Example) -> Result<Decision, Error> {
    let request = Request {
        account: example.account.as_str().into(),
        tier: example.tier.as_str().into(),
        tier_rank: example.tier_rank,
        service: example.service.as_str().into(),
        path: example.path.clone(),
        prompt_tokens: example.prompt_tokens,
        answer_tokens: example.answer_tokens,
        deadline_ms: example.deadline_ms,
        stream: example.stream,
    };
    let queue = Queue {
        waiting: example.waiting,
        waiting_tokens: example.waiting_tokens,
        running: example.running,
        servers: example.servers,
    };
    Ok(match programs.decide(policy, &request, queue)? {
        Verdict::Wait { priority } => Decision {
            request: example,
            verdict: "wait",
            priority: Some(priority),
            why: None,
        },
        Verdict::Refuse { why } => Decision {
            request: example,
            verdict: "refuse",
            priority: None,
            why: Some(why),
        },
    })
}

fn text(decision: &Decision) -> String {
    let request = &decision.request;
    let what = match (&decision.priority, &decision.why) {
        (Some(priority), _) => format!("waits with priority {priority}"),
        (None, why) => format!("is refused: {}", why.as_deref().unwrap_or_default()),
    };
    format!(
        "{} of {} in tier {} with {} prompt tokens {what}",
        request.service, request.account, request.tier, request.prompt_tokens
    )
}
