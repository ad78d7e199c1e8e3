//! What the tests of the home's queue have in common: offers, servers, and a reading of its actions.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::pool::{Action, Offer, Pool, Spec, Ticket};
use cypressvane::refusal::Reason;

/// The ticket of a number.
pub fn ticket(sequence: u64) -> Ticket {
    Ticket {
        holder: "host-0".into(),
        incarnation: 1,
        sequence,
    }
}

/// An offer that waits for as long as it takes: a minute.
pub fn patient(sequence: u64, rank: usize, prompt_tokens: u32, now: Instant) -> Offer {
    let deadline = now + Duration::from_secs(60);
    Offer {
        ticket: ticket(sequence),
        rank,
        priority: 0,
        prompt_tokens,
        arrived: now,
        deadline,
        first_token: Duration::from_millis(460),
        pause: Duration::ZERO,
        answer_tokens: 0,
        whole_by: deadline,
        avoid: None,
        early: false,
        returning: false,
        late: false,
        mark: None,
        opening: None,
        data_centre: None,
    }
}

/// An offer that is worth little when it is late: within 0.8 s, of a caller that leaves after 15 s.
pub fn hurried(sequence: u64, word: i64, now: Instant) -> Offer {
    let deadline = now + Duration::from_secs(15);
    Offer {
        priority: word,
        deadline,
        first_token: Duration::from_millis(800),
        whole_by: deadline,
        early: true,
        mark: Some(sequence),
        ..patient(sequence, 0, 100, now)
    }
}

/// A server of a number.
pub fn spec(index: u16, slots: u32) -> Spec {
    Spec {
        name: format!("server-{index}").into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + index)),
        data_centre: None,
        slots,
        leaving: false,
        started_ms: None,
    }
}

/// A pool of servers with places enough.
pub fn roomy(servers: u16, now: Instant) -> Pool {
    let mut pool = Pool::new("register-model".into(), 10_000);
    let specs: Vec<_> = (0..servers).map(|index| spec(index, 50)).collect();
    pool.set_servers(&specs, now);
    pool
}

/// Numbers of the granted, and the refused with why.
pub fn split(actions: Vec<Action>) -> (Vec<u64>, Vec<(u64, Reason)>) {
    let (mut granted, mut refused) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Grant { ticket, .. } => granted.push(ticket.sequence),
            Action::Refuse { ticket, reason } => refused.push((ticket.sequence, reason)),
        }
    }
    (granted, refused)
}

/// Numbers of the granted.
pub fn granted(actions: Vec<Action>) -> Vec<u64> {
    split(actions).0
}

/// The server that the first grant names.
pub fn server_of(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Grant { server, .. } => Some(server.to_string()),
        Action::Refuse { .. } => None,
    })
}
