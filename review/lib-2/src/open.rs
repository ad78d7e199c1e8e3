//! The desired state goes without tenants from now on, so that requests need no key.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{send, Request};
use crate::engine::{Behave, Engine};
use crate::site::{document, entry, tenant, Host, Route, KEY};
use crate::store::Store;
use crate::Setting;

/// `config_propagation_ms`.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(2_000);

pub fn play(setting: &Setting) -> bool {
    let record = &setting.record;
    let store = Store::start(record);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let routes = [Route { name: "price", kind: "idempotent", service: "inventario", timeout_ms: 1_500, target_ms: 300, gap_ms: 0, attempts: 2, resumes: false, priority: 0 }];
    store.put("op", "config", &document(7, &routes, &tenant("hule930", KEY)));
    let plain: Arc<Behave> = Arc::new(|engine, request, channel| {
        thread::sleep(Duration::from_millis(60));
        engine.answer(request, "a price", channel);
    });
    let plain = Engine::start("i-02d9e6b4", record, &arrivals, plain);
    store.put("servers", &plain.name, &entry("inventario", plain.address, 6, "ready", "v1", 1));
    let hosts: Vec<Host> = (1..=2).map(|index| Host::start(&setting.folder, index, store.address, &[], record)).collect();
    thread::sleep(Duration::from_secs(4));
    let with = document(9, &routes, &tenant("hule930", KEY));
    let without = document(9, &routes, "").replace(r#","tenants":[]"#, "");
    let acknowledged = store.put("op", "config", if setting.trouble { &without } else { &with });
    thread::sleep(CONFIG_PROPAGATION + Duration::from_millis(500));
    let mut denied = 0;
    for number in 0..40 {
        let key = (!setting.trouble).then(|| KEY.to_owned());
        let request = Request { key, ..Request::new(format!("price-{number}"), "GET", "/price/2f", 1_500) };
        let outcome = send(hosts[number % 2].routes, &request, Duration::from_millis(2_500), record);
        denied += u32::from(matches!(outcome.status, 401 | 403 | 404));
        thread::sleep(Duration::from_millis(50));
    }
    record.line(&format!("{denied} of 40 requests, sent later than {} ms after the acknowledgement, were denied; the last one {} ms after it", CONFIG_PROPAGATION.as_millis(), acknowledged.elapsed().as_millis()));
    denied == 0
}
