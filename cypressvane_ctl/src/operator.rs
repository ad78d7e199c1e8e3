//! A client of the hosts' listeners for operators.

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

/// The environment variable that holds the operator key.
const KEY_VARIABLE: &str = "CYPRESSVANE_KEY";
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// A client with an operator key, which calls one host unless it is given another address.
#[derive(Debug)]
pub struct Client {
    host: SocketAddr,
    key: String,
}

impl Client {
    /// Creates a client with the given key, or with the key from the environment.
    ///
    /// # Errors
    /// If there is no key.
    pub fn new(host: SocketAddr, key: Option<String>) -> Result<Self, Error> {
        let missing = || {
            Error::Usage(format!(
                "--key KEY or the environment variable {KEY_VARIABLE} is needed"
            ))
        };
        let key = key
            .or_else(|| env::var(KEY_VARIABLE).ok())
            .ok_or_else(missing)?;
        Ok(Self { host, key })
    }

    /// Calls the default host.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> Result<Reply, Error> {
        self.call_at(self.host, method, path, body).await
    }

    /// Calls the host at an address.
    ///
    /// # Errors
    /// If no answer arrives, or if its status is not a success.
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
        let reply = client::call(address, request, ANSWER_BYTES_MAX, CALL_TIMEOUT).await?;
        if reply.is_success() {
            return Ok(reply);
        }
        Err(reply_error(&reply))
    }

    /// Returns the entries of all hosts; backend servers are left out.
    pub async fn hosts(&self) -> Result<Vec<Entry>, Error> {
        let reply = self.call(Method::Get, "/v1/hosts", "").await?;
        let mut entries: Vec<Entry> = parse(&reply)?;
        entries.retain(|entry| entry.kind == Kind::Entry);
        Ok(entries)
    }

    /// Returns the address of a host's listener for operators.
    pub async fn operators_address(&self, name: &str) -> Result<SocketAddr, Error> {
        let unknown_host = || Error::Usage(format!("no such host in the host list: {name:?}"));
        let hosts = self.hosts().await?;
        let entry = hosts
            .iter()
            .find(|entry| *entry.name == *name)
            .ok_or_else(unknown_host)?;
        let no_address = || {
            Error::Unexpected(format!(
                "the host list has no operators' address for {name}"
            ))
        };
        entry.operators.ok_or_else(no_address)
    }

    /// Returns the short state of a host.
    pub async fn state(&self, entry: &Entry) -> Result<State, Error> {
        self.read_from(entry, "/v1/state").await
    }

    /// Returns the full state of a host.
    pub async fn dump(&self, entry: &Entry) -> Result<Dump, Error> {
        self.read_from(entry, "/dump").await
    }

    async fn read_from<T: DeserializeOwned>(&self, entry: &Entry, path: &str) -> Result<T, Error> {
        let no_address = || Error::Unexpected("no operators' address in the host list".to_owned());
        let address = entry.operators.ok_or_else(no_address)?;
        let reply = self.call_at(address, Method::Get, path, "").await?;
        parse(&reply)
    }
}

/// Parses a JSON answer.
pub fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, Error> {
    serde_json::from_slice(&reply.body).map_err(|error| Error::Unexpected(error.to_string()))
}

fn reply_error(reply: &Reply) -> Error {
    match serde_json::from_slice::<refusal::Body>(&reply.body) {
        Ok(body) => Error::Refused {
            code: body.error.code.text().to_owned(),
            message: body.error.message,
        },
        Err(_) => Error::Unexpected(format!("the host answered status {}", reply.status())),
    }
}
