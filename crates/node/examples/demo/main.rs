//! Runs a small cluster in one process, injects faults under traffic and prints a report.

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

/// Duration of each phase.
const PHASE_DURATION: Duration = Duration::from_secs(6);

/// Time after which a zone that is out of service must get no new requests.
const ZONE_DRAIN_TIME: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let executor = Arc::new(Executor::new());
    match future::block_on(executor.run(run(Arc::clone(&executor)))) {
        Ok(report) => {
            print!("{report}");
            if report.violations().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    let _polling = balancer.start(&executor);
    let traffic = Traffic::start(&executor, balancer);
    let mut phases = Vec::new();
    phases.push(run_phase(&traffic, "steady").await);

    cluster.kill_owner();
    phases.push(run_phase(&traffic, "an owner is killed").await);

    cluster.set_zone(false).await?;
    traffic.start_phase();
    println!("phase: a zone is taken out");
    Timer::after(ZONE_DRAIN_TIME).await;
    let runs_before = cluster.runs_in_last_zone();
    Timer::after(PHASE_DURATION - ZONE_DRAIN_TIME).await;
    let runs_in_drained_zone = cluster.runs_in_last_zone() - runs_before;
    phases.push(traffic.end_phase("a zone is taken out").await);

    cluster.set_zone(true).await?;
    phases.push(run_phase(&traffic, "the zone comes back").await);

    println!("phase: a gate stops as planned");
    traffic.start_phase();
    cluster.stop_gate().await;
    Timer::after(PHASE_DURATION).await;
    phases.push(traffic.end_phase("a gate stops as planned").await);

    Ok(Report::new(phases, cluster.run_counts(), runs_in_drained_zone))
}

async fn run_phase(traffic: &Traffic, name: &'static str) -> Phase {
    println!("phase: {name}");
    traffic.start_phase();
    Timer::after(PHASE_DURATION).await;
    traffic.end_phase(name).await
}
