//! Reference-counted immutable strings for names.

use std::sync::Arc;

/// Name of a tier, account, service, host or server; an `Arc` because names are cloned often and never modified.
pub type Name = Arc<str>;
