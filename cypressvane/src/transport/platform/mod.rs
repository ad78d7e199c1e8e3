//! The platform's services over HTTP with JSON, and the tasks that follow the configuration and the host list.
//!
//! A platform with another protocol has its own implementations of the services, which `host::spawn_on` takes.

mod fetch;
pub(crate) mod follow;
pub(crate) mod host_entries;
pub(crate) mod host_list;
mod install;
pub(crate) mod seed;
mod source;

use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::{ETAG, IF_NONE_MATCH};
use http_types::{Body, Method, Request};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::state::platform::{
    BoxFuture, Entry, Error, Expect, HostList, KeyValue, Listing, Row, ServiceVersions, Table,
    Write,
};
use crate::transport::http::client;

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response of the platform, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// The table service at an address.
#[derive(Debug)]
pub(crate) struct HttpTable(pub(crate) SocketAddr);

/// The host list at an address.
#[derive(Debug)]
pub(crate) struct HttpHostList(pub(crate) SocketAddr);

/// The body of a conditional write.
#[derive(Serialize)]
struct Put<'a> {
    value: &'a str,
    /// Revision that the row must have; `None` if the row must not exist.
    revision: Option<u64>,
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Body>,
) -> Result<client::Reply, Error> {
    let mut request = client::request(method, address, path);
    if let Some(body) = body {
        request.set_body(body);
    }
    send(address, request).await
}

async fn send(address: SocketAddr, request: Request) -> Result<client::Reply, Error> {
    let reply = client::call(address, request, ANSWER_BYTES_MAX, CALL_TIMEOUT).await;
    reply.map_err(|error| match error {
        client::Error::Unreachable { .. } => Error::Unreachable(error.to_string()),
        _ => Error::Lost(error.to_string()),
    })
}

/// Reads the entries of a host list, and why others are left out: one malformed entry must not hide the others.
fn read_entries(body: &[u8]) -> Result<(Vec<Entry>, Vec<String>), serde_json::Error> {
    // Whatever an entry holds, however deep, it is skipped as text.
    let values: Vec<&RawValue> = serde_json::from_slice(body)?;
    let (mut entries, mut faults) = (Vec::new(), Vec::new());
    for (index, value) in values.into_iter().enumerate() {
        match serde_json::from_str(value.get()) {
            Ok(entry) => entries.push(entry),
            Err(error) => faults.push(format!("entry number {}: {error}", index + 1)),
        }
    }
    Ok((entries, faults))
}

/// The error for an unexpected status. After a server error, the call may have taken effect.
fn unexpected(status: u16) -> Error {
    if status >= 500 {
        return Error::Lost(format!("status {status}"));
    }
    Error::Unexpected(format!("status {status}"))
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, Error>> {
        Box::pin(async move {
            let reply = call(self.0, Method::Get, &format!("/table/{key}"), None).await?;
            match reply.status() {
                200 => serde_json::from_slice(&reply.body)
                    .map(Some)
                    .map_err(|error| Error::Unexpected(error.to_string())),
                404 => Ok(None),
                status => Err(unexpected(status)),
            }
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expect: Expect,
    ) -> BoxFuture<'a, Result<Write, Error>> {
        Box::pin(async move {
            let revision = match expect {
                Expect::Absent => None,
                Expect::Revision(revision) => Some(revision),
            };
            let body = Body::from_json(&Put { value, revision })
                .map_err(|error| Error::Unexpected(error.to_string()))?;
            let reply = call(self.0, Method::Put, &format!("/table/{key}"), Some(body)).await?;
            match reply.status() {
                200 => Ok(Write::Done),
                412 => Ok(Write::Conflict),
                status => Err(unexpected(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<KeyValue>, Error>> {
        Box::pin(async move {
            let path = format!("/table?prefix={prefix}");
            let reply = call(self.0, Method::Get, &path, None).await?;
            match reply.status() {
                200 => serde_json::from_slice(&reply.body)
                    .map_err(|error| Error::Unexpected(error.to_string())),
                status => Err(unexpected(status)),
            }
        })
    }

    fn overwrite<'a>(&'a self, rows: &'a [KeyValue]) -> BoxFuture<'a, Result<(), Error>> {
        Box::pin(async move {
            let body =
                Body::from_json(&rows).map_err(|error| Error::Unexpected(error.to_string()))?;
            let reply = call(self.0, Method::Put, "/table", Some(body)).await?;
            match reply.status() {
                200 => Ok(()),
                status => Err(unexpected(status)),
            }
        })
    }
}

impl HostList for HttpHostList {
    fn list<'a>(
        &'a self,
        region: Option<&'a str>,
        known: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Listing, Error>> {
        Box::pin(async move {
            let path = region.map_or_else(
                || "/hosts".to_owned(),
                |region| format!("/hosts?region={region}"),
            );
            let mut request = client::request(Method::Get, self.0, &path);
            if let Some(known) = known {
                request.insert_header(IF_NONE_MATCH, known);
            }
            let reply = send(self.0, request).await?;
            match reply.status() {
                200 => {
                    let tag = reply
                        .head
                        .header(ETAG)
                        .map(|values| values.as_str().to_owned());
                    let (entries, faults) = read_entries(&reply.body)
                        .map_err(|error| Error::Unexpected(error.to_string()))?;
                    Ok(Listing::Entries {
                        tag,
                        entries,
                        is_from_peer: false,
                        faults,
                        hosts_elsewhere: 0,
                        versions_elsewhere: ServiceVersions::new(),
                    })
                }
                304 => Ok(Listing::Same),
                status => Err(unexpected(status)),
            }
        })
    }
}

#[cfg(test)]
#[path = "../platform_entries_tests.rs"]
mod tests;
