//! Runs a whole small site in one process, breaks parts of it and prints a report.

mod balancer;
mod cluster;
mod documents;
mod phase;
mod report;
mod traffic;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;

use crate::cluster::Cluster;
use crate::phase::Phase;
use crate::report::Report;
use crate::traffic::Traffic;

/// How long each phase lasts.
const PHASE: Duration = Duration::from_secs(6);

/// Time after which a zone that was taken out gets no new work.
const ZONE_EMPTIED: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let executor = Arc::new(Executor::new());
    match future::block_on(executor.run(run(Arc::clone(&executor)))) {
        Ok(report) => {
            print!("{report}");
            if report.broken().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(executor: Arc<Executor<'static>>) -> Result<Report, Box<dyn std::error::Error>> {
    println!("starting a store, 9 servers and targets, 3 gates and 3 stewards in 3 zones");
    let mut cluster = Cluster::start(&executor).await?;
    cluster.apply_documents().await?;
    println!("waiting until every key of the probe set has an owner");
    cluster.wait_until_served().await;

    let balancer = cluster.balancer();
    let _checks = balancer.start(&executor);
    let traffic = Traffic::start(&executor, balancer);
    let mut phases = Vec::new();
    phases.push(phase(&traffic, "steady").await);

    cluster.kill_owner();
    phases.push(phase(&traffic, "an owner is killed").await);

    cluster.set_zone(false).await?;
    traffic.begin_phase();
    println!("phase: a zone is taken out");
    Timer::after(ZONE_EMPTIED).await;
    let before = cluster.runs_in_last_zone();
    Timer::after(PHASE - ZONE_EMPTIED).await;
    let late_work = cluster.runs_in_last_zone() - before;
    phases.push(traffic.end_phase("a zone is taken out").await);

    cluster.set_zone(true).await?;
    phases.push(phase(&traffic, "the zone comes back").await);

    println!("phase: a gate stops as planned");
    traffic.begin_phase();
    cluster.stop_gate().await;
    Timer::after(PHASE).await;
    phases.push(traffic.end_phase("a gate stops as planned").await);

    Ok(Report::new(phases, cluster.run_counts(), late_work))
}

async fn phase(traffic: &Traffic, name: &'static str) -> Phase {
    println!("phase: {name}");
    traffic.begin_phase();
    Timer::after(PHASE).await;
    traffic.end_phase(name).await
}
