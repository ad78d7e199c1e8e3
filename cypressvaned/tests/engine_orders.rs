//! Tests operators' orders to backend servers that check order numbers (fencing) and to ones that ignore them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cypressvane::client;
use cypressvane::order::{Kind, Order, OrderRow, Report, Stage};
use cypressvane::runtime::spawn;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY, get};
use cypressvane_standin::platform;
use cypressvane_standin::proxy::{self, Fault, Transfer};
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

mod common;

/// The backend server that receives the orders.
const SERVER: &str = "register-model-0";

fn role(name: &str) -> Order {
    Order::Role {
        name: name.to_owned(),
    }
}

async fn submit_order(operators: SocketAddr, order: Order) -> io::Result<(u16, Vec<u8>)> {
    let path = format!("/v1/orders?server={SERVER}");
    let mut request = client::request(Method::Post, operators, &path);
    request.insert_header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"));
    request.set_body(serde_json::to_vec(&order)?);
    let reply = client::call(operators, request, 1 << 20, Duration::from_secs(60)).await;
    let reply = reply.map_err(io::Error::other)?;
    Ok((reply.status(), reply.body))
}

/// Starts two hosts and an engine behind a proxy.
async fn start_fleet(fencing: bool) -> io::Result<(Fleet, proxy::Handle)> {
    let mut fleet = Fleet::spawn()?;
    let settings = engine::Settings {
        fencing,
        ..Default::default()
    };
    let engine = fleet.add_engine("register-model", &settings).await?;
    let target = fleet.backends[engine].address("address");
    let proxy = proxy::bind(([127, 0, 0, 1], 0).into(), target)?;
    fleet.entries[engine].address = proxy.address();
    fleet.publish().await?;
    fleet.add_host("").await?;
    fleet.add_host("").await?;
    fleet.submit(0, common::CONFIGURATION).await?;
    Ok((fleet, proxy))
}

async fn report(fleet: &Fleet) -> io::Result<Report> {
    get(fleet.backends[0].address("address"), "/orders").await
}

/// Checks that the order numbers in the engine's ledger never decrease, and returns the last one.
async fn last_number(fleet: &Fleet) -> io::Result<u64> {
    let ledger = fleet.ledger(0).await?;
    let numbers: Vec<u64> = ledger.orders.iter().map(|order| order.number).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
    Ok(numbers.last().copied().unwrap_or(0))
}

#[test]
fn an_order_is_numbered_carried_out_and_reported() {
    common::run(async {
        for fencing in [true, false] {
            let (fleet, _proxy) = start_fleet(fencing).await?;
            let load = |name: &str| Order::Load {
                kind: Kind::Adapter,
                name: name.to_owned(),
            };
            let unload = Order::Unload {
                kind: Kind::Adapter,
                name: "alpine".to_owned(),
            };
            for (number, step) in (1..).zip([load("alpine"), load("coast"), unload, role("decode")])
            {
                let (status, body) = submit_order(fleet.operators(0), step).await?;
                assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
                let entry: OrderRow = serde_json::from_slice(&body)?;
                assert_eq!((entry.newest.number, entry.stage), (number, Stage::Done));
            }
            let report = report(&fleet).await?;
            assert!(report.satisfies(&load("coast")) && !report.satisfies(&load("alpine")));
            assert!(report.satisfies(&role("decode")));
            assert_eq!(last_number(&fleet).await?, 4);
        }
        Ok(())
    });
}

#[test]
fn of_two_concurrent_orders_the_last_number_takes_effect() {
    common::run(async {
        for fencing in [true, false] {
            let (fleet, _proxy) = start_fleet(fencing).await?;
            let mut last = None;
            for round in 0..10 {
                let tasks = [0, 1].map(|host| {
                    let role = role(&format!("role-{round}-{host}"));
                    spawn(submit_order(fleet.operators(host), role))
                });
                for task in tasks {
                    let (status, body) = task.await?;
                    assert!(
                        status == 200 || status == 409,
                        "{}",
                        String::from_utf8_lossy(&body)
                    );
                    if status == 200 {
                        let entry: OrderRow = serde_json::from_slice(&body)?;
                        let newer = last
                            .as_ref()
                            .is_none_or(|last: &OrderRow| last.newest.number < entry.newest.number);
                        last = if newer { Some(entry) } else { last };
                    }
                }
            }
            let last = last.expect("an order succeeds");
            assert!(
                report(&fleet).await?.satisfies(&last.newest.order),
                "fencing {fencing}"
            );
            assert_eq!(last_number(&fleet).await?, last.newest.number);
        }
        Ok(())
    });
}

#[test]
fn an_order_with_lost_answers_of_table_and_server_is_sent_once() {
    common::run(async {
        for fencing in [true, false] {
            let (fleet, proxy) = start_fleet(fencing).await?;
            let lost = platform::Fault {
                lose_write_answers: 2,
                ..Default::default()
            };
            fleet.set_fault(&lost).await?;
            proxy.set_fault(Fault {
                to_client: Transfer::CutAfter(0),
                ..Fault::default()
            });
            let ordered = spawn(submit_order(fleet.operators(0), role("decode")));
            fleet
                .wait_until("the order arrives", async || {
                    fleet
                        .ledger(0)
                        .await
                        .is_ok_and(|ledger| !ledger.orders.is_empty())
                })
                .await?;
            proxy.set_fault(Fault::default());
            let (status, body) = ordered.await?;
            assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
            assert_eq!(
                fleet.ledger(0).await?.orders.len(),
                1,
                "the order is sent once"
            );
        }
        Ok(())
    });
}

#[test]
fn a_late_order_of_a_frozen_host_takes_no_effect() {
    common::run(async {
        for fencing in [true, false] {
            let (fleet, proxy) = start_fleet(fencing).await?;
            proxy.set_fault(Fault {
                to_target: Transfer::Freeze,
                ..Fault::default()
            });
            let before = proxy.connections();
            let late = spawn(submit_order(fleet.operators(0), role("prefill")));
            fleet
                .wait_until("the order is in flight", async || {
                    proxy.connections() > before
                })
                .await?;
            fleet.host(0).freeze();
            // Until the issuer counts as silent, no other host may issue orders.
            let (status, _) = submit_order(fleet.operators(1), role("decode")).await?;
            assert_eq!(status, 409, "fencing {fencing}");
            let newer = spawn(async move {
                let operators = fleet.operators(1);
                loop {
                    let (status, body) = submit_order(operators, role("decode")).await?;
                    if status != 409 {
                        return io::Result::Ok((fleet, status, body));
                    }
                    Timer::after(Duration::from_millis(200)).await;
                }
            });
            // Both orders wait in the proxy and reach the engine together.
            let begun = cypressvane::clock::Instant::now();
            while proxy.connections() < before + 2 && begun.elapsed() < Duration::from_secs(60) {
                Timer::after(Duration::from_millis(20)).await;
            }
            proxy.set_fault(Fault::default());
            let (fleet, status, body) = newer.await?;
            assert_eq!(
                status,
                200,
                "fencing {fencing}: {}",
                String::from_utf8_lossy(&body)
            );
            fleet.host(0).resume();
            let (status, _) = late.await?;
            assert_eq!(
                status, 409,
                "fencing {fencing}: the late issuer gets a conflict"
            );
            assert!(
                report(&fleet).await?.satisfies(&role("decode")),
                "fencing {fencing}"
            );
        }
        Ok(())
    });
}
