//! Setup and checks shared by the tests of slice ownership.

use std::fmt::Write;
use std::time::Duration;

use bay_fakes::ownership_sim::OwnershipSim;

/// Zones of the simulations.
pub const ZONES: [&str; 4] = ["north", "south", "peel", "west"];

/// Returns the document of a service with 128 slices and two servers in each zone.
pub fn document(fenced: &str) -> String {
    let mut text = format!(
        "[service]\nname = jobs\nhosts = jobs.example\nkind = keyed\n\
         [keys]\nheader = x-key\nslices = 128\nfenced = {fenced}\n\
         [limits]\nslots = 4\nconnections = 110\n"
    );
    for index in 0..8 {
        let zone = ZONES[index % 4];
        write!(text, "[server s{index}]\naddress = 10.0.0.{index}:80\nzone = {zone}\n").unwrap();
    }
    text
}

/// Creates a simulation with two stewards in each zone, and runs it until all slices have owners.
pub fn settled_sim(seed: u64) -> OwnershipSim {
    let zones: Vec<&str> = ZONES.iter().cycle().take(8).copied().collect();
    let mut sim = OwnershipSim::new(seed, &zones, &[&document("yes")]);
    sim.run(Duration::from_secs(12));
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
    sim.meter.clear_gaps();
    sim
}

/// Asserts that the checker found no violation.
pub fn assert_invariants(sim: &OwnershipSim) {
    assert!(sim.checker.violations.is_empty(), "{:#?}", sim.checker.violations);
}
