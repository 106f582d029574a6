use std::fmt;

use getopts::Options;

/// Parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help(String),
    /// Prints the version.
    Version,
    /// Checks the settings and exits.
    Check {
        /// Path of the settings file.
        settings: String,
    },
    /// Runs a gate.
    Gate {
        /// Path of the settings file.
        settings: String,
    },
    /// Runs a router on the users' platform, which provides the path of its settings.
    Router,
    /// Runs a steward.
    Steward {
        /// Path of the settings file.
        settings: String,
    },
}

/// Error for an invalid command line, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError(pub String);

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; see --help", self.0)
    }
}

impl std::error::Error for CommandError {}

/// Parses the arguments that follow the program's name.
///
/// # Errors
/// Returns an error if an option, the subcommand or `--settings` is invalid or missing.
pub fn parse_command<I>(args: I) -> Result<Command, CommandError>
where
    I: IntoIterator<Item = String>,
{
    let mut options = Options::new();
    options.optopt("", "settings", "path of the settings file", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(args).map_err(|error| CommandError(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: dragonflybay gate|steward --settings FILE [--check]\n       dragonflybay router";
        return Ok(Command::Help(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let settings = matches.opt_str("settings");
    if settings.is_none() && matches.free == ["router"] {
        return Ok(Command::Router);
    }
    let settings = settings.ok_or_else(|| CommandError(String::from("missing --settings FILE")))?;
    let process = match matches.free.as_slice() {
        [process] => process.as_str(),
        _ => {
            return Err(CommandError(String::from("expected one subcommand, `gate` or `steward`")));
        }
    };
    match (process, matches.opt_present("check")) {
        ("gate" | "steward", true) => Ok(Command::Check { settings }),
        ("gate", false) => Ok(Command::Gate { settings }),
        ("steward", false) => Ok(Command::Steward { settings }),
        (other, _) => {
            Err(CommandError(format!("unknown subcommand `{other}`, expected `gate` or `steward`")))
        }
    }
}
