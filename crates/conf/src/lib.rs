//! Settings and service documents in INI.
//!
//! A file is checked completely: every error in it is reported at once.

mod cluster_key_file;
mod config_error;
mod document;
mod keyed_rules;
mod limits;
mod line_scan;
mod method;
mod request_rules;
mod section;
mod server_doc;
mod service_doc;
mod settings;
mod value;
mod zone_doc;

pub use cluster_key_file::{KeyFileError, read_cluster_secret};
pub use config_error::{ConfigError, ConfigErrors};
pub use document::Document;
pub use keyed_rules::{KeySource, KeyedRules};
pub use limits::Limits;
pub use method::Method;
pub use request_rules::RequestRules;
pub use section::Section;
pub use server_doc::ServerDoc;
pub use service_doc::{ServiceDoc, ServiceKind};
pub use settings::{GateSettings, LogLevel, Settings, StewardSettings};
pub use zone_doc::{ZoneDoc, ZoneState};
