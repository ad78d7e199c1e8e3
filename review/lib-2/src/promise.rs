//! Engines that are grey answer 503 to requests that they have run, without saying that they have not.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// Of this many requests, `FAILURES` fail while the engines are grey.
const EVERY: u32 = 20;
const FAILURES: u32 = 9;
/// How long the engines are grey.
const GREY: Duration = Duration::from_millis(4_000);
/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let routes = [Route { name: "permit", kind: "non_idempotent", service: "inventario", timeout_ms: 1_500, target_ms: 300, gap_ms: 0, attempts: 2, resumes: false, priority: 0 }];
    store.put("op", "config", &document(7, &routes, &tenant("hule930", KEY)));
    let is_grey = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU32::new(0));
    let behave: Arc<Behave> = {
        let is_grey = Arc::clone(&is_grey);
        Arc::new(move |engine, request, channel| {
            thread::sleep(Duration::from_millis(60));
            let fails = is_grey.load(Ordering::Relaxed) && count.fetch_add(1, Ordering::Relaxed) % EVERY < FAILURES;
            if !fails {
                return engine.answer(request, "a permit", channel);
            }
            let id = request.header("x-attempt-id").unwrap_or("");
            engine.record.line(&format!("{}: has run {id}, and answers 503 without X-Not-Executed", engine.name));
            let head = engine.success(request).replace("200 OK", "503 Service Unavailable");
            let _ = channel.write((head + "Content-Length: 0\r\n\r\n").as_bytes());
        })
    };
    let engines: Vec<Engine> = ["i-02d9e6b4", "i-e14ce90f", "i-5ac07d31"].map(|name| Engine::start(name, record, &arrivals, Arc::clone(&behave))).into();
    for engine in &engines {
        store.put("servers", &engine.name, &entry("inventario", engine.address, 6, "ready", "v1", 1));
    }
    let hosts: Vec<Host> = (1..=2).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_secs(4));
    is_grey.store(setting.trouble, Ordering::Relaxed);
    let start = Instant::now();
    let mut clients = Vec::new();
    while start.elapsed() < GREY {
        let number = clients.len();
        let (addresses, record) = ([hosts[0].routes, hosts[1].routes], record.clone());
        clients.push(thread::spawn(move || {
            let begin = Instant::now();
            let mut outcomes = Vec::new();
            // A client asks once more, after a promise only, at another host.
            for attempt in 0..2 {
                let left = 1_500u64.saturating_sub(u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX));
                let request = Request::new(format!("permit-{number}-{attempt}"), "POST", "/permit/2f", left);
                let outcome = send(addresses[(number + attempt) % 2], &request, Duration::from_millis(left + 500), &record);
                let is_promised = PROMISES.contains(&outcome.status);
                outcomes.push(outcome);
                if !is_promised {
                    break;
                }
                thread::sleep(Duration::from_millis(150));
            }
            outcomes
        }));
        thread::sleep(Duration::from_millis(40));
    }
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let arrivals = arrivals.lock().expect("no panic");
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for arrival in arrivals.iter() {
        *runs.entry(arrival.id.as_str()).or_default() += 1;
    }
    let has_run = |id: &str| runs.contains_key(id);
    let broken = outcomes.iter().flatten().filter(|it| PROMISES.contains(&it.status) && has_run(&it.id));
    let broken: Vec<_> = broken.collect();
    for outcome in &broken {
        record.line(&format!("has run, and was answered with a promise that it has not: {}", outcome.text()));
    }
    let twice = outcomes.iter().filter(|tries| tries.iter().filter(|it| has_run(&it.id)).count() > 1).count();
    record.line(&format!(
        "{} requests had run and were answered 408, 421, 429 or 503; of {} permits, {twice} were given twice",
        broken.len(), outcomes.len()
    ));
    broken.is_empty()
}
