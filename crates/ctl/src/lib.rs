//! The command-line tool `bayctl`, with which operators edit stored objects and read the status.

mod apply;
mod command;
mod conditional_write;
mod ctl_error;
mod object_text;
mod run;
mod show;
mod status;
mod store_calls;

pub use apply::{
    apply_document, apply_document_at_version, delete_document, set_zone, set_zone_at_version,
};
pub use conditional_write::{ConditionalWrite, ExpectedVersion, WriteAction, WriteOutcome};
pub use ctl_error::CtlError;
pub use run::run;
pub use show::{list_objects, show_object};
pub use status::{fetch_status, format_status, is_in_force_everywhere};
