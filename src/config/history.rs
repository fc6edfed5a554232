//! The newest configuration that a process knows, its recent patches, and updates between processes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::document::key_hash;
use super::{Account, Config, patch};
use crate::error::Problem;
use crate::ids::{AccountId, ConfigNumber};

/// Number of recent patches that are kept. A node that lacks at most these is updated by patches.
const MAX_PATCHES: usize = 256;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NumberedConfig {
    /// The number of the version. 0 is the empty configuration before the first patch.
    pub number: ConfigNumber,
    pub document: Value,
    /// The decoded and validated document.
    pub config: Config,
    /// Index of the accounts of `config` by the hash of their key.
    accounts_by_key: HashMap<String, AccountId>,
}

impl NumberedConfig {
    /// Creates a version from a document and its decoded, validated content.
    pub fn new(number: ConfigNumber, document: Value, config: Config) -> NumberedConfig {
        let by_key =
            |(id, account): (&AccountId, &Account)| (account.key_blake3.clone(), id.clone());
        let accounts_by_key = config.accounts.iter().map(by_key).collect();
        NumberedConfig { number, document, config, accounts_by_key }
    }

    /// Returns the account that a bearer key belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&AccountId> {
        self.accounts_by_key.get(&key_hash(key))
    }
}

/// The newest known configuration and the most recent patches.
///
/// Invariant: the number never decreases.
#[derive(Clone, Debug)]
pub struct ConfigHistory {
    newest: Arc<NumberedConfig>,
    /// The most recent patches, oldest first, each with the number of the resulting version. The numbers are
    /// consecutive and end with the newest one.
    patches: VecDeque<(ConfigNumber, String)>,
}

/// An update of a node's configuration to a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The node has the newest version already.
    None,
    /// Patches as JSON text, in order, each with the number of the resulting version.
    Patches(Vec<(ConfigNumber, String)>),
    /// The full document as JSON text, with its number.
    Full(ConfigNumber, String),
}

/// Why an update can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The update leads to a lower number than the known one.
    OlderNumber,
    /// The update does not follow the known number, or is corrupt.
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
    pub fn newest(&self) -> &Arc<NumberedConfig> {
        &self.newest
    }

    pub fn number(&self) -> ConfigNumber {
        self.newest.number
    }

    /// The kept patches, oldest first, each with the number of the resulting version.
    pub fn patches(&self) -> impl Iterator<Item = &(ConfigNumber, String)> {
        self.patches.iter()
    }

    /// Applies a patch to a copy of the newest document and returns the resulting version.
    ///
    /// # Errors
    /// All problems of the resulting document.
    pub fn preview_patch(&self, change: &Value) -> Result<NumberedConfig, Vec<Problem>> {
        let mut document = self.newest.document.clone();
        patch::merge(&mut document, change);
        let config = Config::from_value(&document)?;
        Ok(NumberedConfig::new(self.number() + 1, document, config))
    }

    /// Appends the result of `preview_patch`, which becomes the newest version.
    pub fn append(&mut self, next: NumberedConfig, patch_text: String) {
        debug_assert_eq!(next.number, self.number() + 1);
        self.patches.push_back((next.number, patch_text));
        while self.patches.len() > MAX_PATCHES {
            self.patches.pop_front();
        }
        self.newest = Arc::new(next);
    }

    /// Returns the update from `known_number` to the newest version.
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

    /// Restores the recent patches from a snapshot. They are ignored if they don't end with the newest number.
    pub fn restore_patches(&mut self, patches: Vec<(ConfigNumber, String)>) {
        if patches.last().is_none_or(|(number, _)| *number == self.number()) {
            self.patches = patches.into();
        }
    }

    /// Returns an update with the full document.
    pub fn full_update(&self) -> Update {
        Update::Full(self.number(), self.newest.document.to_string())
    }

    /// Applies an update. Patches up to the known number are skipped.
    ///
    /// # Errors
    /// If the update is older or invalid; the configuration is unchanged then.
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
