use std::net::SocketAddr;

use bay_conf::{ZoneDoc, ZoneState};
use bay_store::ObjectKey;
use bay_types::{Revision, ServiceName, ZoneName};
use getopts::{Matches, Options};

use crate::ExpectedVersion;

/// Usage lines at the top of the help text.
pub(crate) const USAGE: &str = "\
Usage: bayctl check FILE
       bayctl --store IP:PORT [--expect N|none] apply FILE
       bayctl --store IP:PORT list
       bayctl --store IP:PORT show SERVICE
       bayctl --store IP:PORT show zone ZONE
       bayctl --store IP:PORT --expect N delete SERVICE
       bayctl --store IP:PORT --operator NAME [--expect N|none] zone out|in ZONE
       bayctl --steward IP:PORT [--json] status";

/// A parsed command line.
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

/// Returns the options that the command line accepts.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "store", "address of the platform's store", "IP:PORT");
    options.optopt("", "steward", "admin address of any steward", "IP:PORT");
    options.optopt("", "operator", "operator who changes a zone", "NAME");
    options.optopt("", "expect", "version to replace, or none for a new object", "N|none");
    options.optflag("", "check", "check the document without storing it");
    options.optflag("", "raw", "show the object exactly as it is stored");
    options.optflag("", "json", "print the status as JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

impl Command {
    /// Parses the command line.
    ///
    /// # Errors
    /// Returns a message that says what was expected.
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
                let expected = parse_expected_version(&matches, ExpectedVersion::Unspecified)?;
                let (store, file) = (parse_address(&matches, "store")?, (*file).to_owned());
                Ok(Command::Apply { store, file, expected })
            }
            ["list"] => Ok(Command::List { store: parse_address(&matches, "store")? }),
            ["show", name] => {
                Command::parse_show(&matches, ObjectKey::service(parse_service_name(name)?))
            }
            ["show", "zone", name] => {
                Command::parse_show(&matches, ObjectKey::zone(parse_zone_name(name)?))
            }
            ["delete", name] => {
                let expected = parse_expected_version(&matches, ExpectedVersion::Unspecified)?;
                let (store, service) =
                    (parse_address(&matches, "store")?, parse_service_name(name)?);
                Ok(Command::Delete { store, service, expected })
            }
            ["zone", "in", name] => Command::parse_zone(&matches, name, ZoneState::In),
            ["zone", "out", name] => Command::parse_zone(&matches, name, ZoneState::Out),
            ["status"] => {
                let json = matches.opt_present("json");
                Ok(Command::Status { steward: parse_address(&matches, "steward")?, json })
            }
            _ => Err(String::from(
                "expected `check`, `apply`, `list`, `show`, `delete`, `zone` or `status`",
            )),
        }
    }

    fn parse_show(matches: &Matches, key: ObjectKey) -> Result<Command, String> {
        let raw = matches.opt_present("raw");
        Ok(Command::Show { store: parse_address(matches, "store")?, key, raw })
    }

    fn parse_zone(matches: &Matches, name: &str, state: ZoneState) -> Result<Command, String> {
        let store = parse_address(matches, "store")?;
        let operator = matches.opt_str("operator").filter(|operator| !operator.trim().is_empty());
        let operator = operator.ok_or("expected --operator NAME")?;
        let doc = ZoneDoc { zone: parse_zone_name(name)?, state, operator };
        Ok(Command::Zone {
            store,
            doc,
            expected: parse_expected_version(matches, ExpectedVersion::Current)?,
        })
    }
}

fn parse_address(matches: &Matches, option: &str) -> Result<SocketAddr, String> {
    let address = matches.opt_str(option).and_then(|text| text.parse().ok());
    address.ok_or_else(|| {
        format!("expected --{option} with an IP address and port such as 10.0.0.1:8080")
    })
}

fn parse_expected_version(
    matches: &Matches,
    default: ExpectedVersion,
) -> Result<ExpectedVersion, String> {
    match matches.opt_str("expect").as_deref() {
        None => Ok(default),
        Some("none") => Ok(ExpectedVersion::Absent),
        Some(text) => match text.parse() {
            Ok(number) => Ok(ExpectedVersion::Version(Revision(number))),
            Err(_) => Err(String::from("expected --expect with a version number or `none`")),
        },
    }
}

fn parse_service_name(name: &str) -> Result<ServiceName, String> {
    ServiceName::new(name).map_err(|error| error.to_string())
}

fn parse_zone_name(name: &str) -> Result<ZoneName, String> {
    ZoneName::new(name).map_err(|error| error.to_string())
}
