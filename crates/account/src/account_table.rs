use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use bay_types::AccountName;

use crate::{AccountSpec, ApiKey};

/// The accounts of a configuration by API key.
#[derive(Debug, Default, PartialEq)]
pub struct AccountTable {
    accounts: Vec<Arc<AccountSpec>>,
    /// Index of the account that holds each key.
    by_key: HashMap<ApiKey, u32>,
}

/// Reason why accounts are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountError {
    /// Two accounts have the same name.
    DuplicateName(AccountName),
    /// Two accounts hold the same key.
    SharedKey(AccountName, AccountName),
}

impl AccountTable {
    /// Creates the table of a configuration's accounts.
    ///
    /// # Errors
    /// Returns an error if two accounts share a name or a key.
    pub fn new(specs: &[AccountSpec]) -> Result<AccountTable, AccountError> {
        let mut by_key = HashMap::with_capacity(specs.iter().map(|spec| spec.keys.len()).sum());
        let mut names: HashMap<AccountName, u32> = HashMap::with_capacity(specs.len());
        for (index, spec) in (0..).zip(specs) {
            if names.insert(spec.name, index).is_some() {
                return Err(AccountError::DuplicateName(spec.name));
            }
            for key in &spec.keys {
                let earlier = by_key.insert(*key, index).filter(|earlier| *earlier != index);
                if let Some(earlier) = earlier {
                    let earlier = specs[earlier as usize].name;
                    return Err(AccountError::SharedKey(earlier, spec.name));
                }
            }
        }
        let accounts = specs.iter().cloned().map(Arc::new).collect();
        Ok(AccountTable { accounts, by_key })
    }

    /// Returns the account that holds a key.
    pub fn find(&self, key: ApiKey) -> Option<&Arc<AccountSpec>> {
        self.accounts.get(*self.by_key.get(&key)? as usize)
    }

    /// Iterates over the accounts in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<AccountSpec>> {
        self.accounts.iter()
    }
}

impl fmt::Display for AccountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AccountError::DuplicateName(name) => write!(f, "account `{name}` is listed twice"),
            AccountError::SharedKey(a, b) => write!(f, "accounts `{a}` and `{b}` share a key"),
        }
    }
}

impl std::error::Error for AccountError {}
