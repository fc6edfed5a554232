//! The state that all replicas agree on. Deterministic: the same commands give the same state.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;
use crate::deployment::document::DeploymentVersion;
use crate::ids::{ModelId, NodeId};
use crate::scheduler::weights::{NamedWeights, keep_newest};

/// A command, as an entry of the log carries it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Publishes a deployment. Only a higher version than the newest changes anything.
    Publish(Published),
    /// Names the weights that a model shall run. Only a higher version changes anything.
    NameWeights {
        /// The model.
        model: ModelId,
        /// The version.
        version: u64,
    },
    /// Tells where a replica is reached.
    SetReplicaAddress {
        /// The replica.
        node: NodeId,
        /// Its host.
        ip: IpAddr,
    },
    /// From here on this replica gives orders to engines.
    AcquireOrderLease {
        /// The replica.
        holder: NodeId,
    },
    /// Weights were named at least this long ago.
    RecordAge {
        /// The model.
        model: ModelId,
        /// The version, and its age when this was proposed.
        weights: NamedWeights,
    },
}

/// A deployment with the text that the operator sent, which is shown again as it was.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The operator's text.
    pub text: Arc<Vec<u8>>,
    /// What it says.
    pub deployment: Arc<Deployment>,
}

impl Published {
    /// Its version.
    pub fn version(&self) -> DeploymentVersion {
        self.deployment.version
    }
}

/// What came of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The newest version of the deployment.
    Published(DeploymentVersion),
    /// The newest version of the model's weights.
    Named(u64),
    /// The address is known.
    ReplicaAddressSet,
    /// The replica that gave orders before.
    OrderLease {
        /// `None` if no replica did.
        previous: Option<NodeId>,
    },
    /// The age is known.
    AgeRecorded,
}

/// How long ago versions of one model's weights were named, at the least. Ages never fall; some of the
/// newest versions are kept.
pub type WeightAges = BTreeMap<u64, Duration>;

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// The newest deployment. Its version never falls.
    pub published: Option<Published>,
    /// The newest named version of each model's weights. Versions never fall.
    pub weights: Arc<BTreeMap<ModelId, u64>>,
    /// Where replicas are reached, those that are gone among them.
    pub replica_addresses: Arc<BTreeMap<NodeId, IpAddr>>,
    /// The replica that gives orders to engines.
    pub order_lease_holder: Option<NodeId>,
    /// How long ago weights of each model were named, when that was last recorded.
    pub weight_ages: Arc<BTreeMap<ModelId, WeightAges>>,
}

/// A snapshot can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotError;

impl ControlState {
    /// The state of a system that starts with these replicas.
    pub fn bootstrap(replica_addresses: BTreeMap<NodeId, IpAddr>) -> ControlState {
        ControlState { replica_addresses: Arc::new(replica_addresses), ..ControlState::default() }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Publish(published) => {
                let newest = self.published.as_ref().map(Published::version);
                if newest.is_none_or(|newest| published.version() > newest) {
                    self.published = Some(published);
                }
                Reply::Published(self.published.as_ref().map_or(0, Published::version))
            }
            Command::NameWeights { model, version } => {
                let newest = Arc::make_mut(&mut self.weights).entry(model).or_default();
                *newest = version.max(*newest);
                Reply::Named(*newest)
            }
            Command::RecordAge { model, weights } => {
                let ages = Arc::make_mut(&mut self.weight_ages).entry(model).or_default();
                let known = ages.entry(weights.version).or_default();
                *known = weights.age.max(*known);
                keep_newest(ages);
                Reply::AgeRecorded
            }
            Command::SetReplicaAddress { node, ip } => {
                Arc::make_mut(&mut self.replica_addresses).insert(node, ip);
                Reply::ReplicaAddressSet
            }
            Command::AcquireOrderLease { holder } => {
                Reply::OrderLease { previous: self.order_lease_holder.replace(holder) }
            }
        }
    }

    /// The state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        // Cannot fail: the state holds only types that the codec writes.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    /// If the bytes are none.
    pub fn from_snapshot(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
        postcard::from_bytes(bytes).map_err(|_| SnapshotError)
    }
}
