//! Policy programs: who goes first, who waits, who is refused.
//!
//! A program defines `fn decide(request, queue)` and ends with one of
//!
//! - `wait()`: in the order of its tier and deadline;
//! - `wait(priority)`: within its tier, a larger priority goes first;
//! - `first()`: at the head of its tier;
//! - `refuse("why")`: at once, without having run.
//!
//! The program chooses inside the tier; it cannot lift a request above a higher tier.

use std::collections::HashMap;
use std::sync::Arc;

use rhai::{AST, CallFnOptions, Dynamic, Engine, Map, Scope};

use crate::state::fleet::Fleet;
use crate::state::name::Name;

/// Longest source of a program, in bytes.
const SOURCE_BYTES_MAX: usize = 16 * 1024;
/// Most operations of one decision; an ordinary program takes under 200.
const OPERATIONS_MAX: u64 = 10_000;
/// Deepest nesting of calls.
const CALL_LEVELS_MAX: usize = 16;
/// Deepest nesting of expressions.
const EXPRESSION_DEPTH_MAX: usize = 32;
/// Longest string a program may build, in bytes.
const STRING_BYTES_MAX: usize = 4 * 1024;
/// Longest array or map a program may build.
const COLLECTION_MAX: usize = 256;
/// The function that a program defines.
const ENTRY: &str = "decide";
/// Largest priority either way; `first()` is one above it.
const PRIORITY_MAX: i64 = 1_000_000;

/// What a program is told of a request.
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
    /// Most answer tokens.
    pub answer_tokens: u32,
    /// Milliseconds until its deadline.
    pub deadline_ms: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// What a program is told of the service's queue, as this host last heard it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Queue {
    /// Waiting requests.
    pub waiting: u64,
    /// Waiting prompt tokens.
    pub waiting_tokens: u64,
    /// Running requests.
    pub running: u64,
    /// Backend servers that take work.
    pub servers: u64,
}

/// What a program decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Waits in its tier; a larger priority goes first.
    Wait {
        /// From −1,000,000 to 1,000,001.
        priority: i64,
    },
    /// Is refused.
    Refuse {
        /// What the caller is told.
        why: String,
    },
}

impl Verdict {
    /// The order of the tier alone.
    pub const PLAIN: Self = Self::Wait { priority: 0 };
}

/// Why a program is rejected or failed.
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
        /// What the compiler said.
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
        /// What went wrong, with line and column.
        message: String,
    },
}

/// The compiled programs of a configuration.
pub struct Set {
    engine: Engine,
    programs: HashMap<Name, AST>,
}

impl std::fmt::Debug for Set {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_list()
            .entries(self.programs.keys())
            .finish()
    }
}

impl Set {
    /// Compiles every program of a configuration and tries each once.
    ///
    /// # Errors
    /// Names the first program that is broken, with line and column.
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

    /// Runs a program on a request; an unknown policy decides nothing.
    ///
    /// # Errors
    /// Says why the program failed: the caller falls back to the order of the tier.
    pub fn decide(&self, policy: &Name, request: &Request, queue: Queue) -> Result<Verdict, Error> {
        let Some(ast) = self.programs.get(policy) else {
            return Ok(Verdict::PLAIN);
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

/// A request to try a new program on.
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
    engine.register_fn("wait", || Verdict::PLAIN);
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
pub type Shared = Arc<Set>;
