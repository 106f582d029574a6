use bay_conf::Method;

/// The head of a caller's request, as the HTTP library holds it.
pub trait RequestHead {
    /// The method, or `None` if the gate does not pass it on.
    fn method(&self) -> Option<Method>;

    /// The host name that the caller asked for, without its port.
    fn host(&self) -> Option<&str>;

    /// The path without its query.
    fn path(&self) -> &str;

    /// The query without its `?`, empty if there is none.
    fn query(&self) -> &str {
        ""
    }

    /// The value of a header, its name in lower case.
    fn header(&self, name: &str) -> Option<&str>;

    /// A digest of the body's first part, as far as it was read before the gate is asked.
    fn body_digest(&self) -> u64 {
        0
    }
}
