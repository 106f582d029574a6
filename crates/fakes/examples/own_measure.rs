//! Measures slice ownership on virtual time; equal seeds give equal figures.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bay_conf::ZoneState;
use bay_fakes::ownership_sim::{OwnershipSim, StoreMode};
use bay_own::rendezvous_owner;
use bay_types::{ServerName, ServiceName, SliceId, ZoneName};

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 20;
const SLICES: u32 = 1_024;

/// Owner of each slice.
type Owners = BTreeMap<SliceId, ServerName>;

/// Size of a simulated platform.
#[derive(Debug, Clone, Copy)]
struct Size {
    stewards: usize,
    zones: usize,
    services: usize,
    servers: usize,
    slices: u32,
}

const SITE: Size = Size { stewards: 9, zones: 4, services: 1, servers: 17, slices: SLICES };

fn main() {
    server_loss();
    steward_loss();
    store_outage();
    zone_leaves_and_returns();
    churn();
    for size in [
        Size { stewards: 9, zones: 4, services: 1, servers: 17, slices: 256 },
        Size { stewards: 100, zones: 4, services: 3, servers: 40, slices: 256 },
        Size { stewards: 300, zones: 8, services: 6, servers: 60, slices: 256 },
        Size { stewards: 780, zones: 8, services: 12, servers: 80, slices: 256 },
    ] {
        control_cost(size);
    }
}

fn zone(index: usize) -> String {
    format!("z{index}")
}

fn document(size: Size, service: usize, servers: usize) -> String {
    let mut text = format!(
        "[service]\nname = svc{service}\nhosts = svc{service}.example\nkind = keyed\n\
         [keys]\nheader = x-key\nslices = {}\nfenced = yes\n\
         [limits]\nslots = 4\nconnections = 110\n",
        size.slices
    );
    for index in 0..servers {
        let zone = zone(index % size.zones);
        let address = format!("10.{service}.{}.{}:80", index / 200, index % 200);
        let _ = write!(text, "[server s{index}]\naddress = {address}\nzone = {zone}\n");
    }
    text
}

fn new_sim(seed: u64, size: Size) -> OwnershipSim {
    let zones: Vec<String> = (0..size.stewards).map(|index| zone(index % size.zones)).collect();
    let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
    let documents: Vec<String> =
        (0..size.services).map(|service| document(size, service, size.servers)).collect();
    let documents: Vec<&str> = documents.iter().map(String::as_str).collect();
    OwnershipSim::new(seed, &zones, &documents)
}

fn settled_sim(seed: u64) -> OwnershipSim {
    let mut sim = new_sim(seed, SITE);
    sim.run(SECOND * 15);
    sim.meter.clear_gaps();
    sim
}

fn service() -> ServiceName {
    ServiceName::new("svc0").expect("a service's name")
}

fn owners(sim: &mut OwnershipSim) -> Owners {
    let mut owners = Owners::new();
    for shard in sim.shards(service()) {
        for (slice, row) in shard.slices() {
            if let Some(owner) = row.owner {
                owners.insert(slice, shard.servers[usize::from(owner)].key.name);
            }
        }
    }
    owners
}

fn assert_invariants(sim: &OwnershipSim) {
    let violations = &sim.checker.violations;
    assert!(violations.is_empty(), "expected no violated invariant, found {violations:#?}");
}

