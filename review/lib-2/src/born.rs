//! An engine starts again under its identifier after its clock was set back, and later leaves.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How far the clock of the engine's machine is ahead when the engine starts for the first time.
const AHEAD_MS: u64 = 2_400;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    u64::try_from(since.as_millis()).expect("a time before the year 500 million")
}

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let routes = [Route { name: "price", kind: "idempotent", service: "inventario", timeout_ms: 1_500, target_ms: 300, gap_ms: 0, attempts: 2, resumes: false, priority: 0 }];
    store.put("op", "config", &document(7, &routes, &tenant("hule930", KEY)));
    let is_leaving = Arc::new(AtomicBool::new(false));
    let start = |name: &'static str| {
        let is_leaving = Arc::clone(&is_leaving);
        let behave: Arc<Behave> = Arc::new(move |engine, request, channel| {
            thread::sleep(Duration::from_millis(60));
            let leaving = name == "i-02d9e6b4" && is_leaving.load(Ordering::Relaxed);
            let leaving = if leaving { "Server-Leaving: 1\r\n" } else { "" };
            let head = format!("{}{leaving}Content-Length: 7\r\n\r\na price", engine.success(request));
            let _ = channel.write(head.as_bytes());
        });
        Engine::start(name, record, &arrivals, behave)
    };
    let (leaver, other) = (start("i-02d9e6b4"), start("i-e14ce90f"));
    let put = |engine: &Engine, state: &str, sequence: u64, born: u64| {
        let text = entry("inventario", engine.address, 6, state, "v1", sequence);
        let text = text.replace(r#""slots""#, &format!(r#""born":{born},"slots""#));
        record.line(&format!("{}: writes {text}", engine.name));
        store.put("servers", &engine.name, &text)
    };
    put(&other, "ready", 1, unix_ms());
    let hosts: Vec<Host> = (1..=2).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_millis(1_000));
    put(&leaver, "ready", 1, unix_ms() + if setting.trouble { AHEAD_MS } else { 0 });
    thread::sleep(Duration::from_millis(1_000));
    // The engine starts again; its clock is right by now.
    let born = unix_ms();
    put(&leaver, "ready", 1, born);
    thread::sleep(Duration::from_millis(3_000));
    let burst = |name: &str| {
        let one = |number: usize| {
            let (address, record) = (hosts[number % 2].routes, record.clone());
            let request = Request::new(format!("{name}-{number}"), "GET", "/price/2f", 1_500);
            thread::spawn(move || send(address, &request, Duration::from_millis(2_500), &record))
        };
        let sent: Vec<_> = (0..8).map(one).collect();
        for one in sent {
            let _ = one.join();
        }
    };
    burst("before");
    thread::sleep(Duration::from_millis(500));
    is_leaving.store(true, Ordering::Relaxed);
    let acknowledged: Instant = put(&leaver, "draining", 2, born);
    thread::sleep(DRAIN + Duration::from_millis(500));
    burst("after");
    let arrivals = arrivals.lock().expect("no panic");
    let late = arrivals.iter().filter(|it| it.server == leaver.name && it.at > acknowledged + DRAIN);
    let late: Vec<_> = late.collect();
    for arrival in &late {
        let after = arrival.at.saturating_duration_since(acknowledged);
        record.line(&format!("late: {} reached {} {} ms after the acknowledgement", arrival.id, arrival.server, after.as_millis()));
    }
    let all = arrivals.iter().filter(|it| it.server == other.name).count();
    record.line(&format!(
        "{} requests reached the leaving engine later than {} ms after the acknowledgement; the other engine got {all} in all",
        late.len(), DRAIN.as_millis()
    ));
    late.is_empty()
}
