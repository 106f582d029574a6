use bay_conf::Method;

/// The head of a caller's request, as the HTTP library holds it.
pub trait RequestHead {
    /// The method, or `None` if the gate does not pass it on.
    fn method(&self) -> Option<Method>;

    /// The host name that the caller asked for, without its port.
    fn host(&self) -> Option<&str>;

    /// The path without its query.
    fn path(&self) -> &str;

    /// The value of a header, its name in lower case.
    fn header(&self, name: &str) -> Option<&str>;
}
