//! Accounts by API key.

use bay_account::{AccountError, AccountSpec, AccountTable, ApiKey};
use bay_types::AccountName;

fn name(text: &str) -> AccountName {
    AccountName::new(text).unwrap()
}

fn account(text: &str, keys: &[&str]) -> AccountSpec {
    let keys = keys.iter().map(|key| ApiKey::new(key.as_bytes())).collect();
    AccountSpec { name: name(text), identifier: text.to_owned(), keys, rank: None, quota: None }
}

/// Guards against a key that opens the account of another.
#[test]
fn a_key_finds_the_account_that_holds_it() {
    let table = AccountTable::new(&[account("a", &["k1", "k2"]), account("b", &["k3"])]).unwrap();
    let find = |key: &str| table.find(ApiKey::new(key.as_bytes())).map(|account| account.name);
    assert_eq!(find("k2"), Some(name("a")));
    assert_eq!(find("k3"), Some(name("b")));
    assert_eq!(find("k4"), None);
    assert_eq!(find(""), None);
}

#[test]
fn accounts_that_share_a_key_or_a_name_are_refused() {
    let shared = AccountTable::new(&[account("a", &["k1"]), account("b", &["k1"])]);
    assert_eq!(shared.unwrap_err(), AccountError::SharedKey(name("a"), name("b")));
    let twice = AccountTable::new(&[account("a", &[]), account("a", &[])]);
    assert_eq!(twice.unwrap_err(), AccountError::DuplicateName(name("a")));
}

/// Guards against keys in logs: state is logged with `Debug`.
#[test]
fn the_text_of_a_key_is_not_formatted() {
    let account = account("a", &["secret"]);
    let text = format!("{account:?}");
    assert!(!text.contains("secret"), "{text}");
}
