//! Evacuated failure domains: the replicated record, and what one process knows of it.
//!
//! Operators order that nothing more is sent to the targets of a failure domain, and withdraw that
//! later. An order names the revision of the domain that its caller was shown, and has an effect
//! only while that is the current one. A copy of an order that arrives after a later order was
//! accepted is therefore void, however long it was delayed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::DomainId;
use crate::telemetry::logs::joined;

/// Number of orders that had been accepted when a domain was last ordered; 0 if it never was.
pub type OrderRevision = u64;

/// What an operator orders for a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// Nothing more is sent to its targets.
    Evacuate,
    /// Its targets take work again.
    Restore,
}

impl EvacuationOrder {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            EvacuationOrder::Evacuate => "evacuate",
            EvacuationOrder::Restore => "restore",
        }
    }
}

/// The last order accepted for a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    pub order: EvacuationOrder,
    pub revision: OrderRevision,
}

/// All failure domains that were ever evacuated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Number of accepted orders. Never decreases.
    accepted: OrderRevision,
    /// Invariant: no revision is higher than `accepted`, and no two are equal.
    domains: BTreeMap<DomainId, AcceptedOrder>,
}

impl Evacuations {
    /// Number of accepted orders. A record with more is later.
    pub fn accepted(&self) -> OrderRevision {
        self.accepted
    }

    /// The revision that an order for this domain must name now.
    pub fn revision(&self, domain: &str) -> OrderRevision {
        self.domains.get(domain).map_or(0, |accepted| accepted.revision)
    }

    /// The last order of each domain that was ever evacuated.
    pub fn orders(&self) -> impl Iterator<Item = (&DomainId, &AcceptedOrder)> {
        self.domains.iter()
    }

    /// The failure domains whose targets get no work.
    pub fn evacuated(&self) -> BTreeSet<DomainId> {
        let is_evacuated =
            |(_, accepted): &(_, &AcceptedOrder)| accepted.order == EvacuationOrder::Evacuate;
        self.domains.iter().filter(is_evacuated).map(|(domain, _)| domain.clone()).collect()
    }

    /// Accepts an order whose caller was shown `expected`, and returns its revision. Each accepted
    /// order gets a new revision, even if it changes nothing: earlier orders must not take effect
    /// after it. Returns `None` if a later order was accepted in the meantime.
    pub fn order(
        &mut self,
        domain: DomainId,
        order: EvacuationOrder,
        expected: OrderRevision,
    ) -> Option<OrderRevision> {
        if self.revision(&domain) != expected {
            return None;
        }
        self.accepted += 1;
        let revision = self.accepted;
        self.domains.insert(domain, AcceptedOrder { order, revision });
        Some(revision)
    }
}

/// The evacuated failure domains as one process knows them, with the times of restorations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EvacuatedDomains {
    record: Evacuations,
    /// When this process learned of the order that restored a domain.
    restored_at: BTreeMap<DomainId, BootTime>,
}

impl EvacuatedDomains {
    /// Replaces the record by a later one. Returns whether it was later.
    pub fn update(&mut self, record: &Evacuations, now: BootTime) -> bool {
        if record.accepted <= self.record.accepted {
            return false;
        }
        for (domain, accepted) in record.orders() {
            match accepted.order {
                EvacuationOrder::Evacuate => drop(self.restored_at.remove(domain)),
                EvacuationOrder::Restore if self.record.revision(domain) < accepted.revision => {
                    self.restored_at.insert(domain.clone(), now);
                }
                EvacuationOrder::Restore => {}
            }
        }
        self.record = record.clone();
        true
    }

    /// Logs that the known orders are in force here.
    pub fn log_applied(&self) {
        let (accepted, evacuated) = (self.record.accepted, joined(self.record.evacuated()));
        log::info!("event=evacuations_applied accepted={accepted} evacuated={evacuated}");
    }

    /// Whether the targets of a domain get no work.
    pub fn contains(&self, domain: &str) -> bool {
        let last = self.record.domains.get(domain);
        last.is_some_and(|accepted| accepted.order == EvacuationOrder::Evacuate)
    }

    /// The number of failure domains whose targets get no work.
    pub fn count(&self) -> usize {
        self.record.evacuated().len()
    }

    /// Whether a domain was restored less than `within` ago. Its targets may have been restarted
    /// while nothing was sent to them.
    pub fn was_restored(&self, domain: &str, within: Duration, now: BootTime) -> bool {
        self.restored_at.get(domain).is_some_and(|at| now.saturating_sub(*at) < within)
    }
}
