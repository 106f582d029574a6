//! The `bayctl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bay_ctl::run(std::env::args().skip(1))
}
