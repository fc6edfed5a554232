//! The numbered configuration as replicas and nodes hold it, and how news of it travel.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::document::key_hash;
use super::{Account, Config, patch};
use crate::error::Problem;
use crate::ids::{AccountId, ConfigNumber};

/// Patches kept so that a node that is a little behind gets only those.
const MAX_PATCHES: usize = 256;

/// One number of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NumberedConfig {
    /// The number. 0 is the empty configuration, before the first patch.
    pub number: ConfigNumber,
    /// The document.
    pub document: Value,
    /// The document, read and checked.
    pub config: Config,
    /// Accounts by the hash of their key. Invariant: those of `config`.
    accounts_by_key: HashMap<String, AccountId>,
}

impl NumberedConfig {
    /// Numbers a checked document.
    pub fn new(number: ConfigNumber, document: Value, config: Config) -> NumberedConfig {
        let by_key =
            |(id, account): (&AccountId, &Account)| (account.key_blake3.clone(), id.clone());
        let accounts_by_key = config.accounts.iter().map(by_key).collect();
        NumberedConfig { number, document, config, accounts_by_key }
    }

    /// The account that a bearer key belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&AccountId> {
        self.accounts_by_key.get(&key_hash(key))
    }
}

/// The newest configuration known here and the patches that led to it.
///
/// Invariant: the number never falls.
#[derive(Clone, Debug)]
pub struct ConfigHistory {
    newest: Arc<NumberedConfig>,
    /// The last patches, each with the number that it made; consecutive, the last is the newest.
    patches: VecDeque<(ConfigNumber, String)>,
}

/// What a node needs to get from its number to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing: it has the newest number.
    None,
    /// Patches as JSON text, each with the number that it makes, in order.
    Patches(Vec<(ConfigNumber, String)>),
    /// The whole document as JSON text.
    Full(ConfigNumber, String),
}

/// An update can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// It leads to a lower number than the one known here.
    OlderNumber,
    /// It does not follow on the number known here, or is damaged.
    Invalid,
}

impl Default for ConfigHistory {
    fn default() -> ConfigHistory {
        let empty =
            NumberedConfig { document: Value::Object(Map::new()), ..NumberedConfig::default() };
        ConfigHistory { newest: Arc::new(empty), patches: VecDeque::new() }
    }
}

impl ConfigHistory {
    /// The newest configuration.
    pub fn newest(&self) -> &Arc<NumberedConfig> {
        &self.newest
    }

    /// The newest number.
    pub fn number(&self) -> ConfigNumber {
        self.newest.number
    }

    /// The number, patch text and age order of the patches that are still kept.
    pub fn patches(&self) -> impl Iterator<Item = &(ConfigNumber, String)> {
        self.patches.iter()
    }

    /// What a patch would make of the newest document.
    ///
    /// # Errors
    /// Everything that is wrong with the result.
    pub fn preview_patch(&self, change: &Value) -> Result<NumberedConfig, Vec<Problem>> {
        let mut document = self.newest.document.clone();
        patch::merge(&mut document, change);
        let config = Config::from_value(&document)?;
        Ok(NumberedConfig::new(self.number() + 1, document, config))
    }

    /// Makes a patched document the newest.
    pub fn append(&mut self, next: NumberedConfig, patch_text: String) {
        debug_assert_eq!(next.number, self.number() + 1);
        self.patches.push_back((next.number, patch_text));
        while self.patches.len() > MAX_PATCHES {
            self.patches.pop_front();
        }
        self.newest = Arc::new(next);
    }

    /// What somebody with number `known_number` needs to get to the newest one.
    pub fn update_since(&self, known_number: ConfigNumber) -> Update {
        if known_number >= self.number() {
            return Update::None;
        }
        let first_kept = self.patches.front().map_or(ConfigNumber::MAX, |(number, _)| *number);
        if first_kept > known_number + 1 {
            return self.full_update();
        }
        let missing = self.patches.iter().filter(|(number, _)| *number > known_number);
        Update::Patches(missing.cloned().collect())
    }

    /// Takes over kept patches, the last of which made the newest number.
    pub fn restore_patches(&mut self, patches: Vec<(ConfigNumber, String)>) {
        if patches.last().is_none_or(|(number, _)| *number == self.number()) {
            self.patches = patches.into();
        }
    }

    /// The whole newest document as an update.
    pub fn full_update(&self) -> Update {
        Update::Full(self.number(), self.newest.document.to_string())
    }

    /// Takes an update.
    ///
    /// # Errors
    /// If it must not or can't be used; nothing has changed then.
    pub fn apply_update(&mut self, update: &Update) -> Result<(), UpdateError> {
        match update {
            Update::None => Ok(()),
            Update::Full(number, text) => self.apply_full_update(*number, text),
            Update::Patches(patches) => {
                let mut next = self.clone();
                for (number, text) in patches {
                    if *number <= next.number() {
                        continue;
                    }
                    let change: Value =
                        serde_json::from_str(text).map_err(|_| UpdateError::Invalid)?;
                    let patched = next.preview_patch(&change).map_err(|_| UpdateError::Invalid)?;
                    if patched.number != *number {
                        return Err(UpdateError::Invalid);
                    }
                    next.append(patched, text.clone());
                }
                *self = next;
                Ok(())
            }
        }
    }

    fn apply_full_update(&mut self, number: ConfigNumber, text: &str) -> Result<(), UpdateError> {
        if number < self.number() {
            return Err(UpdateError::OlderNumber);
        }
        let document: Value = serde_json::from_str(text).map_err(|_| UpdateError::Invalid)?;
        let config = Config::from_value(&document).map_err(|_| UpdateError::Invalid)?;
        self.newest = Arc::new(NumberedConfig::new(number, document, config));
        self.patches.clear();
        Ok(())
    }
}
