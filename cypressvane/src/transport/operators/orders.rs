//! Issues orders to backend servers: one in flight per server, numbered through the table service.
//!
//! A server's row holds its newest order. The issuer that writes the row as pending, with the next number, may send;
//! other issuers are refused until the order is done or its issuer has been silent for `ISSUER_TIMEOUT`. The number is
//! a fencing token: a server that refuses old numbers is safe from a late issuer. Because some servers ignore numbers,
//! an issuer sends only within `SEND_WINDOW` of writing the row, and an issuer that takes over from a silent one polls
//! the server for a while afterwards, and repeats its order if a late one has undone it.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Body, Method};
use smol::Timer;

use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::random_id;
use crate::state::clock::Instant;
use crate::state::order::{FencedOrder, Order, OrderRow, Report, Stage};
use crate::state::platform::{Error, Expect, Kind, Listing, Row, Write};
use crate::state::units::{millis, since_epoch};
use crate::transport::http::client::{self, Reply};
use crate::transport::node::Node;

/// Path at which a backend server accepts orders and reports on them.
const ORDERS_PATH: &str = "/orders";
/// Age of a pending order after which its issuer counts as gone.
const ISSUER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after the start of the row's write in which an issuer may still send.
const SEND_WINDOW: Duration = Duration::from_secs(2);
/// Timeout of one call to a server.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Most polls of the server until it shows the order.
const POLLS: u32 = 10;
/// Delay between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of polls after taking over from a silent issuer, to detect a late order from it.
const TAKEOVER_POLLS: u32 = 10;
/// Delay before each poll after a takeover.
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Largest accepted answer of a server, in bytes.
const ANSWER_BYTES_MAX: u64 = 1 << 20;

/// An order that this host has written as pending and may send.
struct PendingOrder {
    key: String,
    entry: OrderRow,
    /// When the write of the row started.
    write_started: Instant,
    /// Whether an earlier issuer fell silent with an order that may still arrive.
    took_over: bool,
}

/// Issues an order to a backend server and verifies that it is carried out.
///
/// # Errors
/// `NotFound` if the host list does not have the server, `Conflict` if another order is in flight, another issuer took
/// over, this host was paused before sending, or the server has seen a newer order, `PlatformUnavailable` if the host
/// list or the table service does not answer, `BackendFailed` if the server refuses or does not show the order, and
/// `OutcomeUnknown` if the order was sent but its outcome could not be recorded.
pub(crate) async fn issue(
    node: &Node,
    operator: &str,
    server: &str,
    order: Order,
) -> Result<OrderRow, Reason> {
    let address = find_address(node, server).await?;
    let mut pending = write_pending(node, operator, server, order).await?;
    let stage = carry_out(&pending, address).await;
    pending.entry.stage = if stage.is_ok() {
        Stage::Done
    } else {
        Stage::Failed
    };
    record_outcome(node, &pending).await?;
    stage?;
    Ok(pending.entry)
}

/// The address of a backend server.
async fn find_address(node: &Node, server: &str) -> Result<SocketAddr, Reason> {
    let listing = node
        .host_list
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

/// Writes the order into the server's row as pending, with the next number.
async fn write_pending(
    node: &Node,
    operator: &str,
    server: &str,
    order: Order,
) -> Result<PendingOrder, Reason> {
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
        && now_ms.saturating_sub(pending.issued_at_ms) < millis(ISSUER_TIMEOUT)
    {
        return Err(order_conflict(pending));
    }
    let number = last.as_ref().map_or(0, |last| last.newest.number) + 1;
    let entry = OrderRow {
        newest: FencedOrder { number, order },
        stage: Stage::Pending,
        id: random_id(),
        operator: operator.to_owned(),
        issuer: node.config.host.name.clone(),
        issued_at_ms: now_ms,
    };
    let write_started = Instant::now();
    let took_over = pending.is_some();
    write_row(node, &key, &entry, row.as_ref()).await?;
    Ok(PendingOrder {
        key,
        entry,
        write_started,
        took_over,
    })
}

/// Writes a row if it is unchanged since it was read; on a conflict or a lost reply, reads the row back.
async fn write_row(
    node: &Node,
    key: &str,
    entry: &OrderRow,
    before: Option<&Row>,
) -> Result<(), Reason> {
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
                Some(found) => Err(order_conflict(&found)),
                None => Err(unavailable(&Error::Lost(
                    "the order's row is not there".to_owned(),
                ))),
            }
        }
        Err(error) => Err(unavailable(&error)),
    }
}

