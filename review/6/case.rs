//! A server sends the answer to a grant a second time, late, where the router expects the answer to
//! the release that follows on the connection.

#[path = "../common-2/lib.rs"]
mod lib;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lib::{Json, Router, Server, ServerOptions, Store, finish, has_trouble, note, now_s, sleep_ms};

/// Largest share of a server's answers that are sent a second time.
const LATE_COPY_SHARE: f64 = 0.03;

fn main() {
    let share = if has_trouble() { LATE_COPY_SHARE } else { 0.0 };
    let (store, links) = Store::start(3, 1);
    store.write("config", "main", Some(lib::keyed_config(7)));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let options = ServerOptions {
        work: Duration::from_millis(1_200),
        late_copy_share: share,
        is_keyed: true,
    };
    let servers: Vec<Server> = ["i-a1", "i-a2", "i-b1", "i-b2"]
        .iter()
        .map(|id| Server::start(id, options, Arc::clone(&runs)))
        .collect();
    for (server, zone) in servers.iter().zip(["a", "a", "b", "b"]) {
        server.set_others(&servers);
        server.register(&store, "tagboard", zone);
    }
    let routers: Vec<Router> = links
        .iter()
        .enumerate()
        .map(|(i, link)| Router::start(i, &format!("edge-{i}"), ["a", "b", "a"][i], *link))
        .collect();
    if !lib::wait_until_ready(&routers, 10) {
        finish(routers, 2, "the routers did not become ready");
    }
    // Clients look up keys all the time; each request takes a server 1.2 s.
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for client in 0..8_usize {
        let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
        let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
        clients.push(thread::spawn(move || {
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                let key = (client * 8_192 + sent * 1_021) % 65_536;
                let id = format!("r-{client}-{sent}");
                let status = lib::request_key(fronts[(client + sent) % fronts.len()], &id, key);
                note(format!("client {client} got {status:?} for {id} on key {key}"));
                if status == Some(200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                sent += 1;
                sleep_ms(20);
            }
        }));
    }
    sleep_ms(8_000);
    // Planned work: the operator empties one zone after the other and takes it back.
    let clashes = || servers.iter().flat_map(Server::clashes).collect::<Vec<_>>();
    let mut zones = ["a", "b"].iter().cycle();
    while now_s() < 95.0 && clashes().is_empty() {
        let zone = zones.next().unwrap();
        note(format!("the operator empties zone {zone}"));
        store.write("evacuations", zone, Json::parse("{}"));
        sleep_ms(4_000);
        note(format!("the operator takes zone {zone} back"));
        store.write("evacuations", zone, None);
        sleep_ms(2_500);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let served = served.load(Ordering::SeqCst);
    let copies: u64 = servers.iter().map(Server::late_copies).sum();
    note(format!("{served} requests served, {copies} second copies sent"));
    if served < 20 {
        finish(routers, 2, "too few requests were served");
    }
    let found = clashes();
    match found.first() {
        Some(first) => {
            let text = format!("OWNER broken {} times; the first: {first}", found.len());
            finish(routers, 1, &text)
        }
        None => finish(routers, 0, "OWNER held"),
    }
}
