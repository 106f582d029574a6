//! The store comes back from a copy that is some seconds old. The system had just been started then.

#[path = "../common-2/lib.rs"]
mod lib;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{Router, Run, Server, ServerOptions, Store, finish, has_trouble, note, now_s, sleep_ms};

/// Keys that are watched and asked for.
const WATCHED: usize = 128;

/// Time for which two servers may hold a key together (rule OWNER).
const MAX_OVERLAP: f64 = 0.5;

/// Times for which the store is away, one for each round. Each round starts the system anew.
const AWAY_MS: [u64; 5] = [1_500, 2_500, 1_500, 2_500, 1_500];

/// Rounds without a drill, with `TROUBLE=0`.
const CALM_ROUNDS: usize = 2;

fn main() {
    let rounds = if has_trouble() { AWAY_MS.len() } else { CALM_ROUNDS };
    let mut texts = Vec::new();
    for (round, away_ms) in AWAY_MS.into_iter().enumerate().take(rounds) {
        let (is_broken, text) = play(round, away_ms);
        if is_broken {
            finish(Vec::new(), 1, &format!("OWNER broken in round {}: {text}", round + 1));
        }
        texts.push(text);
    }
    finish(Vec::new(), 0, &format!("OWNER held in {} rounds: {}", texts.len(), texts.join("; ")));
}

/// Starts the system, plays one drill and ends the system; returns whether the rule was broken, and what
/// was seen.
fn play(round: usize, away_ms: u64) -> (bool, String) {
    note(format!("round {}", round + 1));
    let (store, links) = Store::start(4, 1);
    store.write("config", "main", Some(lib::keyed_config(7)));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let options =
        ServerOptions { work: Duration::from_millis(60), late_copy_share: 0.0, is_keyed: true };
    let start = |id: &str, zone: &str| {
        let server = Server::start(id, options, Arc::clone(&runs));
        server.register(&store, "tagboard", zone);
        server
    };
    let mut servers = vec![start("i-a1", "a"), start("i-b1", "b")];
    // The copy of the drill: from the time at which the system starts.
    let copy = store.copy();
    let copied_at = now_s();
    note("the copy of the drill is taken");
    let mut routers: Vec<Router> = links
        .iter()
        .enumerate()
        .map(|(i, link)| {
            Router::start(4 * round + i, &format!("edge-{i}"), ["a", "b", "a", "b"][i], *link)
        })
        .collect();
    if !lib::wait_until_ready(&routers, 10) {
        finish(routers, 2, "the routers did not become ready");
    }
    // Empty servers are added (planned work).
    sleep_ms(1_000);
    servers.push(start("i-a2", "a"));
    servers.push(start("i-b2", "b"));
    let servers = Arc::new(servers);
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for client in 0..12_usize {
        let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
        let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
        threads.push(thread::spawn(move || {
            let mut sent = 0_usize;
            while !stop.load(Ordering::SeqCst) {
                let key = (client * 7 + sent * 11) % WATCHED * (65_536 / WATCHED);
                let id = format!("r-{round}-{client}-{sent}");
                let front = fronts[(client + sent) % fronts.len()];
                let status = lib::request_key(front, &id, key);
                note(format!("client {client} got {status:?} for {id} on key {key}"));
                if status == Some(200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                sent += 1;
                sleep_ms(15);
            }
        }));
    }
    // Watches who holds the keys.
    let overlaps: Arc<Mutex<Vec<Overlap>>> = Arc::default();
    {
        let (servers, stop, overlaps) =
            (Arc::clone(&servers), Arc::clone(&stop), Arc::clone(&overlaps));
        threads.push(thread::spawn(move || watch_holders(&servers, &stop, &overlaps)));
    }
    sleep_ms(3_500);
    if has_trouble() {
        note("the drill begins: the store is away");
        store.set_down(true);
        sleep_ms(away_ms);
        store.restore(&copy);
        store.set_down(false);
        note(format!("the store is back from a copy that is {:.1} s old", now_s() - copied_at));
    }
    sleep_ms(7_500);
    stop.store(true, Ordering::SeqCst);
    for each in threads {
        let _ = each.join();
    }
    let served = served.load(Ordering::SeqCst);
    note(format!("{served} requests served"));
    if served < 100 {
        finish(routers, 2, "too few requests were served");
    }
    routers.iter_mut().for_each(Router::kill);
    let overlaps = overlaps.lock().unwrap();
    let longest = overlaps.iter().map(|each| each.end - each.begin).fold(0.0, f64::max);
    // Both servers begin requests on a key in the time in which both hold it.
    let runs = runs.lock().unwrap();
    let has_run = |server: &str, overlap: &Overlap| {
        runs.iter().any(|run| {
            run.server == server
                && run.key == overlap.key
                && run.begin >= overlap.begin
                && run.begin <= overlap.end
        })
    };
    let both =
        overlaps.iter().filter(|each| has_run(&each.first, each) && has_run(&each.second, each));
    let both = both.count();
    let long = overlaps.iter().filter(|each| each.end - each.begin > MAX_OVERLAP).count();
    let text = format!(
        "{long} times two servers held one of {WATCHED} watched keys for over {MAX_OVERLAP} s, \
         the longest {longest:.2} s; {both} times both began requests on it"
    );
    note(&text);
    (long > 0 || both > 0, text)
}

/// A time in which two servers held a key.
#[derive(Clone)]
struct Overlap {
    key: usize,
    first: String,
    second: String,
    begin: f64,
    end: f64,
}

fn watch_holders(servers: &[Server], stop: &AtomicBool, found: &Mutex<Vec<Overlap>>) {
    let mut open: BTreeMap<(usize, usize, usize), Overlap> = BTreeMap::new();
    while !stop.load(Ordering::SeqCst) {
        let started = Instant::now();
        for index in 0..WATCHED {
            let key = index * (65_536 / WATCHED);
            for a in 0..servers.len() {
                for b in a + 1..servers.len() {
                    let at = now_s();
                    if servers[a].holds(key) && servers[b].holds(key) {
                        let overlap = open.entry((key, a, b)).or_insert_with(|| {
                            if index % 16 == 0 {
                                note(format!(
                                    "{} and {} both hold key {key}",
                                    servers[a].id, servers[b].id
                                ));
                            }
                            Overlap {
                                key,
                                first: servers[a].id.clone(),
                                second: servers[b].id.clone(),
                                begin: at,
                                end: at,
                            }
                        });
                        overlap.end = at;
                    } else if let Some(overlap) = open.remove(&(key, a, b)) {
                        if index % 16 == 0 {
                            note(format!(
                                "{} and {} no longer both hold key {key}: {:.2} s",
                                servers[a].id,
                                servers[b].id,
                                overlap.end - overlap.begin
                            ));
                        }
                        found.lock().unwrap().push(overlap);
                    }
                }
            }
        }
        thread::sleep(Duration::from_millis(20).saturating_sub(started.elapsed()));
    }
    found.lock().unwrap().extend(open.into_values());
}
