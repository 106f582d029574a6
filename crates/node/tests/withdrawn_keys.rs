//! A withdrawn API key is refused, and keys are revealed to nobody.

mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, StoreFront, config, read_request, request_status, server_entry, start_router,
};
use serde_json::{Value, json};

const BOUNDS: &[&str] = &["grace=2s", "revoke=2s", "revoke-strict=true"];

/// Requests by which a router has to give the expected answer.
const MAX_TRIES: usize = 400;

/// Pause between two of them.
const TRY_INTERVAL: Duration = Duration::from_millis(25);

/// Keys of the run.
const FIRST_KEY: &str = "first-key-5f1c";
const SECOND_KEY: &str = "second-key-9ab2";

/// Everything that the routers of the process have logged.
static LOG: Mutex<String> = Mutex::new(String::new());

struct LogCollector;

impl log::Log for LogCollector {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        struct Values<'a>(&'a mut String);
        impl<'kvs> log::kv::VisitSource<'kvs> for Values<'_> {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                self.0.push_str(&format!(" {key}={value}"));
                Ok(())
            }
        }
        let mut log = LOG.lock().unwrap();
        log.push_str(&record.args().to_string());
        record.key_values().visit(&mut Values(&mut log)).unwrap();
        log.push('\n');
    }

    fn flush(&self) {}
}

/// Headers of the requests that the server got.
type Received = Arc<Mutex<Vec<String>>>;

/// Starts a server that keeps the headers of its requests.
fn start_recording_server() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received = Received::default();
    let shared = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = Arc::clone(&shared);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_request(&mut reader) {
                    let headers =
                        request.headers.iter().map(|(name, value)| format!("{name}: {value}"));
                    received.lock().unwrap().push(headers.collect::<Vec<_>>().join("\n"));
                    let response = "HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n\
                                    Instance-Load: 1,0,4\r\nContent-Length: 0\r\n\r\n";
                    (&stream).write_all(response.as_bytes()).unwrap();
                }
            });
        }
    });
    (address, received)
}

/// A configuration with the route `/read/`, and `/open/` for requests without a key.
fn account_config(version: &str, keys: &[&str]) -> Value {
    let mut config = config("2s", &[("/read/", "safe", "pool"), ("/open/", "safe", "pool")]);
    config["version"] = version.into();
    config["routes"]["columns"].as_array_mut().unwrap().push(json!("auth-exempt"));
    for (row, is_exempt) in
        config["routes"]["rows"].as_array_mut().unwrap().iter_mut().zip([false, true])
    {
        row.as_array_mut().unwrap().push(json!(is_exempt));
    }
    config["tenants"] = json!({
        "columns": ["name", "api-keys", "priority", "rate-per-s", "burst"],
        "rows": [["acme", keys, 0, 0, 0]],
    });
    config
}

/// Sends a request with a key and a forged name of an account; returns the whole response.
fn exchange(address: SocketAddr, path: &str, key: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nKey: {key}\r\nTenant-Id: forged\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

fn status(response: &str) -> u16 {
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

fn metrics(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: router\r\n\r\n").unwrap();
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    // The last metric tells the end of the text.
    lines.take_while(|line| !line.starts_with("buffers_peak_bytes")).collect::<Vec<_>>().join("\n")
}

/// Guards against a withdrawn key that goes on working, also where the store is out of reach, and against
/// keys in what a router sends or writes.
#[test]
fn a_withdrawn_key_is_refused_and_no_key_is_revealed() {
    log::set_logger(&LogCollector).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let (server, received) = start_recording_server();
    let (store, _) = FakeStore::start();
    let (front, address) = StoreFront::start(&store);
    store.write("config/main", Some(account_config("r1", &[FIRST_KEY, SECOND_KEY])));
    store.write("servers/i-1", Some(server_entry("pool", server, 4)));
    let router = start_router("h1", address, BOUNDS);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    let mut responses = Vec::new();
    let mut send = |path: &str, key: &str| {
        let response = exchange(router.listen, path, key);
        let status = status(&response);
        responses.push(response);
        status
    };
    let tries = |expected: u16, send: &mut dyn FnMut() -> u16| {
        (0..MAX_TRIES).any(|_| {
            thread::sleep(TRY_INTERVAL);
            send() == expected
        })
    };
    assert!(tries(200, &mut || send("/read/x", FIRST_KEY)));
    assert_eq!(send("/read/x", "unknown-key"), 401);

    store.write("config/main", Some(account_config("r2", &[SECOND_KEY])));
    assert!(tries(401, &mut || send("/read/x", FIRST_KEY)), "the withdrawn key works");
    let count = received.lock().unwrap().len();
    for _ in 0..5 {
        assert_eq!(send("/read/x", FIRST_KEY), 401);
    }
    assert_eq!(received.lock().unwrap().len(), count, "requests with the withdrawn key have run");
    assert_eq!(send("/read/x", SECOND_KEY), 200);

    // The router cannot learn that the second key is withdrawn, too.
    front.hold();
    store.write("config/main", Some(account_config("r3", &[])));
    assert!(tries(503, &mut || send("/read/x", SECOND_KEY)), "the key is used without a proof");
    assert_eq!(send("/open/x", SECOND_KEY), 200, "a route without keys is served");
    let metrics = metrics(router.metrics);
    assert!(metrics.contains("keys_proof_age_ms ") && metrics.contains("refused_keys_outdated "));
    front.release();
    assert!(tries(401, &mut || send("/read/x", SECOND_KEY)), "no proof after the outage");

    for headers in received.lock().unwrap().iter() {
        assert!(!headers.contains("forged") && !headers.contains("\nkey:"), "{headers}");
        assert!(headers.contains("tenant-id: acme") || !headers.contains("tenant-id"), "{headers}");
    }
    let log = LOG.lock().unwrap();
    assert!(log.contains("account=acme") && log.contains("unknown-api-key"), "the log is complete");
    let emitted = [metrics, responses.concat(), received.lock().unwrap().concat(), log.clone()];
    for text in &emitted {
        for key in [FIRST_KEY, SECOND_KEY, "unknown-key"] {
            assert!(!text.contains(key), "{key} is revealed");
        }
    }
}

/// Time after which no read of the store from before it is a proof.
const LONGER_THAN_BOUND: Duration = Duration::from_secs(3);

/// Guards against a follower that needs the store although the granter vouches, and against one that
/// uses keys when neither is left.
#[test]
fn a_follower_uses_keys_while_the_granter_vouches_for_them() {
    let (server, _received) = start_recording_server();
    let (store, _) = FakeStore::start();
    store.write("config/main", Some(account_config("r1", &[FIRST_KEY])));
    store.write("servers/i-1", Some(server_entry("pool", server, 4)));
    let [(granter, granter_front), (follower, follower_front)] = ["h1", "h2"].map(|host| {
        let (front, address) = StoreFront::start(&store);
        let router = start_router(host, address, BOUNDS);
        while request_status(router.ready, "GET", "/api/ready") != 200 {}
        (router, front)
    });
    let serves = |address: SocketAddr, expected: u16| {
        (0..MAX_TRIES).any(|_| {
            thread::sleep(TRY_INTERVAL);
            status(&exchange(address, "/read/x", FIRST_KEY)) == expected
        })
    };
    assert!(serves(granter.listen, 200) && serves(follower.listen, 200));
    follower_front.hold();
    thread::sleep(LONGER_THAN_BOUND);
    assert!(serves(follower.listen, 200), "only the granter can have vouched");
    granter_front.hold();
    assert!(serves(granter.listen, 503) && serves(follower.listen, 503));
    granter_front.release();
    assert!(serves(follower.listen, 200));
}
