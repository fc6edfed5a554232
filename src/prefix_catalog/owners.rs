//! Assigns the owners of contexts by rendezvous hashing over the live nodes.

use crate::ids::{BlockKey, DomainId, NodeId};

/// A live node and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    pub node: NodeId,
    pub failure_domain: DomainId,
}

/// Returns the owners of a context. The first one decides on exports and frees; the second one is
/// in another failure domain if possible. Empty only if there are no nodes.
pub fn owners(root: BlockKey, nodes: &[NodeLocation]) -> Vec<NodeId> {
    let weight = |node: &NodeLocation| weight(root, node.node);
    let Some(first) = nodes.iter().max_by_key(|node| weight(node)) else { return Vec::new() };
    let other_domain = nodes
        .iter()
        .filter(|node| node.failure_domain != first.failure_domain)
        .max_by_key(|node| weight(node));
    let second = other_domain.or_else(|| {
        nodes.iter().filter(|node| node.node != first.node).max_by_key(|node| weight(node))
    });
    std::iter::once(first).chain(second).map(|node| node.node).collect()
}

/// Block keys are uniformly distributed, so a multiplicative mix with the node is sufficient.
fn weight(root: BlockKey, node: NodeId) -> u64 {
    let mut mixed = (root as u64) ^ node.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
