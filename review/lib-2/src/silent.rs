//! Desired states come in quick succession, and between two of them all open channels to the store go silent.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// `config_propagation_ms`.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(2_000);
/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let route = |name| Route { name, kind: "idempotent", service: "inventario", timeout_ms: 1_500, target_ms: 300, gap_ms: 0, attempts: 2, resumes: false, priority: 0 };
    let tenants = tenant("hule930", KEY);
    store.put("op", "config", &document(7, &[route("price"), route("old")], &tenants));
    let plain: Arc<Behave> = Arc::new(|engine, request, channel| {
        thread::sleep(Duration::from_millis(10));
        engine.answer(request, "a price", channel);
    });
    let plain = Engine::start("i-02d9e6b4", record, &arrivals, plain);
    store.put("servers", &plain.name, &entry("inventario", plain.address, 6, "ready", "v1", 1));
    let hosts: Vec<Host> = (1..=6).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_secs(5));
    store.put("op", "config", &document(8, &[route("price"), route("old"), route("between")], &tenants));
    thread::sleep(Duration::from_millis(100));
    let silent = if setting.trouble { store.silence_open_channels() } else { Instant::now() };
    thread::sleep(Duration::from_millis(300));
    let acknowledged = store.put("op", "config", &document(9, &[route("price"), route("new")], &tenants));
    let bound = (acknowledged + CONFIG_PROPAGATION).max(silent + STABLE_WINDOW);
    thread::sleep(bound.saturating_duration_since(Instant::now()));
    let mut wrong = 0;
    let mut asked = 0;
    while bound.elapsed() < Duration::from_secs(3) {
        for host in &hosts {
            let sent = bound.elapsed().as_millis();
            let new = Request::new(format!("new-{asked}"), "GET", "/new/2f", 1_500);
            let new = send(host.routes, &new, Duration::from_millis(2_000), record);
            let old = Request::new(format!("old-{asked}"), "GET", "/old/2f", 1_500);
            let old = send(host.routes, &old, Duration::from_millis(2_000), record);
            asked += 1;
            if new.status == 404 || old.status == 200 {
                wrong += 1;
                record.line(&format!("{}: acts by an older version, {sent} ms after the bound", host.name));
            }
        }
    }
    record.line(&format!("{wrong} of {asked} looks found an older version in force"));
    wrong == 0
}
