//! Runs the `bayctl` binary against a store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::Arc;

use async_executor::Executor;
use bay_fakes::StoreServer;
use futures_lite::future;
use test_case::test_case;

const DOCUMENT: &str = "\
[service]
name = jobs
hosts = jobs.example
kind = pooled

[limits]
slots = 4
connections = 110

[server one]
address = 127.0.0.1:7501
zone = peel
";

/// Starts an empty store that serves until the test process ends.
fn start_store() -> SocketAddr {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = future::block_on(StoreServer::bind(listen)).unwrap();
    let address = server.address().unwrap();
    std::thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        future::block_on(executor.run(server.serve(Arc::clone(&executor))));
    });
    address
}

fn bayctl(store: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bayctl"));
    command.arg("--store").arg(store.to_string()).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[test_case(&[]; "no arguments")]
#[test_case(&["frobnicate"]; "an unknown command")]
#[test_case(&["--store", "here", "list"]; "an invalid store address")]
#[test_case(&["--store", "127.0.0.1:1", "--expect", "x", "apply", "f"]; "an invalid version")]
#[test_case(&["--store", "127.0.0.1:1", "zone", "out", "peel"]; "no operator")]
#[test_case(&["--store", "127.0.0.1:1", "--operator", "ann", "zone", "out", "Peel"]; "an invalid zone name")]
fn an_invalid_command_line_exits_with_2(args: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_bayctl")).args(args).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    assert!(text(&output.stderr).contains("expected"), "{}", text(&output.stderr));
}

#[test]
fn a_document_can_be_applied_shown_edited_and_deleted() {
    let store = start_store();
    let path = write_file("whole.ini", DOCUMENT);
    let path = path.to_str().unwrap();
    assert!(bayctl(store, &["apply", path]).status.success());
    let shown = text(&bayctl(store, &["show", "jobs"]).stdout);
    assert_eq!(shown, format!("; version 1\n{DOCUMENT}"));

    let edited = write_file("edited.ini", &shown.replace("slots = 4", "slots = 5"));
    let edited = edited.to_str().unwrap();
    assert!(bayctl(store, &["apply", edited]).status.success());
    let stale = bayctl(store, &["apply", path]);
    assert_eq!(stale.status.code(), Some(1));
    assert!(text(&stale.stderr).contains("--expect 2"), "{}", text(&stale.stderr));
    let conflict = bayctl(store, &["--expect", "1", "apply", path]);
    assert_eq!(conflict.status.code(), Some(1));
    let message = text(&conflict.stderr);
    assert!(
        message.contains("conflict with another write: read version 1, current version 2"),
        "{message}"
    );
    assert!(message.contains("slots = 5"), "{message}");

    assert_eq!(text(&bayctl(store, &["list"]).stdout), "service/jobs version 2\n");
    assert_eq!(bayctl(store, &["delete", "jobs"]).status.code(), Some(1));
    assert!(bayctl(store, &["--expect", "2", "delete", "jobs"]).status.success());
    assert_eq!(bayctl(store, &["show", "jobs"]).status.code(), Some(1));
}

#[test]
fn an_invalid_document_is_not_applied() {
    let store = start_store();
    let path = write_file("mistakes.ini", &DOCUMENT.replace("slots = 4", "slots = many"));
    let output = bayctl(store, &["apply", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("mistakes.ini:7: limits.slots"), "{output:?}");
    assert!(bayctl(store, &["list"]).stdout.trim_ascii().is_empty());
}

#[test]
fn a_document_that_changes_the_number_of_slices_is_rejected() {
    let store = start_store();
    let keyed = |slices: u32| {
        let keys =
            format!("kind = keyed\n\n[keys]\nheader = x-job\nslices = {slices}\nfenced = yes\n");
        DOCUMENT.replace("kind = pooled\n", &keys)
    };
    let first = write_file("slices-64.ini", &keyed(64));
    assert!(bayctl(store, &["apply", first.to_str().unwrap()]).status.success());
    let other = write_file("slices-128.ini", &keyed(128));
    let rejected = bayctl(store, &["--expect", "1", "apply", other.to_str().unwrap()]);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(text(&rejected.stderr).contains("cannot change the number of slices from 64 to 128"));
    let shown = text(&bayctl(store, &["show", "jobs"]).stdout);
    assert!(shown.starts_with("; version 1\n"), "{shown}");
}

#[test]
fn an_unknown_zone_is_rejected() {
    let store = start_store();
    let path = write_file("zones.ini", DOCUMENT);
    assert!(bayctl(store, &["apply", path.to_str().unwrap()]).status.success());
    let mistyped = bayctl(store, &["--operator", "ann", "zone", "out", "pele"]);
    assert_eq!(mistyped.status.code(), Some(1));
    assert!(
        text(&mistyped.stderr)
            .contains("pele: no host or server is in this zone; known zones: peel"),
        "{mistyped:?}"
    );
    assert!(bayctl(store, &["--operator", "ann", "zone", "out", "peel"]).status.success());
    let shown = text(&bayctl(store, &["show", "zone", "peel"]).stdout);
    assert!(shown.contains("state = out"), "{shown}");
}

#[test]
fn an_unreachable_store_is_reported_on_stderr() {
    let output = bayctl(SocketAddr::from(([127, 0, 0, 1], 1)), &["list"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    assert!(text(&output.stderr).contains("check its address"), "{output:?}");
}
