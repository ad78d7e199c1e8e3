//! The errors of commands and their exit codes.

use std::io;
use std::path::PathBuf;

use cypressvane::{client, policy};

/// Exit code when a host refused, or the command failed in another way.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line or file.
const EXIT_USAGE: u8 = 2;
/// Exit code when a host gave no answer.
const EXIT_NO_ANSWER: u8 = 3;
/// Exit code when a version is not in force on every host in time.
const EXIT_NOT_EVERYWHERE: u8 = 4;

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The contents of a file are invalid, or a chart cannot be drawn into a file.
    #[error("{}: {cause}", path.display())]
    Document {
        /// The file.
        path: PathBuf,
        /// The error in the contents or in drawing.
        cause: String,
    },
    /// A policy program does not compile or fails on an example.
    #[error(transparent)]
    Policy(#[from] policy::Error),
    /// A host gave no answer.
    #[error(transparent)]
    NoAnswer(#[from] client::Error),
    /// A host refused.
    #[error("{code}: {message}")]
    Refused {
        /// The code of the refusal, which is the same in all versions.
        code: String,
        /// The reason, for people.
        message: String,
    },
    /// A host gave an unexpected answer, log files lack what was asked for, or output cannot be written.
    #[error("{0}")]
    Unexpected(String),
    /// A version is accepted, but some hosts did not report it in time.
    #[error("version {version} is accepted, but not reported in force by: {}", hosts.join(", "))]
    NotEverywhere {
        /// The version.
        version: u64,
        /// The hosts that did not report it.
        hosts: Vec<String>,
    },
}

impl Error {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Unexpected(_) => EXIT_FAILED,
            Self::Usage(_) | Self::File { .. } | Self::Document { .. } | Self::Policy(_) => {
                EXIT_USAGE
            }
            Self::NoAnswer(_) => EXIT_NO_ANSWER,
            Self::NotEverywhere { .. } => EXIT_NOT_EVERYWHERE,
        }
    }
}
