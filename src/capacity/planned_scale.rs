//! The size to design for.

/// The users' plan for two years, and the limits that they set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedScale {
    /// Nodes.
    pub nodes: f64,
    /// Engines.
    pub engines: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Tokens generated a second at the peak.
    pub tokens_per_s: f64,
    /// Contexts that return.
    pub contexts: f64,
    /// Client accounts.
    pub accounts: f64,
    /// Models in steady use.
    pub models: f64,
    /// Regions.
    pub regions: f64,
    /// Failure domains.
    pub domains: f64,
    /// Changes of configuration a second.
    pub config_changes_per_s: f64,
    /// Nodes that start a second: failures, restarts and replacements.
    pub node_starts_per_s: f64,
    /// Limit: share of a core for control on a node.
    pub limit_cores: f64,
    /// Limit: bytes of memory for control on a node.
    pub limit_memory_bytes: f64,
    /// Limit: bytes a second for control of a node.
    pub limit_bytes_per_s: f64,
    /// Limit: hosts set aside.
    pub limit_hosts: f64,
    /// Limit: seconds until an accepted configuration is in force everywhere.
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
    /// Requests a second at one node.
    pub fn requests_per_node(&self) -> f64 {
        self.requests_per_s / self.nodes
    }

    /// Nodes in one failure domain.
    pub fn nodes_per_domain(&self) -> f64 {
        self.nodes / self.domains
    }

    /// Nodes in one region.
    pub fn nodes_per_region(&self) -> f64 {
        self.nodes / self.regions
    }

    /// Contexts known to one owner; each has two owners.
    pub fn contexts_per_node(&self) -> f64 {
        self.contexts * 2.0 / self.nodes
    }
}
