use crate::Gate;

impl Gate {
    /// Returns the maximum body size in bytes of the service with this host name, or `None` if no
    /// service has it.
    pub fn max_body(&self, host: &str) -> Option<u64> {
        let service = self.services.get(*self.services_by_host.get(host)?)?;
        Some(service.doc.requests.max_body)
    }
}
