//! Calls to the hosts' listeners for operators.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use cypressvane::client::{self, Reply};
use cypressvane::dump::Dump;
use cypressvane::host::State;
use cypressvane::platform::{Entry, Kind};
use cypressvane::refusal;
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// The variable that holds the operator key.
const KEY_VARIABLE: &str = "CYPRESSVANE_KEY";
/// Longest time that a call may take.
const CALL_TIME: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// An operator with a key, who begins at one host.
#[derive(Debug)]
pub struct Operator {
    host: SocketAddr,
    key: String,
}

impl Operator {
    /// Takes the key given, or the variable's.
    pub fn new(host: SocketAddr, key: Option<String>) -> Result<Self, Error> {
        let missing = || {
            Error::Usage(format!(
                "--key KEY or the variable {KEY_VARIABLE} is needed"
            ))
        };
        let key = key
            .or_else(|| env::var(KEY_VARIABLE).ok())
            .ok_or_else(missing)?;
        Ok(Self { host, key })
    }

    /// Calls the host that the operator begins at.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Result<Reply, Error> {
        self.call_at(self.host, method, path, body).await
    }

    /// Calls a host.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Reply, Error> {
        let mut request = client::request(method, address, path);
        request.insert_header(AUTHORIZATION, format!("Bearer {}", self.key));
        request.set_body(body);
        let reply = client::call(address, request, ANSWER_BYTES_MAX, CALL_TIME).await?;
        if reply.is_success() {
            return Ok(reply);
        }
        Err(refused(&reply))
    }

    /// All hosts that run the system.
    pub async fn hosts(&self) -> Result<Vec<Entry>, Error> {
        let reply = self.call(Method::Get, "/v1/hosts", "").await?;
        let mut entries: Vec<Entry> = parse(&reply)?;
        entries.retain(|entry| entry.kind == Kind::Entry);
        Ok(entries)
    }

    /// The address at which a host answers operators.
    pub async fn find(&self, name: &str) -> Result<SocketAddr, Error> {
        let unknown = || Error::Usage(format!("no such host in the host list: {name:?}"));
        let hosts = self.hosts().await?;
        let entry = hosts
            .iter()
            .find(|entry| *entry.name == *name)
            .ok_or_else(unknown)?;
        let silent = || {
            Error::Unexpected(format!(
                "the host list gives no operators' address of {name}"
            ))
        };
        entry.operators.ok_or_else(silent)
    }

    /// The state of a host in short.
    pub async fn state(&self, entry: &Entry) -> Result<State, Error> {
        self.read_from(entry, "/v1/state").await
    }

    /// The state of a host in full.
    pub async fn dump(&self, entry: &Entry) -> Result<Dump, Error> {
        self.read_from(entry, "/dump").await
    }

    async fn read_from<T: DeserializeOwned>(&self, entry: &Entry, path: &str) -> Result<T, Error> {
        let silent = || Error::Unexpected("no operators' address in the host list".to_owned());
        let address = entry.operators.ok_or_else(silent)?;
        let reply = self.call_at(address, Method::Get, path, "").await?;
        parse(&reply)
    }
}

/// Reads a JSON answer.
pub fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, Error> {
    serde_json::from_slice(&reply.body).map_err(|error| Error::Unexpected(error.to_string()))
}

fn refused(reply: &Reply) -> Error {
    match serde_json::from_slice::<refusal::Body>(&reply.body) {
        Ok(body) => Error::Refused {
            code: body.error.code.text().to_owned(),
            message: body.error.message,
        },
        Err(_) => Error::Unexpected(format!("the host answered status {}", reply.status())),
    }
}
