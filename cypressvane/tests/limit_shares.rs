//! The shares of an account limit that hosts give out on their own.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::fleet::Account;
use cypressvane::limit::{Ledger, Share, Tolerance};

#[test]
fn hosts_that_each_give_out_their_own_share_keep_the_limit_together() {
    // Guards against each host giving out the whole slack instead of its share. After all of 295 hosts were killed, an
    // account got 1.4% more than its limit in a window: homes answer late after a start, and each host without an
    // answer gives out its own share, which was a part of the rate and the burst, but all of the slack. The sum of the
    // shares below was 7.5 times the limit.
    const RATE: u32 = 300_000;
    const SLACK: u32 = 140_000;
    const REQUEST: u32 = 50;
    const STEP_MS: u64 = 20;
    const STEPS: u64 = 600;
    let window = Duration::from_secs(8);
    let tolerance = Tolerance {
        window,
        overage: 0.1,
        slack: f64::from(SLACK),
    };
    let allowed = (u64::from(RATE) * 8 + u64::from(RATE)) * 11 / 10 + u64::from(SLACK);
    let account = Account {
        name: "rangers".into(),
        tokens_per_second: Some(RATE),
        ..Account::default()
    };
    for hosts in [1, 2, 7, 87, 295] {
        let began = Instant::now();
        let share = Share {
            represented: 1,
            total: hosts,
        };
        let mut ledger = Ledger::new(Some(tolerance), began);
        // All hosts behave alike, so one stands for each.
        let handed_out: Vec<u64> = (0..STEPS)
            .map(|step| {
                let now = began + Duration::from_millis(STEP_MS * step);
                let mut tokens = 0;
                while ledger.try_take(&account, REQUEST, share, now).is_ok() {
                    tokens += u64::from(REQUEST);
                }
                tokens * u64::from(hosts)
            })
            .collect();
        let steps = usize::try_from(8_000 / STEP_MS).expect("a small number");
        let max_in_window = handed_out
            .windows(steps)
            .map(|window| window.iter().sum::<u64>())
            .max();
        let max_in_window = max_in_window.expect("more steps than a window has");
        assert!(
            max_in_window <= allowed,
            "{hosts} hosts: {max_in_window} of {allowed}"
        );
        assert!(
            max_in_window * 4 >= allowed * 3,
            "{hosts} hosts: only {max_in_window} of {allowed}"
        );
    }
}
