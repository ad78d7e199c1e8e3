//! Issues orders to backend servers: one in flight for each server, numbered by the table service.
//!
//! A server's row holds its newest order. Who writes the row as pending, with the next number, may
//! send; everybody else waits until it is done or its issuer has been silent for long. A server that
//! refuses old numbers is then safe from a late issuer. For one that ignores numbers the issuer sends
//! only shortly after it wrote the row, and who takes over from a silent issuer looks again at the
//! server afterwards, and repeats the order if a late one has undone it.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Body, Method};
use smol::Timer;

use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::fresh_id;
use crate::state::clock::Instant;
use crate::state::order::{Entry, Numbered, Order, Report, Stage};
use crate::state::platform::{Error, Expect, Kind, Listing, Row, Write};
use crate::state::units::{millis, since_epoch};
use crate::transport::http::client::{self, Reply};
use crate::transport::node::Node;

/// Where a backend server takes orders and reports on them.
const ORDERS_PATH: &str = "/orders";
/// Silence after which a pending order's issuer is taken as gone.
const SILENT_AFTER: Duration = Duration::from_secs(6);
/// Time after writing the row in which an issuer may still send.
const SEND_WITHIN: Duration = Duration::from_secs(2);
/// Longest time that one call to a server may take.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Looks at the server until it shows the order.
const LOOKS: u32 = 10;
/// Rest between two looks.
const LOOK_REST: Duration = Duration::from_millis(100);
/// Looks after taking over from a silent issuer, to see whether a late order came.
const SETTLE_LOOKS: u32 = 10;
/// Rest between two of them.
const SETTLE_REST: Duration = Duration::from_millis(300);
/// Largest answer of a server, in bytes.
const ANSWER_BYTES_MAX: u64 = 1 << 20;

/// The order that this host may send.
struct Turn {
    key: String,
    entry: Entry,
    /// When the row was about to be written.
    begun: Instant,
    /// Whether an earlier issuer fell silent with an order that may still be on its way.
    took_over: bool,
}

/// Issues an order to a backend server and sees it carried out.
///
/// # Errors
/// `Conflict` while another order is in flight or when another issuer took over,
/// `PlatformUnavailable` when the table service does not answer, and `BackendFailed` when the server
/// refuses or does not show the order.
pub(crate) async fn issue(
    node: &Node,
    operator: &str,
    server: &str,
    order: Order,
) -> Result<Entry, Reason> {
    let address = find(node, server).await?;
    let mut turn = take_turn(node, operator, server, order).await?;
    let stage = carry_out(&turn, address).await;
    turn.entry.stage = if stage.is_ok() {
        Stage::Done
    } else {
        Stage::Failed
    };
    finish(node, &turn).await?;
    stage?;
    Ok(turn.entry)
}

/// The address of a backend server.
async fn find(node: &Node, server: &str) -> Result<SocketAddr, Reason> {
    let listing = node
        .roster
        .list(None, None)
        .await
        .map_err(|error| unavailable(&error))?;
    let Listing::Entries { entries, .. } = listing else {
        return Err(Reason::new(
            Code::PlatformUnavailable,
            "the host list gave no entries",
        ));
    };
    let found = entries
        .iter()
        .find(|entry| entry.kind == Kind::Backend && *entry.name == *server);
    let unknown = || {
        Reason::new(
            Code::NotFound,
            format!("no such backend server: {server:?}"),
        )
    };
    found.map(|entry| entry.address).ok_or_else(unknown)
}

/// Writes the order into the server's row, with the next number.
async fn take_turn(
    node: &Node,
    operator: &str,
    server: &str,
    order: Order,
) -> Result<Turn, Reason> {
    let key = format!("orders/{server}");
    let row = node
        .table
        .get(&key)
        .await
        .map_err(|error| unavailable(&error))?;
    let last = row.as_ref().map(parse).transpose()?;
    let now_ms = millis(since_epoch());
    let pending = last.as_ref().filter(|last| last.stage == Stage::Pending);
    if let Some(pending) = pending
        && now_ms.saturating_sub(pending.issued_at_ms) < millis(SILENT_AFTER)
    {
        return Err(in_flight(pending));
    }
    let number = last.as_ref().map_or(0, |last| last.newest.number) + 1;
    let entry = Entry {
        newest: Numbered { number, order },
        stage: Stage::Pending,
        id: fresh_id(),
        operator: operator.to_owned(),
        issuer: node.config.host.name.clone(),
        issued_at_ms: now_ms,
    };
    let begun = Instant::now();
    let took_over = pending.is_some();
    write(node, &key, &entry, row.as_ref()).await?;
    Ok(Turn {
        key,
        entry,
        begun,
        took_over,
    })
}

/// Writes a row if it is as it was read; a lost answer is read back.
async fn write(node: &Node, key: &str, entry: &Entry, before: Option<&Row>) -> Result<(), Reason> {
    let expect = before.map_or(Expect::Absent, |row| Expect::Revision(row.revision));
    let text = serde_json::to_string(entry).expect("plain values have a JSON form");
    match node.table.put(key, &text, expect).await {
        Ok(Write::Done) => Ok(()),
        Ok(Write::Conflict) | Err(Error::Lost(_)) => {
            let row = node
                .table
                .get(key)
                .await
                .map_err(|error| unavailable(&error))?;
            let found = row.as_ref().map(parse).transpose()?;
            match found {
                Some(found) if found.id == entry.id && found.stage == entry.stage => Ok(()),
                Some(found) => Err(in_flight(&found)),
                None => Err(unavailable(&Error::Lost(
                    "the order's row is not there".to_owned(),
                ))),
            }
        }
        Err(error) => Err(unavailable(&error)),
    }
}

