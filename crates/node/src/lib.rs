//! Async I/O shells of the gate, the router and the steward: sockets, timers, tasks and signals.
//!
//! The state machines in the other crates do no I/O themselves.

mod command_line;
mod gate_shell;
mod http1;
mod http_head;
mod order_client;
mod refusal;
mod router_shell;
mod sealed_link;
mod shell_error;
mod startup;
mod steward_admin;
mod steward_connections;
mod steward_link;
mod steward_shell;
mod timeout;
mod wall_clock;

pub use command_line::{Command, CommandError, parse_command};
pub use gate_shell::{GateAddresses, GateShell, HttpLimits};
pub use router_shell::RouterShell;
pub use shell_error::ShellError;
pub use startup::run;
pub use steward_shell::StewardShell;
