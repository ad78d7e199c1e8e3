//! What the system is told about connections that fall silent.
//!
//! Seen: on a site where most open connections fell silent without a reset while new ones worked, calls that
//! waited at the platform were noticed 10 s later, not after the 2.5 s that they were set to. The limit
//! bounds unacknowledged data; nothing is sent on a call that waits, and its probes went on for as many
//! times as the system has by default, which is nine. Proved by the moments at which the hosts of that
//! site read the list again: 10.0 s after the silence began, the first probe and nine more.

use std::net::TcpListener;
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

use super::probe;

#[test]
fn probes_that_nobody_answers_end_within_the_limit() {
    struct Case {
        limit_ms: u64,
        /// From the last byte to the end, by the system's schedule of probes.
        ends_ms: u64,
    }
    let cases = [
        // The system counts idle time in whole seconds: one, and one more for the answer.
        Case {
            limit_ms: 1_000,
            ends_ms: 2_000,
        },
        Case {
            limit_ms: 2_000,
            ends_ms: 2_000,
        },
        Case {
            limit_ms: 2_500,
            ends_ms: 2_000,
        },
        Case {
            limit_ms: 5_000,
            ends_ms: 5_000,
        },
    ];
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("its address");
        for case in cases {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let limit = Duration::from_millis(case.limit_ms);
            probe(&stream, limit).expect("the options are taken");
            let idle = sockopt::tcp_keepidle(&stream).expect("the idle time");
            let interval = sockopt::tcp_keepintvl(&stream).expect("the interval");
            let count = sockopt::tcp_keepcnt(&stream).expect("the count");
            let ends = Duration::from_millis(case.ends_ms);
            assert_eq!(idle + interval * count, ends, "limit {limit:?}");
        }
    });
}
