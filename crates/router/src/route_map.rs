use std::collections::HashMap;
use std::sync::Arc;

use crate::{Config, RouteSpec, WeightedSplit};

/// Finds the route of a request by host name and longest prefix of its path.
#[derive(Debug, Default)]
pub struct RouteMap {
    hosts: HashMap<String, Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    route: Arc<RouteSpec>,
    split: WeightedSplit,
}

impl RouteMap {
    /// The routes of a configuration.
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

    /// The route of a request, and the service among its parts whose turn it is.
    pub fn find(
        &mut self,
        host: &str,
        path: &str,
    ) -> Option<(Arc<RouteSpec>, bay_types::ServiceName)> {
        let entries = match self.hosts.get_mut(host) {
            Some(entries) => entries,
            None => self.hosts.get_mut(&host.to_ascii_lowercase())?,
        };
        let entry = entries.iter_mut().find(|entry| path.starts_with(&entry.route.prefix))?;
        let service = entry.split.next_service()?;
        Some((Arc::clone(&entry.route), service))
    }
}
