//! Guards against keepalive probes that outlast the user timeout.
//!
//! On a site where most open connections fell silent without a reset while new ones worked, calls that waited at the
//! platform broke after 10.0 s instead of the configured 2.5 s; the hosts read the host list again only then. The user
//! timeout bounds only unacknowledged data, and a waiting call sends none, so the probes ran for the system's default
//! count: the first probe and nine more.

use std::net::TcpListener;
use std::time::Duration;

use rustix::net::sockopt;
use smol::net::TcpStream;

use super::enable;

/// When Linux ends unanswered probes of a connection with a user timeout: at the first time of a probe after it, but
/// not before one probe has gone unanswered.
fn probes_end_at(user_timeout: Duration, idle: Duration, interval: Duration) -> Duration {
    let mut at = idle + interval;
    while at < user_timeout {
        at += interval;
    }
    at
}

#[test]
fn unanswered_probes_end_within_the_limit() {
    struct Case {
        limit_ms: u64,
        /// Time from the last byte until the connection breaks, by the probe schedule.
        ends_ms: u64,
    }
    let cases = [
        // The system counts in whole seconds: one of idle time, and one more for the answer to the probe.
        Case {
            limit_ms: 700,
            ends_ms: 2_000,
        },
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
            enable(&stream, limit).expect("the options are taken");
            let idle = sockopt::tcp_keepidle(&stream).expect("the idle time");
            let interval = sockopt::tcp_keepintvl(&stream).expect("the interval");
            let count = sockopt::tcp_keepcnt(&stream).expect("the count");
            let ends = Duration::from_millis(case.ends_ms);
            assert_eq!(idle + interval * count, ends, "limit {limit:?}");
            let user_timeout = sockopt::tcp_user_timeout(&stream).expect("the user timeout");
            let user_timeout = Duration::from_millis(user_timeout.into());
            assert_eq!(
                probes_end_at(user_timeout, idle, interval),
                ends,
                "limit {limit:?}, by the user timeout"
            );
        }
    });
}
