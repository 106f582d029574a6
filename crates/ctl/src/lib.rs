//! The operators' tool.

mod apply;
mod command;
mod ctl_error;
mod object_text;
mod perform;
mod run;
mod show;
mod status;
mod write;

pub use apply::{apply_document, apply_over, delete_document, set_zone, set_zone_over};
pub use ctl_error::CtlError;
pub use run::run;
pub use show::{list, show};
pub use status::{fetch_status, in_force_everywhere, status_text};
pub use write::{Expected, Next, Write, Written};
