//! Runs the binaries and the stand-ins as separate processes.

mod process;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use process::{address, binary, get_until, start, start_stand_in};

fn write_settings(folder: &Path) -> PathBuf {
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

fn write_document(folder: &Path) -> PathBuf {
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

#[test]
fn a_request_is_served_end_to_end() {
    let folder = std::env::temp_dir().join(format!("dragonflybay-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let settings = write_settings(&folder);
    let document = write_document(&folder);
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
        let response = get_until(address(2, 8080), &format!("/jobs/{job}"), "HTTP/1.1 200");
        assert!(response.contains("bay-outcome: done"), "{response}");
        assert!(response.contains(&format!("GET /jobs/{job} 0")), "{response}");
    }
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_example_files_of_the_first_service_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let check = |program: &str, args: &[&str]| {
        let output = Command::new(binary(program)).args(args).current_dir(&root).output().unwrap();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    };
    let folder = "docs/first-service";
    check("dragonflybay", &["gate", "--check", "--settings", &format!("{folder}/settings.ini")]);
    check("bayctl", &["apply", "--check", &format!("{folder}/jobs.ini")]);
}
