//! What a caller's path and method ask for.

use http_types::headers::ALLOW;
use http_types::{Method, Request as HttpRequest, Response};

use crate::protocol::prompt::Call as Completion;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Received, Request};
use crate::transport::http::answer;

/// The list of models.
const MODELS_PATH: &str = "/v1/models";
/// Text completion.
const COMPLETIONS_PATH: &str = "/v1/completions";
/// Chat completion.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Where plain services begin.
const SERVICES_PREFIX: &str = "/services/";

/// What a path asks for.
pub(crate) enum Route {
    Models,
    Completion(Completion),
    Plain { service: String, path: String },
}

/// A request that its path or method refuses.
pub(crate) struct Refused {
    reason: Reason,
    allow: Option<&'static str>,
}

impl Refused {
    /// The answer that says so.
    pub(crate) fn answer(self, request: Request<Received>) -> Response {
        let mut response = answer::refusal(&request.refuse(self.reason));
        if let Some(allow) = self.allow {
            response.insert_header(ALLOW, allow);
        }
        response
    }
}

/// Finds out what a request asks for.
///
/// # Errors
/// When there is no such path, or not with this method.
pub(crate) fn route(request: &HttpRequest) -> Result<Route, Refused> {
    let path = request.url().path();
    let method = request.method();
    let only = |allowed: Method, route: Route| {
        if method == allowed {
            return Ok(route);
        }
        let message = format!("{path} takes {allowed} only");
        let reason = Reason::new(Code::MethodNotAllowed, message);
        Err(Refused {
            reason,
            allow: Some(if allowed == Method::Get {
                "GET"
            } else {
                "POST"
            }),
        })
    };
    match path {
        MODELS_PATH => return only(Method::Get, Route::Models),
        COMPLETIONS_PATH => return only(Method::Post, Route::Completion(Completion::Completion)),
        CHAT_PATH => return only(Method::Post, Route::Completion(Completion::Chat)),
        _ => {}
    }
    let plain = path
        .strip_prefix(SERVICES_PREFIX)
        .filter(|rest| !rest.is_empty());
    let Some(rest) = plain else {
        let reason = Reason::new(Code::NotFound, format!("no such path: {path}"));
        return Err(Refused {
            reason,
            allow: None,
        });
    };
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    Ok(Route::Plain {
        service: service.to_owned(),
        path: format!("/{path}"),
    })
}
