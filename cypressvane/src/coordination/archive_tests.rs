//! Tests which rows the versions of streams are written to, and what is read from them.

use std::sync::LazyLock;
use std::time::Duration;

use super::{
    Group, SEGMENT_STREAMS, SEGMENT_STREAMS_MAX, SEGMENT_TIME, SLOTS, Segment, sort_by_age,
};
use crate::coordination::origin::{Id, RECORDS_MAX, Version};
use crate::state::clock::Instant;
use crate::state::name::Name;

fn id(index: usize) -> Id {
    Id::of("desk", None, &index.to_string())
}

fn version(name: &str) -> Name {
    name.into()
}

/// A group whose rows were read when they were empty.
fn empty_group() -> Group {
    let mut group = Group::default();
    group.continue_after(&[]);
    group
}

/// Writes a segment with one stream; the one before is full by then.
fn next_segment(group: &mut Group, number: u32) -> Segment {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    group.note(id(0), &Some(version("v1")));
    group
        .take_segment(*START + SEGMENT_TIME * number)
        .expect("the rows were read, and there is a stream")
}

#[test]
fn segments_keep_the_streams_and_their_versions() {
    let cases: [&[(usize, Version)]; 4] = [
        &[(1, Some(version("v1")))],
        &[
            (1, Some(version("v1"))),
            (2, Some(version("v2"))),
            (3, Some(version("v1"))),
        ],
        &[(1, None), (2, Some(version("v2")))],
        &[(1, Some(version("a \"version\"\n")))],
    ];
    for case in cases {
        let mut group = empty_group();
        for (index, version) in case {
            group.note(id(*index), version);
        }
        let segment = group.take_segment(Instant::now());
        let segment = segment.expect("there are streams");
        assert_eq!(group.unsaved(), 0);
        let read = Segment::parse(&segment.value()).expect("it was written");
        assert_eq!(read, segment);
        let mut streams = read.streams().expect("it was written");
        let mut expected: Vec<(Id, Version)> = case
            .iter()
            .map(|(index, version)| (id(*index), version.clone()))
            .collect();
        streams.sort();
        expected.sort();
        assert_eq!(streams, expected);
    }
}

#[test]
fn malformed_rows_are_rejected() {
    let cases = [
        ("", false),
        ("{}", false),
        (r#"{"sequence": -1, "batches": []}"#, false),
        (r#"{"sequence": 1, "batches": [{"ids": 4}]}"#, false),
        (
            r#"{"sequence": 1, "batches": [{"version": "v1", "ids": "?"}]}"#,
            false,
        ),
        (
            r#"{"sequence": 1, "batches": [{"version": "v1", "ids": "AAAA"}]}"#,
            false,
        ),
        (r#"{"sequence": 1, "batches": []}"#, true),
    ];
    for (value, is_sound) in cases {
        let streams = Segment::parse(value).and_then(|segment| segment.streams());
        assert_eq!(streams.is_ok(), is_sound, "{value}: {streams:?}");
    }
}

#[test]
fn nothing_is_written_before_the_rows_have_been_read() {
    let now = Instant::now();
    let mut group = Group::default();
    group.note(id(0), &Some(version("v1")));
    assert_eq!(group.take_segment(now), None);
    group.continue_after(&[]);
    assert!(group.take_segment(now).is_some());
    // Another host may write now.
    group.suspend();
    group.note(id(1), &Some(version("v1")));
    assert_eq!(group.take_segment(now), None);
}

/// A row is written again with further streams, until the segment is full.
#[test]
fn segments_are_filled() {
    struct Case {
        name: &'static str,
        streams: usize,
        later: Duration,
        fails: bool,
        /// Whether the next stream goes to the same row.
        is_same_row: bool,
    }
    let case = |name, streams, later, fails, is_same_row| Case {
        name,
        streams,
        later,
        fails,
        is_same_row,
    };
    let soon = SEGMENT_TIME / 2;
    let cases = [
        case("a few streams", 3, soon, false, true),
        case("a few streams, long ago", 3, SEGMENT_TIME, false, false),
        case("many streams", SEGMENT_STREAMS, soon, false, false),
        case("a write that failed", 3, soon, true, false),
    ];
    let now = Instant::now();
    for case in cases {
        let mut group = empty_group();
        for index in 0..case.streams {
            group.note(id(index), &Some(version("v1")));
        }
        let first = group.take_segment(now).expect("there are streams");
        assert_eq!(group.take_segment(now), None, "{}", case.name);
        if case.fails {
            group.note_failure();
        }
        group.note(id(case.streams), &Some(version("v1")));
        let second = group.take_segment(now + case.later);
        let second = second.expect("there are streams");
        let is_same_row = second.slot() == first.slot();
        assert_eq!(is_same_row, case.is_same_row, "{}", case.name);
        let streams = second.streams().expect("it is well-formed");
        let is_whole = case.is_same_row || case.fails;
        let expected = if is_whole { case.streams + 1 } else { 1 };
        assert_eq!(streams.len(), expected, "{}", case.name);
    }
}

#[test]
fn segments_continue_after_those_of_other_hosts() {
    let mut other = empty_group();
    let count = u32::try_from(SLOTS).expect("a small number") + 3;
    let written: Vec<Segment> = (0..count)
        .map(|number| next_segment(&mut other, number))
        .collect();
    // The oldest have been overwritten, and rows are read in the order of their keys.
    let mut rows: Vec<Segment> = written[3..].to_vec();
    rows.sort_by_key(Segment::slot);
    let mut group = Group::default();
    group.continue_after(&rows);
    assert_eq!(
        next_segment(&mut group, count),
        next_segment(&mut other, count)
    );
    sort_by_age(&mut rows);
    assert_eq!(rows, written[3..]);
    // Rows that came back older do not take the numbers back.
    group.continue_after(&written[..2]);
    assert_eq!(
        next_segment(&mut group, count + 1),
        next_segment(&mut other, count + 1)
    );
}

#[test]
fn rows_and_what_is_not_written_are_bounded() {
    let mut group = empty_group();
    for index in 0..=RECORDS_MAX {
        group.note(id(index), &Some(version("v1")));
    }
    assert_eq!(group.unsaved(), RECORDS_MAX);
    let segment = group.take_segment(Instant::now());
    let segment = segment.expect("there are streams");
    let streams = segment.streams().expect("it is well-formed");
    assert_eq!(streams.len(), SEGMENT_STREAMS_MAX);
    assert_eq!(streams[0].0, id(1), "the oldest is left out");
    // The platform takes rows of 64 KiB.
    assert!(segment.value().len() < 64 << 10);
}
