use bay_conf::Method;

/// The head of a caller's request, as the HTTP library holds it.
pub trait RequestHead {
    /// Returns the method, or `None` if the gate does not forward it.
    fn method(&self) -> Option<Method>;

    /// Returns the requested host name without its port.
    fn host(&self) -> Option<&str>;

    /// Returns the path without the query.
    fn path(&self) -> &str;

    /// Returns the query without `?`, empty if there is none.
    fn query(&self) -> &str {
        ""
    }

    /// Returns the value of a header; `name` is in lower case.
    fn header(&self, name: &str) -> Option<&str>;

    /// Returns a digest of the part of the body that was read before the gate begins the request.
    fn body_digest(&self) -> u64 {
        0
    }
}
