//! Starts the binaries and the stand-ins as separate processes.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A child process that is killed when the test ends.
pub struct Process(Child);

impl Process {
    /// Kills the process, as the loss of its host would.
    pub fn kill(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a loopback address that depends on the process id, so that concurrent test runs do not
/// collide.
pub fn address(host: u8, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 128, pid as u8, host);
    SocketAddr::from((ip, port))
}

/// Returns the path of a binary, or of an example such as `examples/store`.
pub fn binary(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_dragonflybay")).parent().unwrap();
    let path = folder.join(name);
    assert!(
        path.exists(),
        "expected {name}; run `cargo build --workspace --bins --examples` first"
    );
    path
}

/// Starts a binary.
pub fn start(name: &str, args: &[&str]) -> Process {
    let mut command = Command::new(binary(name));
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::null());
    Process(command.spawn().unwrap())
}

/// Starts a router with a file of settings.
pub fn start_router(settings: &Path) -> Process {
    let mut command = Command::new(binary("dragonflybay"));
    command.arg("router").env("DRAGONFLYBAY_CONFIG", settings);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    Process(command.spawn().unwrap())
}

/// Starts a stand-in and waits until it reports that it listens.
pub fn start_stand_in(name: &str, args: &[&str]) -> Process {
    let mut process = start(name, args);
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    assert!(line.contains("listens on"), "{name} printed {line:?}");
    process
}

/// Sends a GET request. Reads until the body ends with a line feed, as the bodies of stand-ins do.
fn get(gate: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(gate).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: jobs.example\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = vec![0; 4_096];
    let mut filled = 0;
    while !String::from_utf8_lossy(&response[..filled]).contains("\n\n") && filled < response.len()
    {
        match stream.read(&mut response[filled..]).ok()? {
            0 => break,
            read => filled += read,
        }
        let text = String::from_utf8_lossy(&response[..filled]);
        if text.contains("\r\n\r\n") && text.ends_with('\n') && !text.ends_with("\r\n\r\n") {
            break;
        }
    }
    Some(String::from_utf8_lossy(&response[..filled]).into_owned())
}

/// Repeats a request until the response starts with `expected`. The only bound is the timeout of
/// the test runner.
pub fn get_until(gate: SocketAddr, path: &str, expected: &str) -> String {
    loop {
        match get(gate, path) {
            Some(response) if response.starts_with(expected) => return response,
            _ => std::thread::sleep(Duration::from_millis(50)),
        }
    }
}
