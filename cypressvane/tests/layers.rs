//! Checks that each layer of the crate uses only the layers below it.

use std::fs;
use std::path::{Path, PathBuf};

/// The layers, lowest first.
const LAYERS: [&str; 4] = ["state", "coordination", "protocol", "transport"];

/// Returns the Rust files in a directory and its subdirectories.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("the sources can be read");
    let paths = entries.map(|entry| entry.expect("an entry of the sources").path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                return source_files(&path);
            }
            let is_rust = path.extension().is_some_and(|extension| extension == "rs");
            if is_rust { vec![path] } else { Vec::new() }
        })
        .collect()
}

/// Returns the lines of a source that refer to a layer above `layer`.
fn upward_references(layer: usize, text: &str) -> Vec<&str> {
    let names_higher = |line: &&str| {
        let mut higher = LAYERS[layer + 1..].iter();
        higher.any(|name| line.contains(&format!("crate::{name}")))
    };
    text.lines().filter(names_higher).collect()
}

#[test]
fn no_layer_uses_a_higher_one() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for (index, layer) in LAYERS.iter().enumerate() {
        let files = source_files(&root.join(layer));
        assert!(!files.is_empty(), "{layer} has no sources");
        for file in files {
            let text = fs::read_to_string(&file).expect("a source can be read");
            let found = upward_references(index, &text);
            assert!(found.is_empty(), "{}: {found:?}", file.display());
        }
    }
}

#[test]
fn a_reference_to_a_higher_layer_is_detected() {
    struct Case {
        layer: usize,
        line: &'static str,
        is_upward: bool,
    }
    let cases = [
        Case {
            layer: 0,
            line: "use crate::coordination::pool::Pool;",
            is_upward: true,
        },
        Case {
            layer: 1,
            line: "    let reason = crate::protocol::dump::Pool::default();",
            is_upward: true,
        },
        Case {
            layer: 1,
            line: "use crate::state::name::Name;",
            is_upward: false,
        },
        Case {
            layer: 3,
            line: "use crate::protocol::request;",
            is_upward: false,
        },
    ];
    for case in cases {
        assert_eq!(
            upward_references(case.layer, case.line).len(),
            usize::from(case.is_upward),
            "{}",
            case.line
        );
    }
}
