use bay_call::RequestHead;
use bay_conf::Method;
use http_types::Request;

/// A request's head as the HTTP library holds it.
#[derive(Debug)]
pub(crate) struct HttpHead<'a>(pub(crate) &'a Request);

impl RequestHead for HttpHead<'_> {
    fn method(&self) -> Option<Method> {
        Method::parse(self.0.method().as_ref())
    }

    fn host(&self) -> Option<&str> {
        host_name(self.0)
    }

    fn path(&self) -> &str {
        self.0.url().path()
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.0.header(name).map(|values| values.as_str())
    }
}

/// The host name that a request asks for, without its port.
pub(crate) fn host_name(req: &Request) -> Option<&str> {
    let value = req.header("host")?.as_str();
    Some(value.split(':').next().unwrap_or(value))
}
