use crate::Gate;

impl Gate {
    /// Longest body, in bytes, that the service with this host name takes; `None` if there is no
    /// such service.
    pub fn max_body(&self, host: &str) -> Option<u64> {
        let service = self.services.get(*self.services_by_host.get(host)?)?;
        Some(service.doc.requests.max_body)
    }
}
