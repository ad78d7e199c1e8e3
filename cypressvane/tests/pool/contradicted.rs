//! Reports that a server is unreachable, while other hosts' requests are answered there.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{End, Pool, Ticket};

use crate::common::{granted, patient_offer, spec};

/// When the server answers another host, relative to the grant whose holder reports it unreachable.
#[derive(Clone, Copy, Debug)]
enum Answered {
    Never,
    Before(Duration),
    Afterwards,
}

struct Case {
    name: &'static str,
    answered: Answered,
    /// Whether the server takes requests right after the report.
    is_live: bool,
    /// Whether it takes them 200 ms later.
    is_live_later: bool,
}

fn ticket_of(holder: &str, sequence: u64) -> Ticket {
    Ticket {
        holder: holder.into(),
        incarnation: 1,
        sequence,
    }
}

/// Guards against hosts that lose their links to the servers at once, and confirm to each other that a server is
/// unreachable, taking it from the hosts that it answers.
#[test]
fn a_server_that_answers_others_is_not_down_by_one_report() {
    let cases = [
        Case {
            name: "it answered nobody",
            answered: Answered::Never,
            is_live: false,
            is_live_later: false,
        },
        Case {
            name: "it answered another host long before the grant",
            answered: Answered::Before(Duration::from_secs(2)),
            is_live: false,
            is_live_later: false,
        },
        Case {
            name: "it answered another host just before the grant",
            answered: Answered::Before(Duration::from_millis(20)),
            is_live: false,
            is_live_later: true,
        },
        Case {
            name: "it answered another host after the grant",
            answered: Answered::Afterwards,
            is_live: true,
            is_live_later: true,
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut pool = Pool::new("register-model".into(), 64);
        pool.set_servers(&[spec(0, 8)], now);
        let ask = |pool: &mut Pool, holder: &str, sequence, now| {
            let mut offer = patient_offer(sequence, 0, 10, now);
            offer.ticket = ticket_of(holder, sequence);
            assert_eq!(granted(pool.offer(offer, now)), [sequence], "{}", case.name);
        };
        ask(&mut pool, "host-1", 1, now);
        if let Answered::Before(time) = case.answered {
            pool.finish(&ticket_of("host-1", 1), End::Whole, now);
            now += time;
        }
        ask(&mut pool, "host-0", 2, now);
        now += Duration::from_millis(5);
        if matches!(case.answered, Answered::Afterwards) {
            pool.finish(&ticket_of("host-1", 1), End::Whole, now);
        }
        now += Duration::from_millis(5);
        pool.finish(&ticket_of("host-0", 2), End::Unreachable, now);
        assert_eq!(pool.servers() == 1, case.is_live, "{}", case.name);
        now += Duration::from_millis(200);
        pool.tick(now);
        assert_eq!(pool.servers() == 1, case.is_live_later, "{}", case.name);
    }
}
