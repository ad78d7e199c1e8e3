//! A host gets SIGTERM while requests wait in it for a server.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// `loss_slack_ms`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let routes = [
        Route { name: "chat", kind: "streaming", service: "asistente", timeout_ms: 10_000, target_ms: 1_200, gap_ms: 800, attempts: 1, resumes: false, priority: 1 },
        Route { name: "report", kind: "streaming", service: "asistente", timeout_ms: 12_000, target_ms: 1_000, gap_ms: 800, attempts: 2, resumes: true, priority: 0 },
    ];
    store.put("op", "config", &document(7, &routes, &tenant("hule930", KEY)));
    let model: Arc<Behave> = Arc::new(move |engine, request, channel| {
        let head = format!("{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", engine.success(request));
        if channel.write(head.as_bytes()).is_err() {
            return;
        }
        let events: u32 = request.header("x-events").and_then(|it| it.parse().ok()).unwrap_or(10);
        for event in 1..=events {
            thread::sleep(Duration::from_millis(200));
            let event = format!("id: {event}\ndata: some tokens\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if channel.write(chunk.as_bytes()).is_err() {
                return;
            }
        }
        let _ = channel.write(b"0\r\n\r\n");
    });
    let model = Engine::start("i-7f3a91c2", record, &arrivals, model);
    store.put("servers", &model.name, &entry("asistente", model.address, 7, "ready", "v1", 1));
    let mut hosts: Vec<Host> = (1..=2).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_secs(4));
    let stream = |id: String, path: &str, deadline: u64, events: u32| {
        let headers = format!("X-Model: m\r\nX-Token-Usage: 628,{}\r\nX-Prompt-Prefix: 5c1e07a2:60,91bd3f06:568\r\nX-Events: {events}\r\n", events * 9);
        Request { headers, ..Request::new(id, "POST", path, deadline) }
    };
    let mut sent = Vec::new();
    let start = |address, request: Request| {
        let record = record.clone();
        thread::spawn(move || send(address, &request, Duration::from_millis(request.deadline_ms), &record))
    };
    for number in 0..7 {
        sent.push(start(hosts[1].routes, stream(format!("report-{number}"), "/report/2f", 12_000, 50)));
    }
    thread::sleep(Duration::from_millis(1_000));
    if setting.trouble {
        hosts[0].signal("TERM", record);
    }
    // The balancer takes the host out after two misses, a second apart.
    thread::sleep(Duration::from_millis(1_200));
    let mut waiting = Vec::new();
    for number in 0..7 {
        thread::sleep(Duration::from_millis(100));
        waiting.push(start(hosts[0].routes, stream(format!("chat-{number}"), "/chat/2f", 10_000, 5)));
    }
    let outcomes: Vec<_> = waiting.into_iter().map(|one| one.join().expect("no panic")).collect();
    for one in sent {
        let _ = one.join();
    }
    if setting.trouble {
        let ended = hosts[0].child.wait();
        record.line(&format!("{}: ended: {ended:?}", hosts[0].name));
    }
    let arrivals = arrivals.lock().expect("no panic");
    let was_passed_on = |id: &str| arrivals.iter().any(|arrival| arrival.id == id);
    let lost = outcomes.iter().filter(|it| it.answer.is_none() && it.is_closed && it.took > LOSS_SLACK);
    let lost: Vec<_> = lost.collect();
    for outcome in &lost {
        record.line(&format!("lost: {}; passed on to a server: {}", outcome.text(), was_passed_on(&outcome.id)));
    }
    let never_sent = lost.iter().filter(|it| !was_passed_on(&it.id)).count();
    record.line(&format!(
        "{} of {} requests that the host had read ended without an answer, {never_sent} of them before a server had them",
        lost.len(), outcomes.len()
    ));
    never_sent == 0
}
