//! The desired state grows by routes, each with a priority of its own.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// Routes that the second desired state adds.
const ADDED: u32 = 18;
/// `config_propagation_ms`.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(2_000);

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let price = || Route { name: "price", kind: "idempotent", service: "inventario", timeout_ms: 1_500, target_ms: 300, gap_ms: 0, attempts: 2, resumes: false, priority: 0 };
    let old_key = "n2ctnfzs989anu6wsjnb";
    let before = format!("{},{}", tenant("hule930", KEY), tenant("sese22", old_key));
    store.put("op", "config", &document(7, &[price()], &before));
    let plain: Arc<Behave> = Arc::new(|engine, request, channel| {
        thread::sleep(Duration::from_millis(60));
        engine.answer(request, "a price", channel);
    });
    let plain = Engine::start("i-02d9e6b4", record, &arrivals, plain);
    store.put("servers", &plain.name, &entry("inventario", plain.address, 6, "ready", "v1", 1));
    let hosts: Vec<Host> = (1..=2).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_secs(4));
    let names: Vec<String> = (0..ADDED).map(|number| format!("added-{number}")).collect();
    let mut routes = vec![price()];
    for (number, name) in names.iter().enumerate() {
        // Without the disruption the added routes share the rank of the first one.
        let priority = if setting.trouble { number as u32 } else { 0 };
        routes.push(Route { name, priority, ..price() });
    }
    let acknowledged = store.put("op", "config", &document(9, &routes, &tenant("hule930", KEY)));
    let mut outcomes = Vec::new();
    let patience = Duration::from_millis(2_500);
    let mut number = 0;
    while acknowledged.elapsed() < Duration::from_secs(12) {
        let host = &hosts[number % hosts.len()];
        let added = Request::new(format!("added-{number}"), "GET", &format!("/added-{}/2f", number as u32 % ADDED), 1_500);
        let sent = acknowledged.elapsed();
        let outcome = send(host.routes, &added, patience, record);
        outcomes.push((sent, outcome));
        let first = Request::new(format!("first-{number}"), "GET", "/price/2f", 1_500);
        send(host.routes, &first, patience, record);
        let key = Some(old_key.to_owned());
        let revoked = Request { key, ..Request::new(format!("revoked-{number}"), "GET", "/price/2f", 1_500) };
        send(host.routes, &revoked, patience, record);
        number += 1;
        thread::sleep(Duration::from_millis(100));
    }
    let late = outcomes.iter().filter(|(sent, _)| *sent > CONFIG_PROPAGATION);
    let old: Vec<_> = late.clone().filter(|(_, outcome)| matches!(outcome.status, 401 | 403 | 404)).collect();
    let served = late.clone().filter(|(_, outcome)| outcome.status == 200).count();
    record.line(&format!(
        "of {} requests on added routes, sent later than {} ms after the acknowledgement, {served} were served, {} were refused as only the older version allows",
        late.count(), CONFIG_PROPAGATION.as_millis(), old.len()
    ));
    old.is_empty()
}
