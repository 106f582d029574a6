//! Runs the real binaries and the stand-ins as separate processes.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An address of this test run alone, so that runs side by side do not meet.
fn address(host: u8, port: u16) -> SocketAddr {
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid >> 8) as u8 % 128, pid as u8, host);
    SocketAddr::from((ip, port))
}

fn binary(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_dragonflybay")).parent().unwrap();
    let path = folder.join(name);
    assert!(
        path.exists(),
        "expected {name}; run `cargo build --workspace --bins --examples` first"
    );
    path
}

fn start(name: &str, args: &[&str]) -> Process {
    let mut command = Command::new(binary(name));
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::null());
    Process(command.spawn().unwrap())
}

fn start_stand_in(name: &str, args: &[&str]) -> Process {
    let mut process = start(name, args);
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    assert!(line.contains("listens on"), "{name} said {line:?}");
    process
}

fn settings(folder: &Path) -> PathBuf {
    let key = folder.join("cluster.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    let text = format!(
        "[node]\nhost = entry-1\nzone = north\nkey_file = {}\n[store]\naddress = {}\n\
         [gate]\nlisten = {}\nadmin = {}\npeer = {}\nstewards = {}\ndrain = 100 ms\n\
         [steward]\nlisten = {}\nadmin = {}\n",
        key.display(),
        address(1, 7400),
        address(2, 8080),
        address(2, 8081),
        address(2, 8082),
        address(2, 8090),
        address(2, 8090),
        address(2, 8091),
    );
    let path = folder.join("settings.ini");
    fs::write(&path, text).unwrap();
    path
}

fn document(folder: &Path) -> PathBuf {
    let text = format!(
        "[service]\nname = jobs\nhosts = jobs.example\nkind = keyed\n\
         [keys]\npath = /jobs/{{key}}\nslices = 64\nfenced = yes\n\
         [limits]\nslots = 4\nconnections = 110\n\
         [server one]\naddress = {}\nzone = south\n[server two]\naddress = {}\nzone = peel\n",
        address(3, 7501),
        address(4, 7502),
    );
    let path = folder.join("jobs.ini");
    fs::write(&path, text).unwrap();
    path
}

fn get(path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address(2, 8080)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: jobs.example\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = vec![0; 4_096];
    let mut filled = 0;
    while !String::from_utf8_lossy(&answer[..filled]).contains("\n\n") && filled < answer.len() {
        match stream.read(&mut answer[filled..]).ok()? {
            0 => break,
            read => filled += read,
        }
        let text = String::from_utf8_lossy(&answer[..filled]);
        if text.contains("\r\n\r\n") && text.ends_with('\n') && !text.ends_with("\r\n\r\n") {
            break;
        }
    }
    Some(String::from_utf8_lossy(&answer[..filled]).into_owned())
}

/// Asks until the answer is as expected; the only bound is the test runner's patience.
fn get_until(path: &str, expected: &str) -> String {
    loop {
        match get(path) {
            Some(answer) if answer.starts_with(expected) => return answer,
            _ => std::thread::sleep(Duration::from_millis(50)),
        }
    }
}

#[test]
fn a_request_is_served_from_one_end_to_the_other() {
    let folder = std::env::temp_dir().join(format!("dragonflybay-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let settings = settings(&folder);
    let document = document(&folder);
    let listen = |host, port| address(host, port).to_string();

    let _store = start_stand_in("examples/store", &["--listen", &listen(1, 7400)]);
    let _one = start_stand_in("examples/target", &["--listen", &listen(3, 7501), "--owner"]);
    let _two = start_stand_in("examples/target", &["--listen", &listen(4, 7502), "--owner"]);
    let settings = settings.to_str().unwrap();
    let _steward = start("dragonflybay", &["steward", "--settings", settings]);
    let _gate = start("dragonflybay", &["gate", "--settings", settings]);

    let store = listen(1, 7400);
    let apply = ["--store", &store, "apply", document.to_str().unwrap()];
    let applied = Command::new(binary("bayctl")).args(apply).output().unwrap();
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));

    for job in 0..20 {
        let answer = get_until(&format!("/jobs/{job}"), "HTTP/1.1 200");
        assert!(answer.contains("bay-outcome: done"), "{answer}");
        assert!(answer.contains(&format!("GET /jobs/{job} 0")), "{answer}");
    }
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_files_of_the_first_service_have_no_mistakes() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let check = |program: &str, args: &[&str]| {
        let output = Command::new(binary(program)).args(args).current_dir(&root).output().unwrap();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    };
    let folder = "docs/first-service";
    check("dragonflybay", &["gate", "--check", "--settings", &format!("{folder}/settings.ini")]);
    check("bayctl", &["apply", "--check", &format!("{folder}/jobs.ini")]);
}
