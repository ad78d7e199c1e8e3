//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, Message};
use crate::json::{base64, quoted, Json};
use crate::Record;

struct Row {
    value: Option<String>,
    revision: u64,
}

struct State {
    /// Whether it answers each call with 503, and does nothing.
    is_down: bool,
    revision: u64,
    rows: BTreeMap<(String, String), Row>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    started: Instant,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(State { is_down: false, revision: 1, rows: BTreeMap::new() })),
            started: Instant::now(),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut channel = Channel::new(stream);
                    while let Ok(Some(request)) = channel.message() {
                        let (status, body) = store.answer(&request);
                        let head = format!(
                            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        );
                        if channel.write((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes a row, as the operator or a server does. The store's answer is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().expect("no panic");
        Self::write(&mut state, table, key, Some(base64(value.as_bytes())));
        self.record.line(&format!("store: {table}/{key} is written: {value}"));
        Instant::now()
    }

    /// Takes the store down, or up again.
    pub fn set_down(&self, is_down: bool) {
        self.record.line(if is_down { "store: is down" } else { "store: is up again" });
        self.state.lock().expect("no panic").is_down = is_down;
    }

    /// Removes a row, as when its entry expires.
    pub fn remove(&self, table: &str, key: &str) {
        self.record.line(&format!("store: {table}/{key} is removed"));
        Self::write(&mut self.state.lock().expect("no panic"), table, key, None);
    }

    /// The value of a row, as it is kept; `None` if there is no such row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.lock().expect("no panic");
        let value = state.rows.get(&(table.to_owned(), key.to_owned()))?.value.clone()?;
        Some(String::from_utf8_lossy(&crate::json::unbase64(&value)).into_owned())
    }

    fn write(state: &mut State, table: &str, key: &str, value: Option<String>) {
        state.revision += 1;
        let row = Row { value, revision: state.revision };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn page(&self, state: &State, rows: Vec<String>, has_more: bool) -> String {
        format!(
            r#"{{"rows":[{}],"has_more":{has_more},"schema_version":{},"current_time_ms":{}}}"#,
            rows.join(","),
            state.revision,
            51_230 + self.started.elapsed().as_millis()
        )
    }

    fn row(table: &str, key: &str, row: &Row) -> String {
        let value = match &row.value {
            Some(value) => format!(r#""value":"{value}""#),
            None => r#""deleted":true"#.to_owned(),
        };
        let (table, key) = (quoted(table), quoted(key));
        format!(r#"{{"table":{table},"part":"","key":{key},{value},"schema_version":{}}}"#, row.revision)
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let query = |name: &str| request.query(name).unwrap_or_default();
        let table = query("table");
        if self.state.lock().expect("no panic").is_down {
            return (503, "{}".to_owned());
        }
        match request.path() {
            "/v1/rows-get" => {
                let (from, to) = (query("from"), request.query("to"));
                let limit = query("limit").parse().unwrap_or(500).min(500);
                let state = self.state.lock().expect("no panic");
                let rows = state.rows.iter().filter(|((of, key), row)| {
                    *of == table && *key >= from && to.as_ref().is_none_or(|to| key < to) && row.value.is_some()
                });
                let mut rows: Vec<String> = rows.map(|((_, key), row)| Self::row(&table, key, row)).collect();
                let has_more = rows.len() > limit;
                rows.truncate(limit);
                (200, self.page(&state, rows, has_more))
            }
            "/v1/rows-feed" => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    {
                        let state = self.state.lock().expect("no panic");
                        if state.is_down {
                            return (503, "{}".to_owned());
                        }
                        if after > state.revision {
                            return (410, "{}".to_owned());
                        }
                        let rows = state.rows.iter().filter(|((of, _), row)| *of == table && row.revision > after);
                        let mut rows: Vec<_> = rows.collect();
                        rows.sort_by_key(|(_, row)| row.revision);
                        if !rows.is_empty() || Instant::now() >= end {
                            let rows = rows.iter().map(|((_, key), row)| Self::row(&table, key, row));
                            return (200, self.page(&state, rows.collect(), false));
                        }
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
            "/v1/rows-tx" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = Json::parse(&text) else { return (400, "{}".to_owned()) };
                let mut state = self.state.lock().expect("no panic");
                let at = |row: &Json| (row.text("table").to_owned(), row.text("key").to_owned());
                let is_outdated = |row: &Json| {
                    let found = state.rows.get(&at(row)).filter(|row| row.value.is_some());
                    found.map_or(0, |row| row.revision) != row.number("schema_version")
                };
                if body.list("expected_revision").iter().any(is_outdated) {
                    return (412, r#"{"rows":[]}"#.to_owned());
                }
                for row in body.list("write") {
                    Self::write(&mut state, row.text("table"), row.text("key"), Some(row.text("value").to_owned()));
                }
                for row in body.list("remove") {
                    Self::write(&mut state, row.text("table"), row.text("key"), None);
                }
                (200, format!(r#"{{"schema_version":{}}}"#, state.revision))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}
