use std::net::SocketAddr;

use bay_call::RequestHead;
use bay_conf::{KeySource, Method, ServiceDoc};
use bay_own::RouteTable;
use bay_types::KeyHash;
use bay_wire::SliceGrant;

/// A service as the gate sees it.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) doc: ServiceDoc,
    pub(crate) routes: Option<RouteTable>,
    next_target: usize,
}

/// Where an attempt goes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Destination {
    pub(crate) to: SocketAddr,
    pub(crate) grant: Option<SliceGrant>,
}

impl Service {
    pub(crate) fn new(doc: ServiceDoc) -> Service {
        let routes = doc.keyed().map(|rules| RouteTable::new(rules.layout));
        Service { doc, routes, next_target: 0 }
    }

    pub(crate) fn idempotent(&self, method: Method) -> bool {
        self.doc.requests.idempotent.contains(&method)
    }

    /// The hash of a request's key, or `None` if it names none.
    pub(crate) fn key_of<H>(&self, head: &H) -> Option<KeyHash>
    where
        H: RequestHead,
    {
        let key = match &self.doc.keyed()?.source {
            KeySource::Header(name) => head.header(name)?,
            KeySource::Path { prefix } => head.path().strip_prefix(prefix)?.split('/').next()?,
        };
        (!key.is_empty()).then(|| KeyHash::of(key.as_bytes()))
    }

    pub(crate) fn destination(&mut self, key: Option<KeyHash>) -> Option<Destination> {
        if let Some(routes) = &self.routes {
            let route = routes.lookup(key?)?;
            let grant = SliceGrant { slice: route.slice, token: route.token };
            return Some(Destination { to: route.server, grant: Some(grant) });
        }
        let count = self.doc.servers.len();
        self.next_target += 1;
        let server = self.doc.servers.get(self.next_target % count.max(1))?;
        Some(Destination { to: server.address, grant: None })
    }
}
