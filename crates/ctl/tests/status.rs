//! The text and the success of `bayctl status`.

use bay_ctl::{format_status, is_in_force_everywhere};
use bay_types::{NodeId, ServiceName};
use bay_wire::{
    ClusterStatus, ItemKey, ItemStatus, ItemVersion, LaggingItem, LaggingProcess, Role,
};

fn status() -> ClusterStatus {
    let key = ItemKey::Document(ServiceName::new("jobs").unwrap());
    let version = ItemVersion { major: 7, minor: 0 };
    ClusterStatus {
        node: NodeId(1),
        fresh: true,
        items: vec![ItemStatus { key, version, in_force: 6, asked: 6 }],
        members: Vec::new(),
        lagging: Vec::new(),
        silent: Vec::new(),
        silent_gates: Vec::new(),
        terms: Vec::new(),
    }
}

#[test]
fn a_version_in_force_everywhere_is_a_success() {
    assert!(is_in_force_everywhere(&status()));
    let text = format_status(&status());
    assert!(text.contains("service/jobs version 7: in force at 6 of 6 processes"), "{text}");
}

#[test]
fn lagging_and_silent_processes_are_listed_and_fail_the_command() {
    let mut lagging = status();
    let item = &lagging.items[0];
    let in_force = ItemVersion { major: 5, minor: 0 };
    let items = vec![LaggingItem { key: item.key, in_force, expected: item.version }];
    lagging.lagging = vec![LaggingProcess { node: NodeId(2), role: Role::Gate, items }];
    assert!(!is_in_force_everywhere(&lagging));
    let expected = "gate 0000000000000002 lags: service/jobs version 5, expected 7";
    assert!(format_status(&lagging).contains(expected));

    let silent = ClusterStatus { silent: vec![NodeId(3)], ..status() };
    assert!(!is_in_force_everywhere(&silent));
    assert!(format_status(&silent).contains("no answer from steward 0000000000000003"));

    let gate = ClusterStatus { silent_gates: vec![NodeId(4)], ..status() };
    assert!(!is_in_force_everywhere(&gate));
    assert!(format_status(&gate).contains("no steward is connected to gate 0000000000000004"));
    assert!(!is_in_force_everywhere(&ClusterStatus { fresh: false, ..status() }));
}
