//! Without overload control the choices stay the same from version to version.

mod support;

use std::fmt::Write;
use std::time::Duration;

use bay_capacity::{LearnedCapacity, ServerCapacity, ServerId};
use bay_router::{AttemptResult, LoadReport, RoutingDecision};
use support::{admit, at, router, server};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the choices.
const CHOICES: u64 = 463_619_846_165_597_203;

/// An operator who has not turned overload control on would get other choices with an upgrade.
#[test]
fn choices_without_overload_control_are_unchanged() {
    let mut router = router(9, 9, 0);
    let mut choices = String::new();
    let learned = LearnedCapacity { base_ms: 900.0, concurrency: 1.0 };
    let capacities = (0..9)
        .map(|index| ServerCapacity::new(ServerId::new(server(&format!("a{index}"))), learned));
    router.apply_capacities(at(0), &capacities.collect::<Vec<_>>());
    for step in 0..3_000_u64 {
        let now = at(step * 7);
        let mut request = admit(&mut router, now, "/pool/x", None);
        let decision = router.pick_server(now, &mut request);
        let RoutingDecision::Send(choice) = decision else {
            writeln!(choices, "{decision:?}").unwrap();
            continue;
        };
        writeln!(choices, "{} {:.6}", choice.server, choice.expected_ms).unwrap();
        router.record_sent(now, &choice, &mut request);
        let number = u64::from(choice.address.port()) + step * 31;
        let took = Duration::from_millis(5 + number % 90);
        let load = LoadReport {
            running: (number % 5) as u32,
            waiting: (number % 11 / 8) as u32,
            slots: 4,
            slowdown: 1.0 + (number % 4) as f64,
        };
        router.record_load(now + took, &choice, load);
        let not_run = step % 41 == 0;
        let status = if step % 53 == 0 { 500 } else { 200 };
        let result = AttemptResult::Answered { status, not_run };
        let retry = router.handle_result(now + took, &mut request, &choice, result, took);
        writeln!(choices, "{retry:?}").unwrap();
        if step % 3 > 0 {
            router.record_finished(&choice);
        }
    }
    assert!(router.drain_capacity_samples().is_empty());
    assert_eq!(xxh3_64(choices.as_bytes()), CHOICES);
}
