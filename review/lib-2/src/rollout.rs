//! A bad version is rolled out while the store is down and a host is killed; the old version's entries come back last.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// `exposure_share`, `exposure_slack`, `stable_window_ms`.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
/// `duration_s` of the order.
const ORDERED: Duration = Duration::from_secs(30);
/// When the new version turns bad.
const BAD_AFTER: Duration = Duration::from_secs(14);
/// When the old version's entries are back, after the store is.
const OLD_BACK: Duration = Duration::from_millis(1_800);
/// Requests a second.
const RATE: u64 = 40;

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let routes = [Route { name: "price", kind: "idempotent", service: "inventario", timeout_ms: 1_500, target_ms: 300, gap_ms: 0, attempts: 2, resumes: false, priority: 0 }];
    store.put("op", "config", &document(7, &routes, &tenant("hule930", KEY)));
    let good: Arc<Behave> = Arc::new(|engine, request, channel| {
        thread::sleep(Duration::from_millis(15));
        engine.answer(request, "a price", channel);
    });
    // Half of the answers of the new version are failures, but not at once.
    let count = AtomicU32::new(0);
    let is_bad = Arc::new(AtomicBool::new(false));
    let turned_bad = Arc::clone(&is_bad);
    let bad: Arc<Behave> = Arc::new(move |engine, request, channel| {
        thread::sleep(Duration::from_millis(15));
        if count.fetch_add(1, Ordering::Relaxed) % 2 == 0 || !turned_bad.load(Ordering::Relaxed) {
            return engine.answer(request, "a price", channel);
        }
        let head = engine.success(request).replace("200 OK", "500 Internal Server Error");
        let _ = channel.write((head + "Content-Length: 0\r\n\r\n").as_bytes());
    });
    let old: Vec<Engine> = (0..2).map(|number| Engine::start(&format!("i-old{number}"), record, &arrivals, Arc::clone(&good))).collect();
    let new: Vec<Engine> = (0..2).map(|number| Engine::start(&format!("i-new{number}"), record, &arrivals, Arc::clone(&bad))).collect();
    let register = |engines: &[Engine], version: &str, sequence: u64| {
        for engine in engines {
            store.put("servers", &engine.name, &entry("inventario", engine.address, 6, "ready", version, sequence));
        }
    };
    register(&old, "v1", 1);
    let settings = [
        ("{{#bounds.exposure_share}}share = {{bounds.exposure_share}}{{/bounds.exposure_share}}", "share = 0.1"),
        ("{{#bounds.exposure_slack}}slack = {{bounds.exposure_slack}}{{/bounds.exposure_slack}}", "slack = 50"),
    ];
    let mut hosts: Vec<Host> = (1..=2).map(|index| Host::start(&setting.folder, index, store.address, &settings, record)).collect();
    thread::sleep(Duration::from_secs(4));
    let stops = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = hosts.iter().map(|host| host.routes).collect();
    let traffic = {
        let (stops, record) = (Arc::clone(&stops), record.clone());
        thread::spawn(move || {
            let mut number = 0usize;
            while !stops.load(Ordering::Relaxed) {
                let (address, record) = (addresses[number % 2], record.clone());
                thread::spawn(move || {
                    let request = Request::new(format!("price-{number}"), "GET", "/price/2f", 1_500);
                    send(address, &request, Duration::from_millis(2_000), &record)
                });
                number += 1;
                thread::sleep(Duration::from_millis(1_000 / RATE));
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    // The new version's engines are started alongside the old ones, and the order is written.
    let order = format!(r#"{{"service":"inventario","to":"v2","duration_s":{}}}"#, ORDERED.as_secs());
    store.put("op", "rollout/inventario", &order);
    let ordered = Instant::now();
    let before_order = arrivals.lock().expect("no panic").len();
    register(&new, "v2", 1);
    thread::sleep(Duration::from_secs(3));
    let mut in_touch_from = ordered;
    if setting.trouble {
        store.set_down(true);
        thread::sleep(Duration::from_millis(1_500));
        // The process that last wrote to the store under a condition: the one that writes the order's progress.
        let writes = |host: &Host| host.log(&setting.folder).contains("this host coordinates a roll-out");
        let Some(leader) = hosts.iter().position(writes) else { crate::cannot_run() };
        hosts[leader].kill(record);
        thread::sleep(Duration::from_millis(500));
        hosts[leader].restart(&setting.folder, record);
        thread::sleep(Duration::from_millis(2_000));
        // Three intervals of 1,200 ms have passed without a report.
        for engine in old.iter().chain(&new) {
            store.remove("servers", &engine.name);
        }
        thread::sleep(Duration::from_millis(1_000));
        register(&new, "v2", 2);
        store.set_down(false);
        in_touch_from = Instant::now() + STABLE_WINDOW;
    }
    let returned = Instant::now();
    let mut is_back = !setting.trouble;
    let mut status = String::new();
    while ordered.elapsed() < ORDERED {
        let now = store.get("status", "rollout/inventario").unwrap_or_default();
        if now != status {
            record.line(&format!("store: status/rollout/inventario is {now}, {} ms after the order", ordered.elapsed().as_millis()));
            status = now;
            if status.contains("completed") {
                // "At `completed`, the old engines stop immediately, without draining."
                for engine in &old {
                    engine.stop();
                    store.remove("servers", &engine.name);
                }
                is_back = true;
            }
            if status.contains("rolled_back") {
                new.iter().for_each(|engine| store.remove("servers", &engine.name));
            }
        }
        if !is_back && returned.elapsed() >= OLD_BACK {
            is_back = true;
            register(&old, "v1", 2);
        }
        if ordered.elapsed() >= BAD_AFTER && !is_bad.swap(true, Ordering::Relaxed) {
            record.line("v2 is bad from now on");
        }
        thread::sleep(Duration::from_millis(20));
    }
    stops.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let arrivals = arrivals.lock().expect("no panic");
    let since = &arrivals[before_order..];
    let late = since.iter().filter(|arrival| arrival.at >= in_touch_from);
    let exposed = late.filter(|arrival| arrival.server.starts_with("i-new")).count();
    let bound = EXPOSURE_SHARE * since.len() as f64 + EXPOSURE_SLACK;
    record.line(&format!(
        "of {} requests that reached the service until the deadline, {exposed} reached the bad version from machines in touch; {bound:.0} are allowed",
        since.len()
    ));
    exposed as f64 <= bound
}
