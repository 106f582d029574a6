use bay_call::RequestHead;
use bay_conf::Method;
use bay_types::KeyHash;
use http_types::Request;

/// Adapts a request of the HTTP library to [`RequestHead`].
#[derive(Debug)]
pub(crate) struct HttpHead<'a> {
    req: &'a Request,
    body_prefix: &'a [u8],
}

impl<'a> HttpHead<'a> {
    /// Wraps a request and the start of its body that was buffered before the call begins.
    pub(crate) fn new(req: &'a Request, body_prefix: &'a [u8]) -> HttpHead<'a> {
        HttpHead { req, body_prefix }
    }
}

impl RequestHead for HttpHead<'_> {
    fn method(&self) -> Option<Method> {
        Method::parse(self.req.method().as_ref())
    }

    fn host(&self) -> Option<&str> {
        host_name(self.req)
    }

    fn path(&self) -> &str {
        self.req.url().path()
    }

    fn query(&self) -> &str {
        self.req.url().query().unwrap_or_default()
    }

    fn body_digest(&self) -> u64 {
        KeyHash::of(self.body_prefix).0
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name).map(|values| values.as_str())
    }
}

/// Returns the host name in the `Host` header, without the port.
pub(crate) fn host_name(req: &Request) -> Option<&str> {
    let value = req.header("host")?.as_str();
    Some(value.split(':').next().unwrap_or(value))
}
