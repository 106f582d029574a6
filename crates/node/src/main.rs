//! The `dragonflybay` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bay_node::run(std::env::args().skip(1))
}
