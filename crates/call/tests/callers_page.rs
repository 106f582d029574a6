//! `docs/CALLING.md` lists every error kind with the status and outcome that the gate answers.

use bay_types::{ErrorKind, Outcome};

const PAGE: &str = include_str!("../../../docs/CALLING.md");

fn row(kind: ErrorKind) -> Option<&'static str> {
    PAGE.lines().find(|line| line.starts_with(&format!("| `{kind}` |")))
}

#[test]
fn the_page_lists_each_error_kind_with_its_status_and_outcome() {
    for kind in ErrorKind::ALL {
        let row = row(kind).unwrap_or_else(|| panic!("expected a row for {kind}"));
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        assert_eq!(cells[2], kind.status().to_string(), "{kind}");
        assert_eq!(cells[3], kind.outcome().as_str(), "{kind}");
        assert_eq!(cells[4] == "yes", kind.has_retry_after(), "{kind}");
    }
}

#[test]
fn the_page_lists_no_unknown_error_kind() {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let kinds = rows.filter(|row| row.split('|').count() == 7).count();
    assert_eq!(kinds, ErrorKind::ALL.len());
}

#[test]
fn each_error_kind_has_a_refusal_counter_and_another_outcome_than_done() {
    for kind in ErrorKind::ALL {
        assert_ne!(kind.outcome(), Outcome::Done);
        assert_eq!(kind.counter(), format!("refused.{kind}"));
    }
}
