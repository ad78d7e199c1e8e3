//! Shared immutable strings for names.

use std::sync::Arc;

/// A name that is cloned often and never changed: of a tier, account, service, host or server.
pub type Name = Arc<str>;
