//! Tests that an accepted configuration is in force on every host within seconds and never reverts.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::client;
use cypressvane::manifest::Record;
use cypressvane::runtime::spawn;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};
use cypressvane_standin::platform::{Fault, Outage};
use cypressvane_standin::proxy;
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use crate::common;

/// Number of hosts.
const HOSTS: usize = 3;
/// Number of operators that submit concurrently.
const OPERATORS: usize = 20;

/// Returns a configuration that differs from others by `number`.
fn numbered(number: usize) -> String {
    common::CONFIGURATION.replace(
        "first_token_ms = 460",
        &format!("first_token_ms = {}", 1000 + number),
    )
}

/// Submits a configuration without waiting for the hosts, and returns the status and body of the answer.
async fn submit(address: SocketAddr, text: String) -> io::Result<(u16, Vec<u8>)> {
    let mut request = client::request(Method::Post, address, "/v1/config");
    request.insert_header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"));
    request.set_body(text);
    let reply = client::call(address, request, 1 << 20, Duration::from_secs(60)).await;
    let reply = reply.map_err(io::Error::other)?;
    Ok((reply.status(), reply.body))
}

async fn start_fleet() -> io::Result<Fleet> {
    let mut fleet = Fleet::spawn()?;
    for _ in 0..HOSTS {
        fleet.add_host("").await?;
    }
    fleet.submit(0, &numbered(0)).await?;
    fleet.wait_until_linked().await?;
    Ok(fleet)
}

/// Returns the digest of the configuration in force on a host.
async fn digest(fleet: &Fleet, index: usize) -> io::Result<String> {
    Ok(fleet.state(index).await?.digest)
}

#[test]
fn concurrent_submissions_have_one_winner_per_version_and_all_hosts_agree() {
    common::run(async {
        let fleet = start_fleet().await?;
        for (name, fault) in [
            ("table up", Fault::default()),
            (
                "answers of writes lost",
                Fault {
                    lose_write_answers: 30,
                    ..Fault::default()
                },
            ),
        ] {
            fleet.set_fault(&fault).await?;
            let before = fleet.state(0).await?.version;
            let mut tasks = Vec::new();
            for number in 0..OPERATORS {
                let address = fleet.operators(number % HOSTS);
                tasks.push(spawn(submit(address, numbered(100 + number))));
            }
            let mut accepted: Vec<Record> = Vec::new();
            for task in tasks {
                let (status, body) = task.await?;
                match status {
                    200 => accepted.push(serde_json::from_slice(&body)?),
                    409 | 503 | 504 => {}
                    _ => panic!("{name}: {status}: {}", String::from_utf8_lossy(&body)),
                }
            }
            fleet.set_fault(&Fault::default()).await?;
            accepted.sort_by_key(|record| record.version);
            accepted.dedup_by_key(|record| record.version);
            let versions: Vec<u64> = accepted.iter().map(|record| record.version).collect();
            let last = *versions.last().expect("a submission is accepted");
            let expected: Vec<u64> = (before + 1..=last).collect();
            assert_eq!(versions, expected, "{name}: one winner per version");
            fleet.wait_in_force(last).await?;
            let manifest = &accepted.last().expect("a submission is accepted").manifest;
            for index in 0..HOSTS {
                assert_eq!(digest(&fleet, index).await?, *manifest, "{name}");
            }
        }
        Ok(())
    });
}

#[test]
fn a_table_outage_right_after_acceptance_does_not_revert_the_configuration() {
    common::run(async {
        for outage in [Outage::Fails, Outage::Hangs] {
            let mut fleet = start_fleet().await?;
            let (status, _) = submit(fleet.operators(0), numbered(7)).await?;
            assert_eq!(status, 200);
            fleet
                .set_fault(&Fault {
                    table: outage,
                    ..Fault::default()
                })
                .await?;
            fleet.wait_in_force(2).await?;
            // A host that starts during the outage fetches the configuration from its peers.
            let index = fleet.add_host("").await?;
            fleet.wait_in_force(2).await?;
            assert_eq!(
                digest(&fleet, index).await?,
                digest(&fleet, 0).await?,
                "{outage:?}"
            );
            let (status, _) = submit(fleet.operators(1), numbered(8)).await?;
            assert_eq!(
                status, 503,
                "{outage:?}: nothing is accepted without the table"
            );
        }
        Ok(())
    });
}

