//! The request-path decisions of the router process, without I/O.
//!
//! [`Router`] finds the route of a request, picks a server for it and decides whether a failed
//! attempt is retried. Every function receives the current time and its input from the caller.
//!
//! One router leads the others: the granter. It assigns the key ranges of keyed services to
//! servers, and it reads the store for all routers.

mod config;
mod counter;
mod crash_detector;
mod directory;
mod feed_publisher;
mod granter_feed;
mod header_fields;
mod identified_servers;
mod learned_server_counts;
mod live_routers;
mod load_report;
mod mean_service_times;
mod owner_map;
mod owner_rejections;
mod peer_message;
mod publish_plan;
mod rate_limit;
mod rate_limiter;
mod reassembly_buffer;
mod relay_plan;
mod request_state;
mod retry_budget;
mod retry_decision;
mod retry_pause;
mod route_map;
mod router;
mod router_objects;
mod routing_decision;
mod sample_shares;
mod server;
mod server_entry;
mod server_identifier;
mod server_learning;
mod server_paths;
mod server_standing;
mod service_pool;
mod settings;
mod stop_schedule;
mod store_health;
mod store_read;
mod warm_up_limiter;
mod weighted_split;
mod wire;

pub use config::{CallerLimits, Config, RouteKind, RouteSpec, ServiceSpec};
pub use counter::Counter;
pub use crash_detector::{Crash, CrashDetector};
pub use directory::{Directory, DirectoryChange};
pub use feed_publisher::FeedPublisher;
pub use granter_feed::{GranterFeed, ServerList, UpdateOutcome};
pub use header_fields::{AnswerFields, AttemptFields, HeaderAction, RequestFields};
pub use identified_servers::{IdentifiedServers, ServerChanges};
pub use learned_server_counts::LearnedServerCounts;
pub use live_routers::LiveRouters;
pub use load_report::LoadReport;
pub use mean_service_times::MeanServiceTimes;
pub use owner_map::{OwnerChanges, OwnerMap};
pub use peer_message::{
    ConfigPart, EndedHolds, FeedState, Heartbeat, IdentifiedServer, KeyCount, PeerMessage,
    RelayOrder, RelayedMessage, Report, ServerTiming, ServerUpdate, ServiceOwners, ServiceReport,
    Vouch,
};
pub use publish_plan::PublishPlan;
pub use rate_limit::{RateLimitNotice, RateLimitState};
pub use rate_limiter::{Permit, PermitRequest, RateLimiter};
pub use reassembly_buffer::ReassemblyBuffer;
pub use relay_plan::{Branch, Recipient, plan_relays};
pub use request_state::RequestState;
pub use retry_budget::RetryBudget;
pub use retry_decision::{AttemptResult, RetryDecision};
pub use retry_pause::{CallFailure, RetryPause};
pub use route_map::RouteMap;
pub use router::Router;
pub use router_objects::{HostRecord, object_key};
pub use routing_decision::{RoutingDecision, SelectedServer};
pub use server::Server;
pub use server_entry::{ServerEntry, ServerState};
pub use server_identifier::{ServerIdentifier, is_header_value};
pub use server_paths::{ServerPath, ServerPaths, ServerSpread};
pub use server_standing::{ServerAccess, ServerNotice, ServerProcess, ServerStatement};
pub use service_pool::ServicePool;
pub use settings::{PlatformBounds, QuotaBounds, RouterSettings};
pub use stop_schedule::{StopSchedule, StopStep};
pub use store_health::StoreHealth;
pub use store_read::StoreRead;
pub use warm_up_limiter::WarmUpLimiter;
pub use weighted_split::WeightedSplit;
pub use wire::{DocumentError, HttpCall, HttpMethod, ObjectPage, RouterWire};
