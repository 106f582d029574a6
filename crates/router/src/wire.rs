use std::fmt;
use std::time::Duration;

use bay_range::{GrantOrder, OrderResult};
use bay_store::{Object, StoreError, StoreRequest, StoreResult};
use bay_types::{ErrorKind, Revision, ServerName};

use crate::{AnswerFields, AttemptFields, Config, HeaderAction, RequestFields, ServerEntry};

/// How the router's types are written for its callers, its servers and the store.
pub trait RouterWire: fmt::Debug {
    /// Takes in one header of a caller's request; `name` is in lower case.
    fn read_request(&self, name: &str, value: &[u8], into: &mut RequestFields) -> HeaderAction;

    /// Appends the headers of an attempt.
    fn write_attempt(&self, attempt: &AttemptFields, out: &mut Vec<u8>);

    /// Appends the header that names the only server that may take a request.
    fn write_server(&self, server: ServerName, out: &mut Vec<u8>);

    /// Takes in one header of a server's answer; `name` is in lower case.
    fn read_answer(&self, name: &str, value: &[u8], into: &mut AnswerFields);

    /// The status of an answer of the router's own.
    fn status(&self, kind: ErrorKind) -> u16;

    /// The value that tells a caller when to come back.
    fn retry_after(&self, span: Duration) -> String;

    /// The path that the balancer asks whether the router takes connections.
    fn ready_path(&self) -> &str;

    /// Prefix of the keys of the operator's configuration.
    fn config_prefix(&self) -> &str;

    /// Prefix of the keys of the servers' entries.
    fn server_prefix(&self) -> &str;

    /// Prefix of the keys of the zones that are out.
    fn zone_prefix(&self) -> &str;

    /// Reads the configuration.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn parse_config(&self, body: &str) -> Result<Config, DocumentError>;

    /// Reads a server's entry.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn parse_server(&self, body: &str) -> Result<ServerEntry, DocumentError>;

    /// The call for a request to the store.
    fn store_call(&self, request: &StoreRequest) -> HttpCall;

    /// Reads the store's answer to a request.
    ///
    /// # Errors
    /// Returns an error that says whether a write may have taken effect.
    fn parse_store_answer(&self, request: &StoreRequest, status: u16, body: &[u8]) -> StoreResult;

    /// The call that lists a page of the objects with a prefix, after a name if there is one; a
    /// page that may be old costs the store less.
    fn list_call(&self, prefix: &str, after: Option<&str>, allow_stale: bool) -> HttpCall;

    /// Reads a page.
    ///
    /// # Errors
    /// Returns an error if the store did not answer with a page.
    fn parse_page(&self, prefix: &str, status: u16, body: &[u8]) -> Result<ObjectPage, StoreError>;

    /// The call for an order to a server.
    fn order_call(&self, server: ServerName, order: &GrantOrder) -> HttpCall;

    /// Reads a server's answer to an order.
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
    /// The method.
    pub method: HttpMethod,
    /// The path and query.
    pub path: String,
    /// The only server that may take the call, if it goes to a server.
    pub server: Option<ServerName>,
    /// The content type and the body, if there is one.
    pub body: Option<(&'static str, Vec<u8>)>,
}

/// The method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpMethod {
    /// GET
    Get,
    /// POST
    Post,
    /// PUT
    Put,
    /// DELETE
    Delete,
}

impl HttpMethod {
    /// The method's name.
    pub fn as_str(self) -> &'static str {
        match self {
            HttpMethod::Get => "GET",
            HttpMethod::Post => "POST",
            HttpMethod::Put => "PUT",
            HttpMethod::Delete => "DELETE",
        }
    }
}

/// Some of the objects with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectPage {
    /// The objects, in the order of their keys.
    pub objects: Vec<Object>,
    /// The last name of the page, if more follow.
    pub next: Option<String>,
    /// The store's revision when it read the page.
    pub revision: Revision,
}

/// What is wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError(pub String);

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DocumentError {}
