//! Tests that reads from a peer which always has more take turns and end.

use std::io;
use std::task::{Context, Poll, Waker};

use super::{Meter, SLICE_BYTES, Slice, USELESS_BYTES_MAX};
use crate::seeded;

/// What a peer has to say at a read.
fn reads(sizes: &[u16]) -> Vec<Poll<io::Result<usize>>> {
    let mut slice = Slice::default();
    let mut context = Context::from_waker(Waker::noop());
    let polled = sizes.iter().map(|size| {
        slice.poll_read(&mut context, |_| match size {
            0 => Poll::Pending,
            size => Poll::Ready(Ok(usize::from(*size))),
        })
    });
    polled.collect()
}

#[test]
fn a_task_reads_no_more_than_its_turn_at_once() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck takes values")]
    fn holds(sizes: Vec<u16>) -> bool {
        let mut at_once = 0;
        reads(&sizes).into_iter().all(|polled| {
            at_once = match polled {
                Poll::Ready(Ok(count)) => at_once + count,
                Poll::Ready(Err(_)) | Poll::Pending => 0,
            };
            at_once < SLICE_BYTES + usize::from(u16::MAX)
        })
    }
    seeded::quickcheck().quickcheck(holds as fn(Vec<u16>) -> bool);
    assert!(holds(vec![u16::MAX; 50]));
    assert!(reads(&[u16::MAX; 50]).iter().any(Poll::is_pending));
}

#[test]
fn a_meter_is_exceeded_by_what_is_of_no_use() {
    struct Case {
        name: &'static str,
        /// Bytes that are read, each followed by something of use or not.
        reads: &'static [(usize, bool)],
        is_exceeded: bool,
    }
    let cases = [
        Case {
            name: "nothing",
            reads: &[],
            is_exceeded: false,
        },
        Case {
            name: "a long message in many parts",
            reads: &[(USELESS_BYTES_MAX, true); 8],
            is_exceeded: false,
        },
        Case {
            name: "without end",
            reads: &[(USELESS_BYTES_MAX, false), (1, false)],
            is_exceeded: true,
        },
        Case {
            name: "without end after a part of use",
            reads: &[(100, true), (USELESS_BYTES_MAX, false), (1, false)],
            is_exceeded: true,
        },
    ];
    for case in cases {
        let meter = Meter::default();
        for (bytes, is_useful) in case.reads {
            meter.add(*bytes);
            if *is_useful {
                meter.note_use();
            }
        }
        assert_eq!(meter.is_exceeded(), case.is_exceeded, "{}", case.name);
    }
}
