//! Prints the results of commands.

use std::io::{self, Write as _};
use std::str::FromStr;

use serde::Serialize;

use crate::error::Error;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
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

/// Prints the result of a command.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    format: Format,
}

impl Output {
    pub fn new(format: Format) -> Self {
        Self { format }
    }

    /// Prints the value as JSON, or the text that `text` returns.
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

/// Prints a line. A broken pipe is not an error, since its reader needs no more output.
pub fn write_line(line: &str) -> Result<(), Error> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(Error::Unexpected(error.to_string()))
        }
        _ => Ok(()),
    }
}