/// Notes how the order ended, unless another issuer took over meanwhile.
async fn finish(node: &Node, turn: &Turn) -> Result<(), Reason> {
    let row = node
        .table
        .get(&turn.key)
        .await
        .map_err(|error| unrecorded(&error))?;
    let found = row.as_ref().map(parse).transpose()?;
    match found {
        Some(found) if found.id == turn.entry.id => {
            let written = write(node, &turn.key, &turn.entry, row.as_ref()).await;
            written.map_err(|reason| match reason.code {
                Code::Conflict => reason,
                _ => unrecorded(&Error::Lost(reason.message)),
            })
        }
        Some(found) => Err(in_flight(&found)),
        None => Err(unrecorded(&Error::Lost(
            "the order's row is not there".to_owned(),
        ))),
    }
}

/// Sends the order and looks until the server shows it.
async fn carry_out(turn: &Turn, address: SocketAddr) -> Result<(), Reason> {
    send(turn, address).await?;
    if turn.took_over {
        return settle(turn, address).await;
    }
    for _ in 0..LOOKS {
        if shows(turn, address).await == Some(true) {
            return Ok(());
        }
        Timer::after(LOOK_REST).await;
    }
    Err(not_shown())
}

/// Watches the server for a while, and repeats the order each time that a late one has undone it.
async fn settle(turn: &Turn, address: SocketAddr) -> Result<(), Reason> {
    let mut shown = None;
    for _ in 0..SETTLE_LOOKS {
        Timer::after(SETTLE_REST).await;
        shown = shows(turn, address).await;
        if shown == Some(false) {
            send_now(turn, address).await?;
        }
    }
    // What was repeated after the last look has not been seen yet.
    if shown != Some(true) {
        shown = shows(turn, address).await;
    }
    if shown == Some(true) {
        Ok(())
    } else {
        Err(not_shown())
    }
}

/// Sends the order, if the row was written only just now: an issuer that was paused does not.
async fn send(turn: &Turn, address: SocketAddr) -> Result<(), Reason> {
    if turn.begun.elapsed() > SEND_WITHIN {
        let message = "this host was paused before it could send the order; nothing was sent";
        return Err(Reason::new(Code::Conflict, message));
    }
    send_now(turn, address).await
}

/// Sends the order; a lost answer is no failure, since the server is looked at afterwards.
async fn send_now(turn: &Turn, address: SocketAddr) -> Result<(), Reason> {
    let mut request = client::request(Method::Post, address, ORDERS_PATH);
    let body = serde_json::to_vec(&turn.entry.newest).expect("plain values have a JSON form");
    request.set_body(Body::from_bytes(body));
    match client::call(address, request, ANSWER_BYTES_MAX, CALL_TIME).await {
        Ok(reply) if reply.status() == Code::Conflict.status() => {
            let message = "the backend server has seen a newer order";
            Err(Reason::new(Code::Conflict, message))
        }
        Ok(reply) if !reply.is_success() => {
            let message = format!("the backend server answered status {}", reply.status());
            Err(Reason::new(Code::BackendFailed, message))
        }
        Ok(_) | Err(_) => Ok(()),
    }
}

/// Whether the server shows the order; `None` when it does not answer.
async fn shows(turn: &Turn, address: SocketAddr) -> Option<bool> {
    let report = look(address).await?;
    Some(report.shows(&turn.entry.newest.order))
}

fn not_shown() -> Reason {
    let message = "the backend server does not show the order; it may still carry it out";
    Reason::new(Code::BackendFailed, message)
}

/// What the server reports; `None` when it does not answer.
async fn look(address: SocketAddr) -> Option<Report> {
    let request = client::request(Method::Get, address, ORDERS_PATH);
    let reply: Reply = client::call(address, request, ANSWER_BYTES_MAX, CALL_TIME)
        .await
        .ok()?;
    serde_json::from_slice(&reply.body).ok()
}

fn parse(row: &Row) -> Result<Entry, Reason> {
    serde_json::from_str(&row.value)
        .map_err(|error| unavailable(&Error::Unexpected(error.to_string())))
}

fn in_flight(entry: &Entry) -> Reason {
    let message = format!(
        "order {} of {} from {} came first and is {:?}",
        entry.newest.number, entry.issuer, entry.operator, entry.stage
    );
    Reason::new(Code::Conflict, message)
}

fn unavailable(error: &Error) -> Reason {
    Reason::new(Code::PlatformUnavailable, error.to_string())
}

/// The table service did not tell how the order is to be recorded, after it was sent.
fn unrecorded(error: &Error) -> Reason {
    let message = format!("the order was sent, but how it ended is not recorded: {error}");
    Reason::new(Code::OutcomeUnknown, message)
}
