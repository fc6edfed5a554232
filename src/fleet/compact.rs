//! Targets as they are sent: each name of a service, failure domain or model once. Some 30 bytes a target in
//! place of 73.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::roster::{Listed, Presence};
use crate::ids::{BirthMs, TargetId, TargetStart};

/// Targets as they are sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompactTargets {
    /// Names of services, failure domains and models.
    names: Vec<String>,
    rows: Vec<Row>,
}

/// A target has a name that was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a target has a name that was not sent"))]
pub struct NameMissing;

/// A target. Names are told by their place among all names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    id: TargetId,
    born_ms: Option<BirthMs>,
    service: u32,
    address: SocketAddr,
    failure_domain: u32,
    slots: u32,
    presence: Presence,
    weights: Vec<(u32, u64)>,
}

impl CompactTargets {
    /// These targets.
    pub fn of<'a>(targets: impl Iterator<Item = &'a Listed>) -> CompactTargets {
        let mut names = Names::default();
        let rows = targets.map(|listed| Row::new(listed, &mut names)).collect();
        CompactTargets { names: names.in_order, rows }
    }

    /// The targets.
    ///
    /// # Errors
    /// If a name is missing.
    pub fn listed(&self) -> Result<Vec<Listed>, NameMissing> {
        self.rows.iter().map(|row| row.listed(&self.names)).collect()
    }
}

impl Row {
    fn new(listed: &Listed, names: &mut Names) -> Row {
        Row {
            id: listed.start.id.clone(),
            born_ms: listed.start.born_ms,
            service: names.place(&listed.service),
            address: listed.address,
            failure_domain: names.place(&listed.failure_domain),
            slots: listed.slots,
            presence: listed.presence,
            weights: listed.weights.iter().map(|(m, version)| (names.place(m), *version)).collect(),
        }
    }

    fn listed(&self, names: &[String]) -> Result<Listed, NameMissing> {
        let name = |at: u32| names.get(at as usize).cloned().ok_or(NameMissing);
        let weights = self.weights.iter().map(|(model, version)| Ok((name(*model)?, *version)));
        Ok(Listed {
            start: TargetStart { id: self.id.clone(), born_ms: self.born_ms },
            service: name(self.service)?,
            address: self.address,
            failure_domain: name(self.failure_domain)?,
            slots: self.slots,
            presence: self.presence,
            weights: weights.collect::<Result<_, NameMissing>>()?,
        })
    }
}

/// Names in the order in which they were met.
#[derive(Default)]
struct Names {
    in_order: Vec<String>,
    places: BTreeMap<String, u32>,
}

impl Names {
    fn place(&mut self, name: &str) -> u32 {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.in_order.len() as u32;
        self.in_order.push(name.to_string());
        self.places.insert(name.to_string(), place);
        place
    }
}
