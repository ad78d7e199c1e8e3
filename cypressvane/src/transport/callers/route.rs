//! Routing of callers' requests by path and method.

use http_types::headers::ALLOW;
use http_types::{Method, Request as HttpRequest, Response};

use crate::protocol::prompt::Call as Completion;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Received, Request};
use crate::transport::http::answer;

/// Path of the list of models.
const MODELS_PATH: &str = "/v1/models";
/// Path of text completion.
const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completion.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// What a request asks for.
pub(crate) enum Route {
    Models,
    Completion(Completion),
    Plain { service: String, path: String },
}

/// A request whose path or method is not served.
pub(crate) struct RouteError {
    reason: Reason,
    allow: Option<&'static str>,
}

impl RouteError {
    /// Builds the response, with an `Allow` header for a wrong method.
    pub(crate) fn into_response(self, request: Request<Received>) -> Response {
        let mut response = answer::refusal(&request.refuse(self.reason));
        if let Some(allow) = self.allow {
            response.insert_header(ALLOW, allow);
        }
        response
    }
}

/// Finds what a request asks for.
///
/// # Errors
/// When the path does not exist or does not allow the method.
pub(crate) fn route(request: &HttpRequest) -> Result<Route, RouteError> {
    let path = request.url().path();
    let method = request.method();
    let only = |allowed: Method, route: Route| {
        if method == allowed {
            return Ok(route);
        }
        let message = format!("{path} takes {allowed} only");
        let reason = Reason::new(Code::MethodNotAllowed, message);
        Err(RouteError {
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
        return Err(RouteError {
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
