//! Policy programs, with which operators order, delay or refuse requests.
//!
//! A program defines `fn decide(request, queue)` and ends with one of
//!
//! - `wait()`: queue by tier and deadline;
//! - `wait(priority)`: queue by priority within the tier, larger ones first;
//! - `first()`: queue at the head of the tier;
//! - `refuse("why")`: refuse at once, without running the request.
//!
//! A program orders requests within their tier; it cannot move a request ahead of a higher tier.

use std::collections::HashMap;
use std::sync::Arc;

use rhai::{AST, CallFnOptions, Dynamic, Engine, Map, Scope};

use crate::state::fleet::Fleet;
use crate::state::name::Name;

/// Maximum source length of a program, in bytes.
const SOURCE_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of operations per decision; an ordinary program takes under 200.
const OPERATIONS_MAX: u64 = 10_000;
/// Maximum call depth.
const CALL_LEVELS_MAX: usize = 16;
/// Maximum expression depth.
const EXPRESSION_DEPTH_MAX: usize = 32;
/// Maximum length of a string built by a program, in bytes.
const STRING_BYTES_MAX: usize = 4 * 1024;
/// Maximum size of an array or map built by a program.
const COLLECTION_MAX: usize = 256;
/// Name of the function that a program must define.
const ENTRY: &str = "decide";
/// Maximum absolute priority; `first()` is one above it.
const PRIORITY_MAX: i64 = 1_000_000;

/// The request as passed to a program.
#[derive(Clone, Debug)]
pub struct Request {
    /// Client account.
    pub account: Name,
    /// Tier name.
    pub tier: Name,
    /// Tier rank; 0 is the highest.
    pub tier_rank: usize,
    /// Service.
    pub service: Name,
    /// Path below the service; empty for models.
    pub path: String,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of answer tokens.
    pub answer_tokens: u32,
    /// Milliseconds until its deadline.
    pub deadline_ms: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// The service's queue as passed to a program: only the part that this host keeps as a home, which may be nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Queue {
    /// Waiting requests.
    pub waiting: u64,
    /// Waiting prompt tokens.
    pub waiting_tokens: u64,
    /// Running requests.
    pub running: u64,
    /// Backend servers that accept requests.
    pub servers: u64,
}

/// A program's decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Queue the request; a larger priority goes first within its tier.
    Wait {
        /// From −1,000,000 to 1,000,001.
        priority: i64,
    },
    /// Refuse the request.
    Refuse {
        /// Message to the caller.
        why: String,
    },
}

impl Verdict {
    /// Queue by tier and deadline alone.
    pub const DEFAULT: Self = Self::Wait { priority: 0 };
}

/// Error of a program, at compilation or at run time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The source is too long.
    #[error("policy {policy:?}: {found} bytes found, at most {SOURCE_BYTES_MAX} allowed")]
    TooLong {
        /// The policy.
        policy: Name,
        /// Its length in bytes.
        found: usize,
    },
    /// The program does not compile.
    #[error("policy {policy:?}: line {line}, column {column}: {message}")]
    Syntax {
        /// The policy.
        policy: Name,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// The compiler's message.
        message: String,
    },
    /// The program has no `decide(request, queue)`.
    #[error("policy {policy:?}: fn decide(request, queue) is missing")]
    NoEntry {
        /// The policy.
        policy: Name,
    },
    /// The program failed on a request.
    #[error("policy {policy:?}: {message}")]
    Failed {
        /// The policy.
        policy: Name,
        /// The error message, with line and column.
        message: String,
    },
}

/// The compiled programs of a configuration.
pub struct Programs {
    engine: Engine,
    programs: HashMap<Name, AST>,
}

impl std::fmt::Debug for Programs {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_list()
            .entries(self.programs.keys())
            .finish()
    }
}

impl Programs {
    /// Compiles every program of a configuration and runs each once on an example request.
    ///
    /// # Errors
    /// Returns an error for the first program that fails, with line and column where known.
    pub fn compile(fleet: &Fleet) -> Result<Self, Error> {
        let mut set = Self {
            engine: engine(),
            programs: HashMap::new(),
        };
        for policy in &fleet.policies {
            let ast = set.compile_one(&policy.name, &policy.program)?;
            set.programs.insert(policy.name.clone(), ast);
        }
        for policy in &fleet.policies {
            set.decide(&policy.name, &example(fleet), Queue::default())?;
        }
        Ok(set)
    }

