//! An in-memory platform with a table service and a host list, which can simulate outages.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cypressvane::platform::{Entry, KeyValue, Row};
use cypressvane::refusal::Reason;
use cypressvane::server::{self, Endpoint, IncomingRequest, Options};
use http_types::headers::{ETAG, IF_NONE_MATCH};
use http_types::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::answer;

/// How long a call hangs under [`Outage::Hangs`].
const HANG_TIME: Duration = Duration::from_secs(3600);

/// The outage of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The service answers.
    #[default]
    None,
    /// The service answers 503.
    Fails,
    /// The service accepts calls and does not answer.
    Hangs,
}

/// The faults that the platform simulates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Outage of the table service.
    pub table: Outage,
    /// Outage of the host list.
    pub hosts: Outage,
    /// Delay added to each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes that take effect but are answered with 503.
    pub lose_write_answers: u64,
    /// Takes a new copy of the rows for stale reads.
    pub keep_copy: bool,
    /// Answers reads from the last copy of the rows; setting the first fault always takes one.
    pub stale_reads: bool,
}

/// Counters of the calls to the platform since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of the table.
    pub reads: u64,
    /// Writes to the table, including refused ones.
    pub writes: u64,
    /// Reads of the host list.
    pub lists: u64,
    /// Bytes of the values that reads returned.
    pub read_bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    copy: Option<BTreeMap<String, Row>>,
    hosts: Vec<Entry>,
    /// Incremented with each change of the host list; sent as its `ETag`.
    hosts_etag: u64,
    fault: Fault,
    stats: Stats,
}

#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
}

#[derive(Deserialize)]
struct Put {
    value: String,
    revision: Option<u64>,
}

#[derive(Default, Deserialize)]
struct Query {
    region: Option<String>,
    prefix: Option<String>,
}

/// A running platform.
#[derive(Debug)]
pub struct Handle {
    platform: Arc<Platform>,
    server: server::Handle,
}

/// Starts a platform.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<Handle> {
    let platform = Arc::new(Platform::default());
    let options = Options {
        max_body_bytes: 64 << 20,
        ..Options::default()
    };
    let server = server::bind(address, options, Arc::clone(&platform))?;
    Ok(Handle { platform, server })
}

