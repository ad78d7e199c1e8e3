//! Reads and checks the settings file; errors name the key and the line.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use cypressvane::config::{self, Config};
use toml::de::DeTable;

/// Settings that passed all checks.
#[derive(Debug)]
pub struct Settings {
    pub config: Config,
    /// Keys that no section defines, each with its line number.
    pub unknown_keys: Vec<String>,
}

/// An error in a settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not valid TOML, a key is missing, or a value has the wrong type.
    #[error("{}: {source}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The parse error, which names the line.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its range.
    #[error("{}: {}{source}", path.display(), line_prefix(*line))]
    Range {
        /// The file.
        path: PathBuf,
        /// The line of the key; `None` if the file does not set it.
        line: Option<usize>,
        /// The key, the value found and the allowed range.
        source: config::Error,
    },
}

fn line_prefix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!("line {line}: "))
}

/// Reads and checks a settings file.
///
/// # Errors
/// Returns an error if the file cannot be read, is not valid TOML, or has a value outside its range.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Parses and checks the text of a settings file.
fn parse(path: &Path, text: &str) -> Result<Settings, Error> {
    let syntax = |source| Error::Syntax {
        path: path.to_owned(),
        source: Box::new(source),
    };
    let mut unknown_keys = Vec::new();
    let deserializer = toml::Deserializer::parse(text).map_err(syntax)?;
    let config: Config = serde_ignored::deserialize(deserializer, |key| {
        unknown_keys.push(key.to_string());
    })
    .map_err(|mut error: toml::de::Error| {
        error.set_input(Some(text));
        syntax(error)
    })?;
    config.check().map_err(|source| {
        let line = line_of(text, source.key);
        Error::Range {
            path: path.to_owned(),
            line,
            source,
        }
    })?;
    let unknown_keys = unknown_keys
        .iter()
        .map(|key| format!("{}{key}", line_prefix(line_of(text, key))))
        .collect();
    Ok(Settings {
        config,
        unknown_keys,
    })
}

/// Returns the line number of a dotted key.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let document = DeTable::parse(text).ok()?;
    let mut table = document.get_ref();
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        let (name, value) = table.iter().find(|(name, _)| name.get_ref() == part)?;
        if parts.peek().is_none() {
            let before = text.get(..name.span().start)?;
            return Some(before.matches('\n').count() + 1);
        }
        table = value.get_ref().as_table()?;
    }
    None
}
