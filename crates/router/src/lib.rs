//! The decisions of the router process: routes, servers, owners of keys, retries and limits.
//!
//! Nothing here does I/O; every decision takes the time and an input.

mod answer_fields;
mod assembly;
mod cold_share;
mod config;
mod counter;
mod crash_watch;
mod directory;
mod fed;
mod heard;
mod load_report;
mod mean_times;
mod own_objects;
mod owner_map;
mod peer_message;
mod pick;
mod request_state;
mod retry_budget;
mod route_map;
mod router;
mod server;
mod server_entry;
mod service_pool;
mod settings;
mod store_health;
mod verdict;
mod weighted_split;
mod wire;

pub use answer_fields::{AnswerFields, AttemptFields, HeaderUse, RequestFields};
pub use assembly::Assembly;
pub use cold_share::ColdShare;
pub use config::{CallerLimits, Config, RouteKind, RouteSpec, ServiceSpec};
pub use counter::Counter;
pub use crash_watch::{Crash, CrashWatch};
pub use directory::{Directory, DirectoryChange};
pub use fed::{Fed, News, ServerList};
pub use heard::HeardHosts;
pub use load_report::LoadReport;
pub use mean_times::MeanTimes;
pub use own_objects::{HostRecord, own_key};
pub use owner_map::{OwnerChanges, OwnerMap};
pub use peer_message::{
    FeedState, Heartbeat, KeyCount, PeerMessage, Report, ServerNews, ServerTime, ServiceOwners,
    ServiceReport,
};
pub use pick::{Choice, Pick};
pub use request_state::RequestState;
pub use retry_budget::RetryBudget;
pub use route_map::RouteMap;
pub use router::Router;
pub use server::Server;
pub use server_entry::{ServerEntry, ServerState};
pub use service_pool::ServicePool;
pub use settings::{Bounds, RouterSettings};
pub use store_health::StoreHealth;
pub use verdict::{AttemptResult, Verdict};
pub use weighted_split::WeightedSplit;
pub use wire::{DocumentError, HttpCall, HttpVerb, ObjectPage, RouterWire};