    fn compile_one(&self, policy: &Name, source: &str) -> Result<AST, Error> {
        if source.len() > SOURCE_BYTES_MAX {
            return Err(Error::TooLong {
                policy: policy.clone(),
                found: source.len(),
            });
        }
        let ast = self.engine.compile(source).map_err(|error| Error::Syntax {
            policy: policy.clone(),
            line: error.position().line().unwrap_or(1),
            column: error.position().position().unwrap_or(1),
            message: error.err_type().to_string(),
        })?;
        let is_entry = |function: rhai::ScriptFnMetadata<'_>| {
            function.name == ENTRY && function.params.len() == 2
        };
        if !ast.iter_functions().any(is_entry) {
            return Err(Error::NoEntry {
                policy: policy.clone(),
            });
        }
        Ok(ast)
    }

    /// Runs a program on a request; an unknown policy gives [`Verdict::DEFAULT`].
    ///
    /// # Errors
    /// Returns why the program failed; the caller of this function then falls back to [`Verdict::DEFAULT`].
    pub fn decide(&self, policy: &Name, request: &Request, queue: Queue) -> Result<Verdict, Error> {
        let Some(ast) = self.programs.get(policy) else {
            return Ok(Verdict::DEFAULT);
        };
        let failed = |message: String| Error::Failed {
            policy: policy.clone(),
            message,
        };
        let options = CallFnOptions::new().eval_ast(false).rewind_scope(true);
        let arguments = (request_map(request), queue_map(queue));
        let result: Result<Dynamic, _> =
            self.engine
                .call_fn_with_options(options, &mut Scope::new(), ast, ENTRY, arguments);
        let value = result.map_err(|error| failed(error.to_string()))?;
        let found = value.type_name();
        value
            .try_cast::<Verdict>()
            .ok_or_else(|| failed(format!("{ENTRY} gave {found}, not wait, first or refuse")))
    }
}

/// An example request, on which new programs are tried.
fn example(fleet: &Fleet) -> Request {
    let name = |name: Option<&Name>| name.cloned().unwrap_or_else(|| Name::from("example"));
    Request {
        account: name(fleet.accounts.first().map(|account| &account.name)),
        tier: name(fleet.tiers.first().map(|tier| &tier.name)),
        tier_rank: 0,
        service: name(fleet.services.first().map(|service| &service.name)),
        path: String::new(),
        prompt_tokens: 100,
        answer_tokens: 100,
        deadline_ms: 10_000,
        stream: false,
    }
}

fn engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(OPERATIONS_MAX);
    engine.set_max_call_levels(CALL_LEVELS_MAX);
    engine.set_max_expr_depths(EXPRESSION_DEPTH_MAX, EXPRESSION_DEPTH_MAX);
    engine.set_max_string_size(STRING_BYTES_MAX);
    engine.set_max_array_size(COLLECTION_MAX);
    engine.set_max_map_size(COLLECTION_MAX);
    engine.disable_symbol("eval");
    engine.disable_symbol("print");
    engine.disable_symbol("debug");
    engine.register_type_with_name::<Verdict>("Verdict");
    engine.register_fn("wait", || Verdict::DEFAULT);
    engine.register_fn("wait", |priority: i64| Verdict::Wait {
        priority: priority.clamp(-PRIORITY_MAX, PRIORITY_MAX),
    });
    engine.register_fn("first", || Verdict::Wait {
        priority: PRIORITY_MAX + 1,
    });
    engine.register_fn("refuse", |why: &str| Verdict::Refuse {
        why: why.to_owned(),
    });
    engine
}

fn request_map(request: &Request) -> Map {
    let text = |name: &Name| Dynamic::from(rhai::ImmutableString::from(name.as_ref()));
    let deadline_ms = i64::try_from(request.deadline_ms).unwrap_or(i64::MAX);
    let tier_rank = i64::try_from(request.tier_rank).unwrap_or(i64::MAX);
    Map::from([
        ("account".into(), text(&request.account)),
        ("tier".into(), text(&request.tier)),
        ("tier_rank".into(), tier_rank.into()),
        ("service".into(), text(&request.service)),
        ("path".into(), request.path.clone().into()),
        (
            "prompt_tokens".into(),
            i64::from(request.prompt_tokens).into(),
        ),
        (
            "answer_tokens".into(),
            i64::from(request.answer_tokens).into(),
        ),
        ("deadline_ms".into(), deadline_ms.into()),
        ("stream".into(), request.stream.into()),
    ])
}

fn queue_map(queue: Queue) -> Map {
    let count = |count: u64| Dynamic::from(i64::try_from(count).unwrap_or(i64::MAX));
    Map::from([
        ("waiting".into(), count(queue.waiting)),
        ("waiting_tokens".into(), count(queue.waiting_tokens)),
        ("running".into(), count(queue.running)),
        ("servers".into(), count(queue.servers)),
    ])
}

/// The programs of a configuration, shared by all requests under it.
pub type Shared = Arc<Programs>;
