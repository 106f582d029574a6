//! The operators' tool.

mod apply;
mod ctl_error;
mod run;

pub use apply::{apply_document, set_zone};
pub use ctl_error::CtlError;
pub use run::run;
