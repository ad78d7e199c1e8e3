//! Why a command fails, and the exit code that says so.

use std::io;
use std::path::PathBuf;

use cypressvane::{client, policy};

/// Refused or failed.
const FAILED: u8 = 1;
/// Wrong command line or document.
const USAGE: u8 = 2;
/// No answer.
const NO_ANSWER: u8 = 3;
/// Not in force on every host in time.
const NOT_EVERYWHERE: u8 = 4;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file is not what it should be.
    #[error("{}: {cause}", path.display())]
    Document {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        cause: String,
    },
    /// A policy program does not check.
    #[error(transparent)]
    Policy(#[from] policy::Error),
    /// A host gave no answer.
    #[error(transparent)]
    NoAnswer(#[from] client::Error),
    /// A host refused.
    #[error("{code}: {message}")]
    Refused {
        /// The stable code.
        code: String,
        /// Why.
        message: String,
    },
    /// A host answered something else than meant.
    #[error("{0}")]
    Unexpected(String),
    /// A version is accepted, but some hosts did not report it in time.
    #[error("version {version} is accepted, but not reported in force by: {}", hosts.join(", "))]
    NotEverywhere {
        /// The version.
        version: u64,
        /// The hosts.
        hosts: Vec<String>,
    },
}

impl Error {
    /// The exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Unexpected(_) => FAILED,
            Self::Usage(_) | Self::File { .. } | Self::Document { .. } | Self::Policy(_) => USAGE,
            Self::NoAnswer(_) => NO_ANSWER,
            Self::NotEverywhere { .. } => NOT_EVERYWHERE,
        }
    }
}
