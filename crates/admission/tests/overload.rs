//! Admission by rank compared with first come, first served.

mod support;

use support::{RANKS, Scenario, Tally, play, total};

#[test]
fn explore() {
    for load in [0.5, 0.8, 0.9, 1.0, 1.2, 1.7, 2.0, 2.5, 3.0] {
        for by_rank in [false, true] {
            let mut out = [[0.0; 4]; 4];
            for seed in 0..6 {
                let s = Scenario {
                    by_rank,
                    loads: vec![load],
                    seconds: 33,
                    routers: 87,
                    delay: 20,
                    granter_lost: None,
                    zone_share: 0.0,
                    seed,
                };
                let sums = total(&play(&s), 5);
                let value: f64 = sums.iter().map(|t| t.value).sum();
                let max: f64 = sums.iter().map(|t| t.max_value).sum();
                out[3][0] += value / max / 6.0;
                out[3][1] += sums.iter().map(|t| t.work).sum::<f64>() / 25.0 / 6.0;
                for (i, t) in sums.iter().enumerate() {
                    for (j, x) in [
                        t.served / t.offered,
                        t.in_time / t.offered,
                        t.value / t.max_value,
                        t.refused_by_rank / t.offered,
                    ]
                    .into_iter()
                    .enumerate()
                    {
                        out[i][j] += x / 6.0;
                    }
                }
            }
            println!("{load} {by_rank} {:.3?}", out);
        }
    }
}

#[test]
fn steps() {
    for (name, routers, delay, lost, zone) in [
        ("fleet", 87, 20, None, 0.0),
        ("two", 2, 400, None, 0.0),
        ("late", 87, 500, None, 0.0),
        ("lost", 87, 20, Some((9, 13)), 0.0),
        ("zone", 87, 20, None, 0.6),
        ("lostforever", 87, 20, Some((9, 99)), 0.0),
        ("never", 2, 20, Some((0, 99)), 0.0),
        ("never87", 87, 20, Some((0, 99)), 0.0),
    ] {
        for seed in 0..2 {
            let s = Scenario {
                by_rank: true,
                loads: vec![
                    0.5, 0.5, 0.5, 0.5, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0,
                    0.7,
                ],
                seconds: 22,
                routers,
                delay,
                granter_lost: lost,
                zone_share: zone,
                seed,
            };
            println!("{name} {seed}");
            for (i, each) in play(&s).iter().enumerate().skip(3).take(17) {
                let sh: Vec<String> = each
                    .iter()
                    .map(|t| {
                        format!("{:.2}/{:.2}", t.served / t.offered, t.refused_by_rank / t.offered)
                    })
                    .collect();
                println!(
                    "{i} {sh:?} value {:.2} work {:.1}",
                    each.iter().map(|t| t.value).sum::<f64>()
                        / each.iter().map(|t| t.max_value).sum::<f64>(),
                    each.iter().map(|t| t.work).sum::<f64>()
                );
            }
        }
    }
}
