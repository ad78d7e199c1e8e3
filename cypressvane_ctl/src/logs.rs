//! Reads the log files of hosts.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::Error;

/// The fields of a log line.
pub type Fields = Map<String, Value>;

/// Reads a file line by line and calls `on_line` with the fields of each; `None` if it is not a log line.
pub fn read(path: &Path, mut on_line: impl FnMut(Option<Fields>)) -> Result<(), Error> {
    let read_error = |source| Error::File {
        path: PathBuf::from(path),
        source,
    };
    let mut lines = BufReader::new(File::open(path).map_err(read_error)?).split(b'\n');
    while let Some(line) = lines.next().transpose().map_err(read_error)? {
        if !line.trim_ascii().is_empty() {
            on_line(parse(&line));
        }
    }
    Ok(())
}

/// Parses the JSON object of a log line. Text may precede it, such as the timestamp of a log collector.
fn parse(line: &[u8]) -> Option<Fields> {
    let start = line.iter().position(|byte| *byte == b'{')?;
    let fields: Fields = serde_json::from_slice(&line[start..]).ok()?;
    fields.contains_key("msg").then_some(fields)
}