/// Records the order's outcome, unless another issuer has taken over.
async fn record_outcome(node: &Node, pending: &PendingOrder) -> Result<(), Reason> {
    let row = node
        .table
        .get(&pending.key)
        .await
        .map_err(|error| unrecorded(&error))?;
    let found = row.as_ref().map(parse).transpose()?;
    match found {
        Some(found) if found.id == pending.entry.id => {
            let written = write_row(node, &pending.key, &pending.entry, row.as_ref()).await;
            written.map_err(|reason| match reason.code {
                Code::Conflict => reason,
                _ => unrecorded(&Error::Lost(reason.message)),
            })
        }
        Some(found) => Err(order_conflict(&found)),
        None => Err(unrecorded(&Error::Lost(
            "the order's row is not there".to_owned(),
        ))),
    }
}

/// Sends the order and polls the server until it shows the order.
async fn carry_out(pending: &PendingOrder, address: SocketAddr) -> Result<(), Reason> {
    send(pending, address).await?;
    if pending.took_over {
        return watch_after_takeover(pending, address).await;
    }
    for _ in 0..POLLS {
        if is_shown(pending, address).await == Some(true) {
            return Ok(());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Err(not_shown())
}

/// Polls the server for a while after a takeover, and repeats the order each time that a late one has undone it.
async fn watch_after_takeover(pending: &PendingOrder, address: SocketAddr) -> Result<(), Reason> {
    let mut shown = None;
    for _ in 0..TAKEOVER_POLLS {
        Timer::after(TAKEOVER_POLL_INTERVAL).await;
        shown = is_shown(pending, address).await;
        if shown == Some(false) {
            send_now(pending, address).await?;
        }
    }
    // An order that was repeated after the last poll has not been verified yet.
    if shown != Some(true) {
        shown = is_shown(pending, address).await;
    }
    if shown == Some(true) {
        Ok(())
    } else {
        Err(not_shown())
    }
}

/// Sends the order, unless more than `SEND_WINDOW` has passed since the write of the row started: this host was paused.
async fn send(pending: &PendingOrder, address: SocketAddr) -> Result<(), Reason> {
    if pending.write_started.elapsed() > SEND_WINDOW {
        let message = "this host was paused before it could send the order; nothing was sent";
        return Err(Reason::new(Code::Conflict, message));
    }
    send_now(pending, address).await
}

/// Sends the order; a lost reply is not an error, since the server is polled afterwards.
async fn send_now(pending: &PendingOrder, address: SocketAddr) -> Result<(), Reason> {
    let mut request = client::request(Method::Post, address, ORDERS_PATH);
    let body = serde_json::to_vec(&pending.entry.newest).expect("plain values have a JSON form");
    request.set_body(Body::from_bytes(body));
    match client::call(address, request, ANSWER_BYTES_MAX, CALL_TIMEOUT).await {
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

/// Whether the server shows the order; `None` if it does not answer.
async fn is_shown(pending: &PendingOrder, address: SocketAddr) -> Option<bool> {
    let report = fetch_report(address).await?;
    Some(report.satisfies(&pending.entry.newest.order))
}

fn not_shown() -> Reason {
    let message = "the backend server does not show the order; it may still carry it out";
    Reason::new(Code::BackendFailed, message)
}

/// The server's report on its orders; `None` if it does not answer.
async fn fetch_report(address: SocketAddr) -> Option<Report> {
    let request = client::request(Method::Get, address, ORDERS_PATH);
    let reply: Reply = client::call(address, request, ANSWER_BYTES_MAX, CALL_TIMEOUT)
        .await
        .ok()?;
    serde_json::from_slice(&reply.body).ok()
}

fn parse(row: &Row) -> Result<OrderRow, Reason> {
    serde_json::from_str(&row.value)
        .map_err(|error| unavailable(&Error::Unexpected(error.to_string())))
}

fn order_conflict(entry: &OrderRow) -> Reason {
    let message = format!(
        "order {} of {} from {} came first and is {:?}",
        entry.newest.number, entry.issuer, entry.operator, entry.stage
    );
    Reason::new(Code::Conflict, message)
}

fn unavailable(error: &Error) -> Reason {
    Reason::new(Code::PlatformUnavailable, error.to_string())
}

/// The reason if a sent order's outcome could not be recorded in the table service.
fn unrecorded(error: &Error) -> Reason {
    let message = format!("the order was sent, but how it ended is not recorded: {error}");
    Reason::new(Code::OutcomeUnknown, message)
}