fn print_gaps(title: &str, sims: &[OwnershipSim]) {
    let mut lengths: Vec<Duration> = Vec::new();
    for sim in sims {
        assert_invariants(sim);
        lengths.extend(sim.meter.gaps.iter().map(|gap| gap.length));
    }
    lengths.sort_unstable();
    let at = |share: f64| {
        let index = (lengths.len() as f64 * share).ceil() as usize;
        lengths.get(index.saturating_sub(1)).copied().unwrap_or_default().as_millis()
    };
    let unserved: usize = sims.iter().map(|sim| sim.meter.unserved_count()).sum();
    println!(
        "{title}: {} gaps, 50% {} ms, 99% {} ms, longest {} ms, still unserved {unserved}",
        lengths.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

fn server_loss() {
    let runs = (0..SEEDS).map(|seed| {
        let mut sim = settled_sim(seed);
        sim.run(Duration::from_millis(seed * 37));
        sim.kill_server((seed % 17) as usize);
        sim.run(SECOND * 5);
        sim
    });
    let runs: Vec<OwnershipSim> = runs.collect();
    print_gaps("a server lost, store up", &runs);
}

fn steward_loss() {
    let runs = (0..SEEDS).map(|seed| {
        let mut sim = settled_sim(seed);
        let zone = ZoneName::new(&zone((seed % 4) as usize)).expect("a zone's name");
        sim.run(Duration::from_millis(seed * 37));
        if let Some(keeper) = sim.term_holder(service(), zone, false) {
            sim.kill_steward(keeper);
        }
        sim.run(SECOND * 30);
        sim
    });
    let runs: Vec<OwnershipSim> = runs.collect();
    print_gaps("a keeper lost, with a deputy", &runs);
    let runs = (0..SEEDS).map(|seed| {
        // A single steward runs, so no deputy is left after its loss.
        let size = Size { stewards: 1, ..SITE };
        let mut sim = new_sim(seed, size);
        sim.run(SECOND * 15);
        sim.meter.clear_gaps();
        sim.kill_steward(0);
        sim.run(SECOND);
        sim.add_steward(ZoneName::new("z1").expect("a zone's name"));
        sim.run(SECOND * 30);
        sim
    });
    let runs: Vec<OwnershipSim> = runs.collect();
    print_gaps("a keeper lost, without a deputy, another a second later", &runs);
}

fn store_outage() {
    let mut sim = settled_sim(1);
    sim.set_store_mode(StoreMode::Down);
    sim.run(SECOND * 590);
    sim.set_store_mode(StoreMode::Up);
    sim.run(SECOND * 20);
    print_gaps("a store outage of 590 s", &[sim]);
}

fn zone_leaves_and_returns() {
    let mut sim = settled_sim(1);
    let before = owners(&mut sim);
    let servers = sim.servers_in("z1");
    let count = |sim: &mut OwnershipSim| -> usize {
        let owned = sim.owned_slice_counts();
        servers.iter().map(|server| owned[*server].1).sum()
    };
    let held = count(&mut sim);
    sim.set_zone_state("z1", ZoneState::Out);
    let start = sim.now();
    while count(&mut sim) > 0 && sim.now().since(start) < SECOND * 60 {
        sim.run(Duration::from_millis(50));
    }
    let empty = sim.now().since(start);
    sim.run(SECOND * 20);
    let moved = count_moved(&before, &owners(&mut sim));
    println!("a zone out: {held} slices, empty after {} ms, {moved} moved", empty.as_millis());
    print_gaps("a zone out", std::slice::from_ref(&sim));
    sim.meter.clear_gaps();
    sim.set_zone_state("z1", ZoneState::In);
    let start = sim.now();
    while count(&mut sim) < held * 8 / 10 && sim.now().since(start) < SECOND * 600 {
        sim.run(Duration::from_millis(500));
    }
    println!("a zone in again: filled to 80% after {} s", sim.now().since(start).as_secs());
    sim.run(SECOND * 60);
    print_gaps("a zone in again", std::slice::from_ref(&sim));
    print_imbalance("after a zone's return", &owners(&mut sim), 17);
}

fn count_moved(before: &Owners, after: &Owners) -> usize {
    before.iter().filter(|(slice, owner)| after.get(slice) != Some(owner)).count()
}

fn print_imbalance(title: &str, owners: &Owners, servers: usize) {
    let mut counts: BTreeMap<ServerName, usize> = BTreeMap::new();
    for owner in owners.values() {
        *counts.entry(*owner).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or_default() as f64;
    let mean = owners.len() as f64 / servers as f64;
    println!("imbalance {title}: {:.3}", most / mean);
}

fn rendezvous_owners(servers: usize) -> Owners {
    let names: Vec<(ServerName, u32)> = (0..servers)
        .map(|index| (ServerName::new(&format!("s{index}")).expect("a server's name"), 100))
        .collect();
    let owner = |slice| Some((slice, rendezvous_owner(slice, names.iter().copied())?));
    (0..SLICES).map(SliceId).filter_map(owner).collect()
}

/// Measures the moved slices and the imbalance when a server joins and when it leaves.
fn churn() {
    let mut sim = settled_sim(2);
    let first = owners(&mut sim);
    print_imbalance("at first", &first, 17);
    print_imbalance("of plain rendezvous hashing", &rendezvous_owners(17), 17);
    sim.apply_document(&document(SITE, 0, 18));
    sim.run(SECOND * 120);
    let joined = owners(&mut sim);
    let least = SLICES as usize / 18;
    println!("a server joins: {} moved, even share {least}", count_moved(&first, &joined));
    println!(
        "plain rendezvous hashing: {}",
        count_moved(&rendezvous_owners(17), &rendezvous_owners(18))
    );
    print_imbalance("after a server joined", &joined, 18);
    let name = ServerName::new("s17").expect("a server's name");
    let held = joined.values().filter(|owner| **owner == name).count();
    let address = "10.0.0.17:80\n";
    let leaving = document(SITE, 0, 18).replace(address, &format!("{address}leaving = yes\n"));
    sim.apply_document(&leaving);
    sim.run(SECOND * 120);
    let left = owners(&mut sim);
    println!("a server leaves: {} moved, least needed {held}", count_moved(&joined, &left));
    print_imbalance("after a server left", &left, 17);
    assert_invariants(&sim);
}

fn control_cost(size: Size) {
    let mut sim = new_sim(3, size);
    sim.is_metering = false;
    sim.run(SECOND * 15);
    let before = sim.counters.clone();
    let span = 20;
    sim.run(SECOND * span);
    assert_invariants(&sim);
    println!(
        "{} nodes, {} services of {} servers in {} zones, a second:",
        size.stewards, size.services, size.servers, size.zones
    );
    for (name, count) in &sim.counters {
        let rate = (count - before.get(name).copied().unwrap_or_default()) as f64 / span as f64;
        if rate > 0.0 {
            println!("  {name}: {rate:.2}, a node {:.3}", rate / size.stewards as f64);
        }
    }
}
