//! Reads the settings file and says what is wrong with it, with key and line.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use cypressvane::config::{self, Config};
use toml::de::DeTable;

/// Checked settings.
#[derive(Debug)]
pub struct Settings {
    /// The settings.
    pub config: Config,
    /// Keys that no section knows, each with its line.
    pub unknown: Vec<String>,
}

/// Why a settings file is not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is no TOML, a key is missing, or a value is of the wrong type.
    #[error("{}: {source}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What the parser said, with the line.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its range.
    #[error("{}: {}{source}", path.display(), at(*line))]
    Range {
        /// The file.
        path: PathBuf,
        /// The line, where the key stands in the file.
        line: Option<usize>,
        /// The key, what was found and what is allowed.
        source: config::Error,
    },
}

fn at(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!("line {line}: "))
}

/// Reads and checks a settings file.
///
/// # Errors
/// Names the key, the line, what was found and what is allowed.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Checks the text of a settings file.
fn parse(path: &Path, text: &str) -> Result<Settings, Error> {
    let syntax = |source| Error::Syntax {
        path: path.to_owned(),
        source: Box::new(source),
    };
    let mut unknown = Vec::new();
    let deserializer = toml::Deserializer::parse(text).map_err(syntax)?;
    let config: Config = serde_ignored::deserialize(deserializer, |key| {
        unknown.push(key.to_string());
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
    let unknown = unknown
        .iter()
        .map(|key| format!("{}{key}", at(line_of(text, key))))
        .collect();
    Ok(Settings { config, unknown })
}

/// The line on which a dotted key stands.
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
