//! Reads the log files of hosts.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::Error;

/// The fields of a log line.
pub type Fields = Map<String, Value>;

/// Reads a file line by line; `take` gets `None` for a line that is no log line.
pub fn read(path: &Path, mut take: impl FnMut(Option<Fields>)) -> Result<(), Error> {
    let failed = |source| Error::File {
        path: PathBuf::from(path),
        source,
    };
    let mut lines = BufReader::new(File::open(path).map_err(failed)?).split(b'\n');
    while let Some(line) = lines.next().transpose().map_err(failed)? {
        if !line.trim_ascii().is_empty() {
            take(parse(&line));
        }
    }
    Ok(())
}

/// The object of a log line; something else may stand before it, such as a collector's own time.
fn parse(line: &[u8]) -> Option<Fields> {
    let begin = line.iter().position(|byte| *byte == b'{')?;
    let fields: Fields = serde_json::from_slice(&line[begin..]).ok()?;
    fields.contains_key("msg").then_some(fields)
}
