//! A plain HTTP service that echoes requests and counts them by request id.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cypressvane::refusal::Reason;
use cypressvane::server::{self, Endpoint, IncomingRequest, Options};
use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::answer;

/// The header that carries the request id.
const REQUEST_ID: &str = "x-request-id";
/// The request header that sets the status of the answer.
const WANTED_STATUS: &str = "x-wanted-status";

/// The answer of a plain service: the request as it was received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The query; empty if there was none.
    pub query: String,
    /// The body; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// The headers.
    pub headers: BTreeMap<String, String>,
}

#[derive(Debug, Default)]
struct Plain {
    delay: Duration,
    seen: Mutex<BTreeMap<String, u64>>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Handle {
    plain: Arc<Plain>,
    server: server::Handle,
}

/// Starts a plain service that delays each answer by `delay`.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind(address: SocketAddr, delay: Duration) -> io::Result<Handle> {
    let plain = Arc::new(Plain {
        delay,
        ..Plain::default()
    });
    let server = server::bind(address, Options::default(), Arc::clone(&plain))?;
    Ok(Handle { plain, server })
}

impl Handle {
    /// The address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// How often each request id was received.
    #[must_use]
    pub fn seen(&self) -> BTreeMap<String, u64> {
        self.plain.seen().clone()
    }
}

impl Plain {
    fn seen(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Endpoint for Plain {
    async fn answer(&self, mut call: IncomingRequest) -> Response {
        if call.request.url().path() == "/ledger" {
            return answer::json(StatusCode::Ok, &*self.seen());
        }
        let body = match call.body().await {
            Ok(body) => body,
            Err(reason) => return answer::rejected(&reason),
        };
        let request = &call.request;
        let id = request
            .header(REQUEST_ID)
            .map(|values| values.as_str().to_owned());
        if let Some(id) = &id {
            *self.seen().entry(id.clone()).or_default() += 1;
        }
        Timer::after(self.delay).await;
        let headers = request.iter();
        let echo = Echo {
            method: request.method().to_string(),
            path: request.url().path().to_owned(),
            query: request.url().query().unwrap_or_default().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
            headers: headers
                .map(|(name, values)| (name.to_string(), values.as_str().to_owned()))
                .collect(),
        };
        let wanted = request
            .header(WANTED_STATUS)
            .and_then(|values| values.as_str().parse().ok());
        let wanted = wanted.and_then(|status: u16| StatusCode::try_from(status).ok());
        let mut response = answer::json(wanted.unwrap_or(StatusCode::Ok), &echo);
        response.insert_header("x-service", "plain");
        response
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::rejected(&reason)
    }
}
