use std::fmt;
use std::time::Duration;

use bay_range::{GrantOrder, OrderResult};
use bay_store::{Object, StoreError, StoreRequest, StoreResult};
use bay_types::{ErrorKind, Revision};

use crate::{
    AnswerFields, AttemptFields, Config, HeaderAction, RequestFields, ServerEntry, ServerIdentifier,
};

/// The platform's encoding of the router's types for callers, servers and the store.
pub trait RouterWire: fmt::Debug {
    /// Parses one header of a caller's request into `into`; `name` is in lower case.
    fn parse_request_header(
        &self,
        name: &str,
        value: &[u8],
        into: &mut RequestFields,
    ) -> HeaderAction;

    /// Appends the headers of an attempt to `out`.
    fn write_attempt_headers(&self, attempt: &AttemptFields<'_>, out: &mut Vec<u8>);

    /// Appends the header that names the only server that may accept the request.
    fn write_server_header(&self, server: &ServerIdentifier, out: &mut Vec<u8>);

    /// Parses one header of a server's answer into `into`; `name` is in lower case.
    fn parse_answer_header(&self, name: &str, value: &[u8], into: &mut AnswerFields);

    /// Returns the HTTP status of an error answer of the router itself.
    fn error_status(&self, kind: ErrorKind) -> u16;

    /// Formats the value of the `Retry-After` header.
    fn format_retry_after(&self, duration: Duration) -> String;

    /// Returns the path of the readiness check of the platform's load balancer.
    fn ready_path(&self) -> &str;

    /// Returns the key prefix of the operator's configuration.
    fn config_prefix(&self) -> &str;

    /// Returns the key prefix of the servers' entries.
    fn server_prefix(&self) -> &str;

    /// Returns the key prefix of the zones that are out.
    fn zone_prefix(&self) -> &str;

    /// Parses the configuration.
    ///
    /// # Errors
    /// Returns an error if the document is malformed or a value is invalid.
    fn parse_config(&self, body: &str) -> Result<Config, DocumentError>;

    /// Parses a server's entry.
    ///
    /// # Errors
    /// Returns an error if the document is malformed or a value is invalid.
    fn parse_server(&self, body: &str) -> Result<ServerEntry, DocumentError>;

    /// Returns the HTTP call for a request to the store.
    fn store_call(&self, request: &StoreRequest) -> HttpCall;

    /// Parses the store's answer to a request.
    ///
    /// # Errors
    /// Returns an error that tells whether a write may have taken effect.
    fn parse_store_answer(&self, request: &StoreRequest, status: u16, body: &[u8]) -> StoreResult;

    /// Returns the HTTP call for a page of the objects with a prefix, starting after a name.
    ///
    /// With `allow_stale` the page may be outdated, which costs the store less.
    fn list_call(&self, prefix: &str, after: Option<&str>, allow_stale: bool) -> HttpCall;

    /// Parses a page of objects.
    ///
    /// # Errors
    /// Returns an error if the answer is not a page.
    fn parse_page(&self, prefix: &str, status: u16, body: &[u8]) -> Result<ObjectPage, StoreError>;

    /// Returns the HTTP call for an order to a server.
    fn order_call(&self, server: ServerIdentifier, order: &GrantOrder) -> HttpCall;

    /// Parses a server's answer to an order.
    fn parse_order_answer(
        &self,
        order: &GrantOrder,
        status: u16,
        fields: &AnswerFields,
    ) -> OrderResult;
}

/// An HTTP request with a small body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpCall {
    /// HTTP method.
    pub method: HttpMethod,
    /// Path and query.
    pub path: String,
    /// The only server that may accept the call; `None` for calls to the store.
    pub server: Option<ServerIdentifier>,
    /// Content type and body.
    pub body: Option<(&'static str, Vec<u8>)>,
}

/// HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpMethod {
    /// Reads objects.
    Get,
    /// Creates an object, or sends an order to a server.
    Post,
    /// Replaces an object.
    Put,
    /// Deletes an object.
    Delete,
}

impl HttpMethod {
    /// Returns the name of the method in capitals.
    pub fn as_str(self) -> &'static str {
        match self {
            HttpMethod::Get => "GET",
            HttpMethod::Post => "POST",
            HttpMethod::Put => "PUT",
            HttpMethod::Delete => "DELETE",
        }
    }
}

/// A page of the objects with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectPage {
    /// Objects, in the order of their keys.
    pub objects: Vec<Object>,
    /// Name after which the next page starts, if more objects follow.
    pub next: Option<String>,
    /// Revision of the store at which the page was read.
    pub revision: Revision,
}

/// A document that can't be parsed, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError(pub String);

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DocumentError {}
