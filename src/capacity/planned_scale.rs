//! The scale that capacity is planned for.

/// The scale expected in two years, and the limits on the resources that the control plane may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedScale {
    pub nodes: f64,
    pub engines: f64,
    /// Peak request rate.
    pub requests_per_s: f64,
    /// Peak rate of generated tokens.
    pub tokens_per_s: f64,
    /// Contexts whose prompts return.
    pub contexts: f64,
    pub accounts: f64,
    /// Models in regular use.
    pub models: f64,
    pub regions: f64,
    pub domains: f64,
    pub config_changes_per_s: f64,
    /// Rate of node starts: recoveries from failures, restarts and replacements.
    pub node_starts_per_s: f64,
    /// Maximum processor use of the control plane on a node, in cores.
    pub limit_cores: f64,
    /// Maximum memory use of the control plane on a node.
    pub limit_memory_bytes: f64,
    /// Maximum network traffic of the control plane on a node.
    pub limit_bytes_per_s: f64,
    /// Maximum number of dedicated hosts.
    pub limit_hosts: f64,
    /// Maximum time until an accepted configuration is in force on all nodes.
    pub limit_in_force_s: f64,
}

const DAY_S: f64 = 86_400.0;

impl Default for PlannedScale {
    fn default() -> PlannedScale {
        PlannedScale {
            nodes: 1_500.0,
            engines: 4_600.0,
            requests_per_s: 31_000.0,
            tokens_per_s: 11_000_000.0,
            contexts: 1_100_000.0,
            accounts: 3_000.0,
            models: 21.0,
            regions: 7.0,
            domains: 14.0,
            config_changes_per_s: 11_000.0 / DAY_S,
            node_starts_per_s: (65.0 + 760.0) / DAY_S,
            limit_cores: 0.025,
            limit_memory_bytes: 64.0 * 1_048_576.0,
            limit_bytes_per_s: 17_000.0,
            limit_hosts: 8.0,
            limit_in_force_s: 18.0,
        }
    }
}

impl PlannedScale {
    /// Request rate of one node.
    pub fn requests_per_node(&self) -> f64 {
        self.requests_per_s / self.nodes
    }

    /// Average number of nodes in a failure domain.
    pub fn nodes_per_domain(&self) -> f64 {
        self.nodes / self.domains
    }

    /// Average number of nodes in a region.
    pub fn nodes_per_region(&self) -> f64 {
        self.nodes / self.regions
    }

    /// Contexts in the prefix catalog of one node; each context has two owners.
    pub fn contexts_per_node(&self) -> f64 {
        self.contexts * 2.0 / self.nodes
    }
}
