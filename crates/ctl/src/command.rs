use std::net::SocketAddr;

use bay_conf::{ZoneDoc, ZoneState};
use bay_store::ObjectKey;
use bay_types::{Revision, ServiceName, ZoneName};
use getopts::{Matches, Options};

use crate::ExpectedVersion;

/// The usage lines of the help.
pub(crate) const BRIEF: &str = "\
Usage: bayctl check FILE
       bayctl --store IP:PORT [--expect N|none] apply FILE
       bayctl --store IP:PORT list
       bayctl --store IP:PORT show SERVICE
       bayctl --store IP:PORT show zone ZONE
       bayctl --store IP:PORT --expect N delete SERVICE
       bayctl --store IP:PORT --operator NAME [--expect N|none] zone out|in ZONE
       bayctl --steward IP:PORT [--json] status";

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Command {
    Help,
    Version,
    Check { file: String },
    Apply { store: SocketAddr, file: String, expected: ExpectedVersion },
    List { store: SocketAddr },
    Show { store: SocketAddr, key: ObjectKey, raw: bool },
    Delete { store: SocketAddr, service: ServiceName, expected: ExpectedVersion },
    Zone { store: SocketAddr, doc: ZoneDoc, expected: ExpectedVersion },
    Status { steward: SocketAddr, json: bool },
}

/// The options of the command line.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "store", "where the platform's store listens", "IP:PORT");
    options.optopt("", "steward", "the admin address of any steward", "IP:PORT");
    options.optopt("", "operator", "who changes a zone", "NAME");
    options.optopt("", "expect", "the version to replace, or none", "N|none");
    options.optflag("", "check", "checks the document and ends");
    options.optflag("", "raw", "shows the object as it is stored");
    options.optflag("", "json", "prints the status as JSON");
    options.optflag("h", "help", "prints this help");
    options.optflag("V", "version", "prints the version");
    options
}

impl Command {
    /// Reads the command line.
    ///
    /// # Errors
    /// Returns what was expected.
    pub(crate) fn parse<I>(args: I) -> Result<Command, String>
    where
        I: IntoIterator<Item = String>,
    {
        let matches = options().parse(args).map_err(|error| error.to_string())?;
        if matches.opt_present("help") {
            return Ok(Command::Help);
        }
        if matches.opt_present("version") {
            return Ok(Command::Version);
        }
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        match free.as_slice() {
            ["check", file] => Ok(Command::Check { file: (*file).to_owned() }),
            ["apply", file] if matches.opt_present("check") => {
                Ok(Command::Check { file: (*file).to_owned() })
            }
            ["apply", file] => {
                let expected = expected(&matches, ExpectedVersion::Unspecified)?;
                let (store, file) = (address(&matches, "store")?, (*file).to_owned());
                Ok(Command::Apply { store, file, expected })
            }
            ["list"] => Ok(Command::List { store: address(&matches, "store")? }),
            ["show", name] => Command::show(&matches, ObjectKey::service(service(name)?)),
            ["show", "zone", name] => Command::show(&matches, ObjectKey::zone(zone(name)?)),
            ["delete", name] => {
                let expected = expected(&matches, ExpectedVersion::Unspecified)?;
                let (store, service) = (address(&matches, "store")?, service(name)?);
                Ok(Command::Delete { store, service, expected })
            }
            ["zone", "in", name] => Command::zone(&matches, name, ZoneState::In),
            ["zone", "out", name] => Command::zone(&matches, name, ZoneState::Out),
            ["status"] => {
                let json = matches.opt_present("json");
                Ok(Command::Status { steward: address(&matches, "steward")?, json })
            }
            _ => Err(String::from(
                "expected `check`, `apply`, `list`, `show`, `delete`, `zone` or `status`",
            )),
        }
    }

    fn show(matches: &Matches, key: ObjectKey) -> Result<Command, String> {
        let raw = matches.opt_present("raw");
        Ok(Command::Show { store: address(matches, "store")?, key, raw })
    }

    fn zone(matches: &Matches, name: &str, state: ZoneState) -> Result<Command, String> {
        let store = address(matches, "store")?;
        let operator = matches.opt_str("operator").filter(|operator| !operator.trim().is_empty());
        let operator = operator.ok_or("expected --operator NAME")?;
        let doc = ZoneDoc { zone: zone(name)?, state, operator };
        Ok(Command::Zone { store, doc, expected: expected(matches, ExpectedVersion::Current)? })
    }
}

fn address(matches: &Matches, option: &str) -> Result<SocketAddr, String> {
    let address = matches.opt_str(option).and_then(|text| text.parse().ok());
    address.ok_or_else(|| format!("expected --{option} with an IP address and port"))
}

fn expected(matches: &Matches, unstated: ExpectedVersion) -> Result<ExpectedVersion, String> {
    match matches.opt_str("expect").as_deref() {
        None => Ok(unstated),
        Some("none") => Ok(ExpectedVersion::Absent),
        Some(text) => match text.parse() {
            Ok(number) => Ok(ExpectedVersion::Version(Revision(number))),
            Err(_) => Err(String::from("expected --expect with a version's number or `none`")),
        },
    }
}

fn service(name: &str) -> Result<ServiceName, String> {
    ServiceName::new(name).map_err(|error| error.to_string())
}

fn zone(name: &str) -> Result<ZoneName, String> {
    ZoneName::new(name).map_err(|error| error.to_string())
}
