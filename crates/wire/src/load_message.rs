use serde::{Deserialize, Serialize};

/// A message between gates about the load of a service's targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {}
