//! What the tests of ownership share.

use std::fmt::Write;
use std::time::Duration;

use bay_fakes::ownership_sim::OwnershipSim;

/// The zones of the tests.
pub const ZONES: [&str; 4] = ["north", "south", "peel", "west"];

/// A service with two servers in each zone and 128 slices.
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

/// Two stewards in each zone and a service whose slices all have owners.
pub fn settled(seed: u64) -> OwnershipSim {
    let zones: Vec<&str> = ZONES.iter().cycle().take(8).copied().collect();
    let mut driver = OwnershipSim::new(seed, &zones, &[&document("yes")]);
    driver.run(Duration::from_secs(12));
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
    driver.meter.clear_gaps();
    driver
}

/// Checks that no invariant was broken.
pub fn sound(driver: &OwnershipSim) {
    assert!(driver.checker.violations.is_empty(), "{:#?}", driver.checker.violations);
}
