//! Tests the output and exit codes of `--check` and of the command line.

use std::env;
use std::fs;
use std::process::{Command, Output};

struct Case {
    name: &'static str,
    /// Text of the valid settings that `to` replaces.
    from: &'static str,
    to: &'static str,
    code: i32,
    /// Texts that the output must contain.
    expected: &'static [&'static str],
}

const VALID: &str = r#"[host]
name = "hut-north-1"
data_centre = "hut-north"
region = "high-country"
peer_key = "0123456789abcdef"

[listeners]
callers = "127.0.0.1:0"

[platform]
table = "127.0.0.1:9001"
hosts = "127.0.0.1:9002"

[limits]
body_bytes = 1000

[timeouts]
head_ms = 100
"#;

const CASES: &[Case] = &[
    Case {
        name: "valid",
        from: "",
        to: "",
        code: 0,
        expected: &["the settings are right"],
    },
    Case {
        name: "unknown key",
        from: "body_bytes = 1000",
        to: "body_bytes = 1000\nbody_bites = 7",
        code: 0,
        expected: &["warning", "line 16", "limits.body_bites"],
    },
    Case {
        name: "wrong type",
        from: "body_bytes = 1000",
        to: "body_bytes = \"many\"",
        code: 2,
        expected: &["line 15", "body_bytes", "many", "u64"],
    },
    Case {
        name: "no address",
        from: "127.0.0.1:9001",
        to: "nowhere",
        code: 2,
        expected: &["line 11", "table", "socket address"],
    },
    Case {
        name: "out of range",
        from: "head_ms = 100",
        to: "head_ms = 0",
        code: 2,
        expected: &[
            "line 18",
            "timeouts.head_ms",
            "0 found",
            "1 to 3600000 allowed",
        ],
    },
    Case {
        name: "short peer key",
        from: "0123456789abcdef",
        to: "short",
        code: 2,
        expected: &[
            "line 5",
            "host.peer_key",
            "5 bytes found",
            "16 bytes or more allowed",
        ],
    },
    Case {
        name: "bounds with fractions",
        from: "[timeouts]",
        to: "[retries]\nratio = 0.25\nspare = 33.1578947368421\nwindow_ms = 7.5e3\n\
             [accounts]\nwindow_ms = 10e3\noverage = 0.1\nslack = 7368.42\n[timeouts]",
        code: 0,
        expected: &["the settings are right"],
    },
    Case {
        name: "a negative number of spare retries",
        from: "[timeouts]",
        to: "[retries]\nspare = -0.5\n[timeouts]",
        code: 2,
        expected: &["retries.spare", "-0.5 found", "0 to 1048576"],
    },
    Case {
        name: "a window that is no number",
        from: "[timeouts]",
        to: "[accounts]\nwindow_ms = nan\n[timeouts]",
        code: 2,
        expected: &["accounts.window_ms", "NaN found"],
    },
    Case {
        name: "a single end of a server quarantines a request",
        from: "[timeouts]",
        to: "[quarantine]\nends = 1\n[timeouts]",
        code: 2,
        expected: &["quarantine.ends", "1 found", "2 to 60"],
    },
    Case {
        name: "ends are remembered for too short a time",
        from: "[timeouts]",
        to: "[quarantine]\nkept_ms = 10\n[timeouts]",
        code: 2,
        expected: &["quarantine.kept_ms", "10 found", "1000 to 86400000"],
    },
    Case {
        name: "missing section",
        from: "[platform]\ntable = \"127.0.0.1:9001\"\nhosts = \"127.0.0.1:9002\"\n",
        to: "",
        code: 2,
        expected: &["platform"],
    },
    Case {
        name: "no TOML",
        from: "[host]",
        to: "[host",
        code: 2,
        expected: &["line 1"],
    },
];

fn daemon(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_cypressvaned");
    Command::new(program)
        .args(arguments)
        .output()
        .expect("the daemon starts")
}

fn printed(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("{out}{err}")
}

#[test]
fn errors_in_a_settings_file_name_key_and_line() {
    for (index, case) in CASES.iter().enumerate() {
        let path = env::temp_dir().join(format!("settings-{}-{index}.toml", std::process::id()));
        fs::write(&path, VALID.replace(case.from, case.to)).expect("a temporary file");
        let output = daemon(&["--check", "--config", &path.to_string_lossy()]);
        fs::remove_file(&path).expect("the file is there");
        let printed = printed(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {printed}",
            case.name
        );
        for substring in case.expected {
            assert!(
                printed.contains(substring),
                "{}: {substring:?} is not in {printed}",
                case.name
            );
        }
    }
}

#[test]
fn the_example_file_is_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/cypressvaned.toml");
    let text = fs::read_to_string(example).expect("the example is there");
    // The commented-out defaults are enabled, so that none may be an unknown key or out of range.
    let uncommented: Vec<&str> = text
        .lines()
        .map(|line| {
            line.strip_prefix("# ")
                .filter(|rest| rest.contains(" = "))
                .unwrap_or(line)
        })
        .filter(|line| !line.starts_with("bootstrap_key_sha256"))
        .collect();
    let path = env::temp_dir().join(format!("settings-{}-example.toml", std::process::id()));
    fs::write(&path, uncommented.join("\n")).expect("a temporary file");
    for file in [example, &path.to_string_lossy()] {
        let output = daemon(&["--check", "--config", file]);
        let printed = printed(&output);
        assert_eq!(output.status.code(), Some(0), "{printed}");
        assert!(!printed.contains("warning"), "{printed}");
    }
    fs::remove_file(&path).expect("the file is there");
}

#[test]
fn the_command_line_is_checked() {
    let cases: [(&[&str], i32, &str); 7] = [
        (&["--version"], 0, env!("CARGO_PKG_VERSION")),
        (&["--help"], 0, "--config"),
        (&[], 2, "--config FILE or --dev is needed"),
        (&["--nonsense"], 2, "nonsense"),
        (&["--dev", "--check"], 2, "--check needs --config FILE"),
        (
            &["--config", "/nonexistent/settings.toml"],
            2,
            "/nonexistent/settings.toml",
        ),
        (&["--dev", "--listen", "0.0.0.0:0"], 2, "loopback"),
    ];
    for (arguments, code, substring) in cases {
        let output = daemon(arguments);
        let printed = printed(&output);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {printed}");
        assert!(printed.contains(substring), "{arguments:?}: {printed}");
    }
}
