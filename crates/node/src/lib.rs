//! The async shell: moves bytes and time for the gate and the steward.

mod backend;
mod command_line;
mod framed;
mod gate_shell;
mod http1;
mod http_head;
mod refusal;
mod router_shell;
mod run;
mod shell_error;
mod steward_admin;
mod steward_connections;
mod steward_link;
mod steward_shell;
mod wall_clock;
mod within;

pub use command_line::{Command, CommandError, parse_command};
pub use gate_shell::{GateAddresses, GateShell, HttpLimits};
pub use router_shell::RouterShell;
pub use run::run;
pub use shell_error::ShellError;
pub use steward_shell::StewardShell;
