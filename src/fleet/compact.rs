//! Compact encoding of target lists: names of services, failure domains, models and software
//! versions are sent once and referred to by index. A target takes some 30 bytes in place of 73.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::roster::{Listed, Presence};
use crate::ids::{BirthMs, TargetId, TargetStart};

/// A list of targets with interned names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompactTargets {
    /// Names of services, failure domains, models and software versions.
    names: Vec<String>,
    rows: Vec<Row>,
}

/// A target refers to a name that is not in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a target refers to a name that is missing from the table"))]
pub struct UnknownName;

/// A target; names are given by their index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    id: TargetId,
    born_ms: Option<BirthMs>,
    service: u32,
    address: SocketAddr,
    failure_domain: u32,
    software: u32,
    slots: u32,
    presence: Presence,
    weights: Vec<(u32, u64)>,
    is_cold: bool,
}

impl CompactTargets {
    pub fn from_targets<'a>(targets: impl Iterator<Item = &'a Listed>) -> CompactTargets {
        let mut names = NameTable::default();
        let rows = targets.map(|listed| Row::new(listed, &mut names)).collect();
        CompactTargets { names: names.in_order, rows }
    }

    /// Decodes the targets.
    ///
    /// # Errors
    /// If a name is missing from the table.
    pub fn to_listed(&self) -> Result<Vec<Arc<Listed>>, UnknownName> {
        self.rows.iter().map(|row| row.to_listed(&self.names).map(Arc::new)).collect()
    }
}

impl Row {
    fn new(listed: &Listed, names: &mut NameTable) -> Row {
        Row {
            id: listed.start.id.clone(),
            born_ms: listed.start.born_ms,
            service: names.intern(&listed.service),
            address: listed.address,
            failure_domain: names.intern(&listed.failure_domain),
            software: names.intern(&listed.software),
            slots: listed.slots,
            presence: listed.presence,
            weights: listed
                .weights
                .iter()
                .map(|(m, version)| (names.intern(m), *version))
                .collect(),
            is_cold: listed.is_cold,
        }
    }

    fn to_listed(&self, names: &[String]) -> Result<Listed, UnknownName> {
        let name = |index: u32| names.get(index as usize).cloned().ok_or(UnknownName);
        let weights = self.weights.iter().map(|(model, version)| Ok((name(*model)?, *version)));
        Ok(Listed {
            start: TargetStart { id: self.id.clone(), born_ms: self.born_ms },
            service: name(self.service)?,
            address: self.address,
            failure_domain: name(self.failure_domain)?,
            software: name(self.software)?,
            slots: self.slots,
            presence: self.presence,
            weights: weights.collect::<Result<_, UnknownName>>()?,
            is_cold: self.is_cold,
        })
    }
}

/// Interns names in order of first use.
#[derive(Default)]
struct NameTable {
    in_order: Vec<String>,
    indices: BTreeMap<String, u32>,
}

impl NameTable {
    fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.in_order.len() as u32;
        self.in_order.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }
}
