use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bay_types::ServiceName;

use crate::{Config, RouteSpec, WeightedSplit};

/// The routes by host name and path prefix; the longest matching prefix wins.
#[derive(Debug, Default)]
pub struct RouteMap {
    /// Routes by host name in lower case, longest prefix first.
    hosts: HashMap<String, Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    route: Arc<RouteSpec>,
    split: WeightedSplit,
}

impl RouteMap {
    /// Creates the map from the routes of a configuration.
    pub fn new(config: &Config) -> RouteMap {
        let mut hosts: HashMap<String, Vec<Entry>> = HashMap::new();
        for route in &config.routes {
            let split = WeightedSplit::new(&route.parts);
            let entry = Entry { route: Arc::new(route.clone()), split };
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(entry);
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        RouteMap { hosts }
    }

    /// Returns the timeout of the route that matches a request. It assigns no service.
    pub fn timeout(&self, host: &str, path: &str) -> Option<Duration> {
        let entries =
            self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let entry = entries.iter().find(|entry| path.starts_with(&entry.route.prefix))?;
        Some(entry.route.timeout)
    }

    /// Finds the route of a request, and the service that the route's split assigns; `None` as the service
    /// if none of the route's services gets requests.
    ///
    /// Host names are compared without regard to case. Each call advances the split.
    pub fn find(
        &mut self,
        host: &str,
        path: &str,
    ) -> Option<(Arc<RouteSpec>, Option<ServiceName>)> {
        let entries = match self.hosts.get_mut(host) {
            Some(entries) => entries,
            None => self.hosts.get_mut(&host.to_ascii_lowercase())?,
        };
        let entry = entries.iter_mut().find(|entry| path.starts_with(&entry.route.prefix))?;
        let service = entry.split.next_service();
        Some((Arc::clone(&entry.route), service))
    }
}
