//! Compares ways to share targets among gates.
use bay_fakes::queueing::{Policy, Scenario, Site, run};

fn main() {
    for site in [Site::ALL[0], Site::ALL[1], Site::ALL[4]] {
        for policy in Policy::ALL {
            let started = std::time::Instant::now();
            let r = run(&Scenario::new(site, policy, 0.7, 1));
            println!(
                "{:20} {:16} mean {:6.1} p50 {:6.1} p99 {:6.1} p99.9 {:6.1} answered {:.4} work {:.3} excess {} most {} hedges {} msgs {} bytes {} took {:?}",
                site.name,
                policy.as_str(),
                r.mean_ms(),
                r.percentile_ms(50.0),
                r.percentile_ms(99.0),
                r.percentile_ms(99.9),
                r.answered(),
                r.work(),
                r.excess,
                r.most_running,
                r.hedges,
                r.messages,
                r.message_bytes,
                started.elapsed()
            );
        }
    }
}
