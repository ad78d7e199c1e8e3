//! What a command prints.

use std::io::{self, Write as _};
use std::str::FromStr;

use serde::Serialize;

use crate::error::Error;

/// How it is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For a person.
    Text,
    /// One JSON value.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} found, text or json allowed")),
        }
    }
}

/// Prints what a command found.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    format: Format,
}

impl Output {
    /// Prints in a format.
    pub fn new(format: Format) -> Self {
        Self { format }
    }

    /// Prints a value as JSON, or its text.
    pub fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce() -> String,
    ) -> Result<(), Error> {
        let line = match self.format {
            Format::Text => text(),
            Format::Json => serde_json::to_string(value)
                .map_err(|error| Error::Unexpected(error.to_string()))?,
        };
        write_line(&line)
    }
}

/// Prints a line; a reader that closed the pipe has read enough.
pub fn write_line(line: &str) -> Result<(), Error> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(Error::Unexpected(error.to_string()))
        }
        _ => Ok(()),
    }
}
