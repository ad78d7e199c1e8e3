//! Tests `cypressvane profile`: the durations of answered requests from log files.

use std::path::PathBuf;
use std::process::Command;
use std::{env, fs};

const LOG: &str = r#"{"msg":"request","service":"desk","outcome":"answered","admitted_ms":1,"waited_ms":5,"connected_ms":6,"first_ms":46,"ms":246}
 0.2 host-1 {"msg":"request","service":"desk","outcome":"answered","admitted_ms":3,"waited_ms":13,"connected_ms":16,"first_ms":96,"ms":96}
{"msg":"request","service":"desk","outcome":"answered","admitted_ms":2,"waited_ms":90,"connected_ms":91,"first_ms":40,"ms":140}
{"msg":"request","service":"desk","outcome":"backend_failed","admitted_ms":1,"waited_ms":9000,"connected_ms":9000,"first_ms":9000,"ms":9000}
{"msg":"request","service":"other","outcome":"answered","admitted_ms":0,"waited_ms":0,"connected_ms":0,"ms":7}
a line of another program
"#;

#[test]
fn each_part_of_a_request_has_its_durations() {
    let path = |name: &str| env::temp_dir().join(format!("profile-{}-{name}", std::process::id()));
    let (log, plot): (PathBuf, PathBuf) = (path("log"), path("plot.svg"));
    fs::write(&log, LOG).expect("a temporary file");
    let tool = || Command::new(env!("CARGO_BIN_EXE_cypressvane"));
    let output = tool()
        .args(["profile", "--plot"])
        .args([&plot, &log])
        .output()
        .expect("the tool runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    struct Case {
        part: &'static str,
        numbers: [&'static str; 4],
    }
    let cases = [
        Case {
            part: "read and admitted",
            numbers: ["2.0", "2", "2", "2"],
        },
        Case {
            part: "waiting for a grant",
            numbers: ["34.0", "10", "10", "10"],
        },
        Case {
            part: "connecting",
            numbers: ["1.7", "1", "1", "1"],
        },
        Case {
            part: "until the first answer",
            numbers: ["40.0", "40", "40", "40"],
        },
        Case {
            part: "the rest of the answer",
            numbers: ["83.0", "49", "49", "49"],
        },
    ];
    assert!(text.starts_with("desk: 3 answered requests"), "{text}");
    for case in cases {
        let line = text.lines().find(|line| line.contains(case.part));
        let line = line.unwrap_or_else(|| panic!("no {}: {text}", case.part));
        let rest = line.replace(case.part, "");
        let numbers: Vec<&str> = rest.split_whitespace().collect();
        assert_eq!(numbers, case.numbers, "{text}");
    }
    let chart = fs::read_to_string(&plot).expect("the chart");
    assert!(chart.contains("desk") && chart.contains("connecting"));
    let empty = tool().arg("profile").output().expect("the tool runs");
    assert_eq!(empty.status.code(), Some(2));
    // Leftover temporary files do no harm.
    let _ = (fs::remove_file(&log), fs::remove_file(&plot));
}
