//! Admission by rank compared with first come, first served.

mod support;

use support::{RANKS, Scenario, Tally, play, total};

#[test]
fn explore() {
    for load in [0.5, 0.8, 0.9, 1.0, 1.2, 1.7, 2.0, 2.5, 3.0] {
        for by_rank in [false, true] {
            let s = Scenario { by_rank, loads: vec![load], seconds: 24, routers: 87, delay: 20, granter_lost: None, zone_share: 0.0, seed: 1 };
            let sums = total(&play(&s), 4);
            let value: f64 = sums.iter().map(|t| t.value).sum();
            let max: f64 = sums.iter().map(|t| t.max_value).sum();
            print!("{load} {by_rank} value {:.3} ", value / max);
            for t in sums { print!(" | served {:.3} intime {:.3} value {:.3} byrank {:.3}", t.served / t.offered, t.in_time / t.offered, t.value / t.max_value, t.refused_by_rank / t.offered); }
            println!(" work {:.1}", sums.iter().map(|t| t.work).sum::<f64>() / 20.0);
        }
    }
    let s = Scenario { by_rank: true, loads: vec![0.5, 0.5, 0.5, 0.5, 2.0], seconds: 16, routers: 87, delay: 20, granter_lost: None, zone_share: 0.0, seed: 1 };
    for (i, each) in play(&s).iter().enumerate() {
        let sh: Vec<String> = each.iter().map(|t| format!("{:.2}/{:.2}", t.served / t.offered, t.refused_by_rank / t.offered)).collect();
        println!("{i} {sh:?} work {:.1}", each.iter().map(|t| t.work).sum::<f64>());
    }
}