#[test]
fn stale_reads_and_restarts_never_restore_an_old_version() {
    common::run(async {
        let mut fleet = start_fleet().await?;
        let keep = Fault {
            keep_copy: true,
            ..Fault::default()
        };
        fleet.set_fault(&keep).await?;
        fleet.set_fault(&Fault::default()).await?;
        fleet.submit(0, &numbered(2)).await?;
        fleet.submit(1, &numbered(3)).await?;
        let newest = digest(&fleet, 0).await?;
        // From here on the table returns its state at version 1, also to a host that starts.
        let stale = Fault {
            stale_reads: true,
            ..Fault::default()
        };
        fleet.set_fault(&stale).await?;
        fleet.hosts[2].as_mut().expect("started").kill();
        fleet.hosts[2] = None;
        fleet.start_host(2, "").await?;
        for _ in 0..40 {
            for index in 0..HOSTS {
                let state = fleet.state(index).await?;
                let fresh = index == 2 && state.version == 0;
                assert!(fresh || state.version == 3, "host {index}: {state:?}");
                assert!(fresh || state.digest == newest, "host {index}: {state:?}");
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        fleet.wait_in_force(3).await?;
        fleet.set_fault(&Fault::default()).await?;
        fleet.submit(0, &numbered(4)).await?;
        Ok(())
    });
}

#[test]
fn a_frozen_host_and_one_cut_from_the_table_catch_up() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let table = fleet.platform_address;
        let proxy = proxy::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), table)?;
        fleet.add_host("").await?;
        fleet.add_host("").await?;
        fleet.platform_address = proxy.address();
        let cut = fleet.add_host("").await?;
        fleet.submit(0, &numbered(0)).await?;
        fleet.wait_until_linked().await?;
        proxy.set_fault(proxy::Fault {
            refuse: true,
            ..Default::default()
        });
        fleet.host(1).freeze();
        for number in 1..4 {
            let (status, _) = submit(fleet.operators(0), numbered(number)).await?;
            assert_eq!(status, 200);
        }
        fleet
            .wait_until(
                "the host without the table fetches from its peer",
                async || fleet.state(cut).await.is_ok_and(|state| state.version == 4),
            )
            .await?;
        fleet.host(1).resume();
        fleet.wait_in_force(4).await
    });
}

#[test]
fn a_starting_host_fetches_a_large_configuration_from_its_peers() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        // A long poll interval, so that nearly all reads come from the starting host.
        fleet.poll_ms = 5_000;
        fleet.add_host("").await?;
        let mut large = numbered(0);
        for index in 0..500 {
            let key = cypressvane::digest::sha256_hex(format!("key-{index}").as_bytes());
            large.push_str(&format!(
                "[[accounts]]\nname = \"account-{index}\"\ntier = \"cheap\"\nkey_sha256 = \"{key}\"\n"
            ));
        }
        fleet.submit(0, &large).await?;
        let before = fleet.stats().await?.reads;
        // The time for which a starting host asks its peers before it reads the table depends on its
        // name; for this host it is long.
        fleet.hosts.resize_with(4, || None);
        let started = fleet.add_host("").await?;
        fleet.wait_in_force(1).await?;
        assert_eq!(digest(&fleet, started).await?, digest(&fleet, 0).await?);
        let reads = fleet.stats().await?.reads - before;
        assert!(
            reads < 200,
            "{reads} reads where the configuration has hundreds of parts"
        );
        Ok(())
    });
}
