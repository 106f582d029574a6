//! Runs three hosts as separate processes and kills a server and a steward.

mod process;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use process::{Process, address, binary, get_until, start, start_stand_in};

const ZONES: [&str; 3] = ["north", "south", "peel"];
const KEY_COUNT: u32 = 24;

fn gate(host: u8) -> SocketAddr {
    address(10 + host, 8080)
}

fn steward(host: u8) -> SocketAddr {
    address(10 + host, 8090)
}

fn server(number: u8) -> SocketAddr {
    address(20 + number, 7500)
}

fn write_settings(folder: &Path, host: u8) -> String {
    let key = folder.join("cluster.key");
    fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    let zone = ZONES[usize::from(host)];
    let stewards = [host, (host + 1) % 3].map(|host| steward(host).to_string()).join(", ");
    let text = format!(
        "[node]\nhost = entry-{host}\nzone = {zone}\nkey_file = {}\n[store]\naddress = {}\n\
         [gate]\nlisten = {}\nadmin = {}\npeer = {}\nstewards = {stewards}\ndrain = 100 ms\n\
         [steward]\nlisten = {}\nadmin = {}\n",
        key.display(),
        address(1, 7400),
        gate(host),
        address(10 + host, 8081),
        address(10 + host, 8082),
        steward(host),
        address(10 + host, 8091),
    );
    let path = folder.join(format!("host-{host}.ini"));
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn apply_document(folder: &Path) {
    let mut text = String::from(
        "[service]\nname = jobs\nhosts = jobs.example\nkind = keyed\n\
         [keys]\npath = /jobs/{key}\nslices = 64\nfenced = yes\n\
         [limits]\nslots = 4\nconnections = 110\nwarmup = 1 s\n",
    );
    for number in 0..3_u8 {
        let zone = ZONES[usize::from(number)];
        text += &format!("[server s{number}]\naddress = {}\nzone = {zone}\n", server(number));
    }
    let path = folder.join("jobs.ini");
    fs::write(&path, text).unwrap();
    let store = address(1, 7400).to_string();
    let apply = ["--store", &store, "apply", path.to_str().unwrap()];
    let applied = Command::new(binary("bayctl")).args(apply).output().unwrap();
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
}

/// Waits until the gate of each host serves every key.
fn wait_until_every_key_is_served(hosts: &[u8]) {
    for host in hosts {
        for key in 0..KEY_COUNT {
            let path = format!("/jobs/{key}");
            let response = get_until(gate(*host), &path, "HTTP/1.1 200");
            assert!(response.contains("bay-outcome: done"), "{response}");
            assert!(response.contains(&format!("GET {path} 0")), "{response}");
        }
    }
}

#[test]
fn every_key_is_served_again_after_a_server_and_a_steward_are_killed() {
    let folder = std::env::temp_dir().join(format!("dragonflybay-loss-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mut args = vec![String::from("--listen"), address(1, 7400).to_string()];
    for host in 0..3_u8 {
        let zone = ZONES[usize::from(host)];
        args.extend([String::from("--host"), format!("entry-{host},{zone},{}", steward(host))]);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let _store = start_stand_in("examples/store", &args);
    let mut servers: Vec<Process> = (0..3)
        .map(|number| {
            let listen = server(number).to_string();
            start_stand_in("examples/target", &["--listen", &listen, "--owner"])
        })
        .collect();
    let settings = [0, 1, 2].map(|host| write_settings(&folder, host));
    let run = |role: &str, path: &String| start("dragonflybay", &[role, "--settings", path]);
    let mut stewards: Vec<Process> = settings.iter().map(|path| run("steward", path)).collect();
    let _gates: Vec<Process> = settings.iter().map(|path| run("gate", path)).collect();
    apply_document(&folder);
    wait_until_every_key_is_served(&[0, 1, 2]);

    servers[1].kill();
    wait_until_every_key_is_served(&[0, 1, 2]);

    stewards[0].kill();
    wait_until_every_key_is_served(&[0, 1, 2]);
    stewards[0] = run("steward", &settings[0]);
    wait_until_every_key_is_served(&[0, 1, 2]);
    fs::remove_dir_all(&folder).unwrap();
}