impl Handle {
    /// The address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Entry>) {
        self.platform.set_hosts(hosts);
    }

    /// Writes a row regardless of its current revision.
    pub fn insert(&self, key: String, value: String) {
        let mut state = self.platform.state();
        let revision = state.rows.get(&key).map_or(1, |row| row.revision + 1);
        state.rows.insert(key, Row { revision, value });
    }

    /// Sets the faults to simulate.
    pub fn set_fault(&self, fault: Fault) {
        self.platform.set_fault(fault);
    }

    /// The counters of the calls so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.platform.state().stats
    }

    /// The rows whose keys begin with `prefix`.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<(String, Row)> {
        let state = self.platform.state();
        let rows = state.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, row)| (key.clone(), row.clone())).collect()
    }
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_fault(&self, fault: Fault) {
        let mut state = self.state();
        if fault.keep_copy || state.copy.is_none() {
            state.copy = Some(state.rows.clone());
        }
        state.fault = fault;
    }

    fn get(&self, key: &str) -> Response {
        let mut state = self.state();
        state.stats.reads += 1;
        if state.fault.table == Outage::Fails {
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        let copy = state.copy.as_ref().filter(|_| state.fault.stale_reads);
        let rows = copy.unwrap_or(&state.rows);
        let Some(row) = rows.get(key).cloned() else {
            return answer::empty(StatusCode::NotFound);
        };
        state.stats.read_bytes += row.value.len() as u64;
        answer::json(StatusCode::Ok, &row)
    }

    fn put(&self, key: &str, put: Put) -> Response {
        let mut state = self.state();
        state.stats.writes += 1;
        if state.fault.table == Outage::Fails {
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        let revision = state.rows.get(key).map(|row| row.revision);
        if revision != put.revision {
            return answer::empty(StatusCode::PreconditionFailed);
        }
        let row = Row {
            revision: revision.unwrap_or(0) + 1,
            value: put.value,
        };
        state.rows.insert(key.to_owned(), row);
        if state.fault.lose_write_answers > 0 {
            state.fault.lose_write_answers -= 1;
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        answer::empty(StatusCode::Ok)
    }

    fn list_rows(&self, prefix: &str) -> Response {
        let mut state = self.state();
        state.stats.reads += 1;
        if state.fault.table == Outage::Fails {
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        let copy = state.copy.as_ref().filter(|_| state.fault.stale_reads);
        let rows = copy.unwrap_or(&state.rows).iter();
        let found: Vec<KeyValue> = rows
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| KeyValue {
                key: key.clone(),
                value: row.value.clone(),
            })
            .collect();
        let bytes: usize = found.iter().map(|row| row.value.len()).sum();
        state.stats.read_bytes += bytes as u64;
        answer::json(StatusCode::Ok, &found)
    }

    fn overwrite(&self, rows: Vec<KeyValue>) -> Response {
        let mut state = self.state();
        state.stats.writes += 1;
        if state.fault.table == Outage::Fails {
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        for KeyValue { key, value } in rows {
            let revision = state.rows.get(&key).map_or(1, |row| row.revision + 1);
            state.rows.insert(key, Row { revision, value });
        }
        if state.fault.lose_write_answers > 0 {
            state.fault.lose_write_answers -= 1;
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        answer::empty(StatusCode::Ok)
    }

    fn set_hosts(&self, hosts: Vec<Entry>) {
        let mut state = self.state();
        state.hosts = hosts;
        state.hosts_etag += 1;
    }

    fn list(&self, region: Option<&str>, known: Option<&str>) -> Response {
        let mut state = self.state();
        state.stats.lists += 1;
        if state.fault.hosts == Outage::Fails {
            return answer::empty(StatusCode::ServiceUnavailable);
        }
        let tag = format!("\"{}\"", state.hosts_etag);
        if known == Some(tag.as_str()) {
            return answer::empty(StatusCode::NotModified);
        }
        let wanted = |entry: &&Entry| region.is_none_or(|region| region == &*entry.region);
        let entries: Vec<&Entry> = state.hosts.iter().filter(wanted).collect();
        let mut response = answer::json(StatusCode::Ok, &entries);
        response.insert_header(ETAG, tag);
        response
    }
}

impl Endpoint for Platform {
    async fn answer(&self, mut call: IncomingRequest) -> Response {
        let path = call.request.url().path().to_owned();
        let method = call.request.method();
        let body = match call.body().await {
            Ok(body) => body,
            Err(reason) => return answer::rejected(&reason),
        };
        let fault = self.state().fault.clone();
        Timer::after(Duration::from_millis(fault.delay_ms)).await;
        let key = path.strip_prefix("/table/");
        let outage = match (method, key, path.as_str()) {
            (_, Some(_), _) | (_, None, "/table") => fault.table,
            (Method::Get, None, "/hosts") => fault.hosts,
            _ => Outage::None,
        };
        if outage == Outage::Hangs {
            Timer::after(HANG_TIME).await;
        }
        match (method, key, path.as_str()) {
            (Method::Get, Some(key), _) => self.get(key),
            (Method::Put, Some(key), _) => match serde_json::from_slice(&body) {
                Ok(put) => self.put(key, put),
                Err(_) => answer::empty(StatusCode::BadRequest),
            },
            (Method::Get, None, "/table") => {
                let query: Query = call.request.query().unwrap_or_default();
                self.list_rows(&query.prefix.unwrap_or_default())
            }
            (Method::Put, None, "/table") => match serde_json::from_slice(&body) {
                Ok(rows) => self.overwrite(rows),
                Err(_) => answer::empty(StatusCode::BadRequest),
            },
            (Method::Get, None, "/hosts") => {
                let query: Query = call.request.query().unwrap_or_default();
                let known = call
                    .request
                    .header(IF_NONE_MATCH)
                    .map(|values| values.as_str());
                self.list(query.region.as_deref(), known)
            }
            (Method::Put, None, "/hosts") => match serde_json::from_slice(&body) {
                Ok(hosts) => {
                    self.set_hosts(hosts);
                    answer::empty(StatusCode::Ok)
                }
                Err(_) => answer::empty(StatusCode::BadRequest),
            },
            (Method::Put, None, "/fault") => match serde_json::from_slice(&body) {
                Ok(fault) => {
                    self.set_fault(fault);
                    answer::empty(StatusCode::Ok)
                }
                Err(_) => answer::empty(StatusCode::BadRequest),
            },
            (Method::Get, None, "/stats") => answer::json(StatusCode::Ok, &self.state().stats),
            _ => answer::empty(StatusCode::NotFound),
        }
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::rejected(&reason)
    }
}
