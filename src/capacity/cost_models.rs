//! Linear cost models, each fitted to measurements on this machine at three sizes or more.

use std::path::Path;

use super::{benchmarks, measure};
use crate::error::Result;

/// The measured cost at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Number of items.
    pub size: f64,
    /// Cost, in the unit that the model names.
    pub cost: f64,
}

/// A cost as a linear function of a size.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModel {
    /// What is modelled, with its unit and the meaning of the size.
    pub name: &'static str,
    /// The measured points, in ascending order of size.
    pub points: Vec<Point>,
    /// Cost at size 0 by least squares, at least 0.
    pub base: f64,
    /// Additional cost of each item by least squares, at least 0.
    pub per_unit: f64,
}

/// The cost models of all operations.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModels {
    /// Time of a routing decision, by candidate engines.
    pub decide_us: CostModel,
    /// Time to hash a prompt into blocks, by tokens.
    pub chain_us: CostModel,
    /// Time of a lookup and an update in the prefix catalog, by contexts in it.
    pub catalog_us: CostModel,
    /// Memory of the prefix catalog, by contexts.
    pub catalog_bytes: CostModel,
    /// Bytes sent for a lookup and an update in the prefix catalog and their replies, by blocks.
    pub context_wire_bytes: CostModel,
    /// Time to apply a claim and its outcome, by retained claims.
    pub claim_us: CostModel,
    /// Memory of claims, by retained claims.
    pub claim_bytes: CostModel,
    /// Size of the log entries of claims and outcomes, by claims.
    pub claim_log_bytes: CostModel,
    /// Time to write and sync a batch of log entries, by entries.
    pub sync_us: CostModel,
    /// Time to apply a configuration patch, by accounts in the document.
    pub patch_us: CostModel,
    /// Size of the configuration document, by accounts.
    pub document_bytes: CostModel,
    /// Time to grant a lease, by granted leases.
    pub grant_us: CostModel,
    /// Bytes sent for a lease renewal and its reply, by patches in the reply.
    pub renew_wire_bytes: CostModel,
    /// Processor time of the membership protocol per second, by known nodes.
    pub swim_us_per_s: CostModel,
    /// Bytes sent by the membership protocol per second, by known nodes.
    pub swim_bytes_per_s: CostModel,
    /// Time to parse and apply the platform's target list, by targets.
    pub list_us: CostModel,
    /// Size of the platform's target list, by targets.
    pub list_bytes: CostModel,
    /// Memory of engine views, by watched engines.
    pub engine_view_bytes: CostModel,
    /// Size of the engines' load reports with HTTP headers, by engines.
    pub report_bytes: CostModel,
    /// Time to plan load orders, by engines.
    pub plan_us: CostModel,
    /// Time to grant a share of an account's limit, by nodes that hold one.
    pub share_us: CostModel,
    /// Bytes sent for share requests and their replies, by requests.
    pub share_wire_bytes: CostModel,
}

impl CostModel {
    /// Fits a line to the points by least squares.
    pub fn fit(name: &'static str, points: Vec<Point>) -> CostModel {
        let count = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_cost) = (mean(|p| p.size), mean(|p| p.cost));
        let covariance: f64 =
            points.iter().map(|p| (p.size - mean_size) * (p.cost - mean_cost)).sum();
        let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let per_unit = if variance > 0.0 { (covariance / variance).max(0.0) } else { 0.0 };
        let base = (mean_cost - per_unit * mean_size).max(0.0);
        CostModel { name, points, base, per_unit }
    }

    /// The cost at a size, extrapolated from the largest measured point with logarithmic growth. Sizes below
    /// that point get its cost.
    pub fn at_log_growth(&self, size: f64) -> f64 {
        let Some(largest) = self.points.last() else { return 0.0 };
        largest.cost * (size.max(2.0).ln() / largest.size.max(2.0).ln()).max(1.0)
    }

    /// The cost at a size by the linear fit.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.per_unit * size
    }

    pub(super) fn measure(
        name: &'static str,
        sizes: &[usize],
        cost: impl Fn(usize) -> f64,
    ) -> CostModel {
        let points = sizes.iter().map(|size| Point { size: *size as f64, cost: cost(*size) });
        CostModel::fit(name, points.collect())
    }
}

impl CostModels {
    /// Measures all costs and fits the models. `folder` must be on the disk whose sync time is to be measured.
    ///
    /// # Errors
    /// If the folder can't be written.
    pub fn measure(folder: &Path) -> Result<CostModels> {
        let share_us = CostModel::measure(
            "share of a limit, µs by holders",
            &[8, 64, 214],
            benchmarks::share_us,
        );
        let share_wire_bytes = CostModel::measure(
            "shares of a limit, wire bytes by requests",
            &[1, 10, 100],
            benchmarks::share_wire_bytes,
        );
        let swim: Vec<(f64, f64, f64)> = [8, 32, 107, 430]
            .map(|nodes| {
                let (us, bytes) = benchmarks::swim_costs(nodes);
                (nodes as f64, us, bytes)
            })
            .to_vec();
        let swim_points = |cost: fn(&(f64, f64, f64)) -> f64| {
            swim.iter().map(|run| Point { size: run.0, cost: cost(run) }).collect()
        };
        let growth_sizes = [1_000, 10_000, 50_000, 100_000];
        // Memory is measured before anything is freed: reused memory would not show as growth.
        let engine_view_bytes = CostModel::measure(
            "engine views, bytes by engines",
            &[16, 64, 256],
            benchmarks::engine_view_bytes,
        );
        let catalog_bytes = CostModel::measure(
            "catalog, bytes by contexts",
            &growth_sizes,
            benchmarks::catalog_bytes,
        );
        let claim_bytes = CostModel::measure(
            "claims, bytes by retained claims",
            &growth_sizes,
            benchmarks::claim_bytes,
        );
        Ok(CostModels {
            share_us,
            share_wire_bytes,
            decide_us: CostModel::measure(
                "decision, µs by candidates",
                &[23, 220, 1_000, 4_600],
                benchmarks::decide_us,
            ),
            chain_us: CostModel::measure(
                "hashing a prompt, µs by tokens",
                &[500, 2_000, 8_000],
                benchmarks::chain_us,
            ),
            catalog_us: CostModel::measure(
                "catalog lookup and update, µs by contexts",
                &growth_sizes,
                benchmarks::catalog_us,
            ),
            catalog_bytes,
            context_wire_bytes: CostModel::measure(
                "catalog lookup and update, wire bytes by blocks",
                &[4, 16, 64],
                benchmarks::context_wire_bytes,
            ),
            claim_us: CostModel::measure(
                "claim and outcome, µs by retained claims",
                &growth_sizes,
                benchmarks::claim_us,
            ),
            claim_bytes,
            claim_log_bytes: CostModel::measure(
                "claim and outcome, log bytes by claims",
                &[1, 10, 100],
                benchmarks::claim_log_bytes,
            ),
            sync_us: CostModel::fit(
                "write and sync, µs by entries",
                benchmarks::sync_points(folder)?,
            ),
            patch_us: CostModel::measure(
                "patch, µs by accounts",
                &[10, 300, 1_000, 3_000],
                benchmarks::patch_us,
            ),
            document_bytes: CostModel::measure(
                "document, bytes by accounts",
                &[10, 300, 3_000],
                |accounts| benchmarks::config_document(accounts).to_string().len() as f64,
            ),
            grant_us: CostModel::measure(
                "grant, µs by leases",
                &[8, 107, 500, 1_500],
                benchmarks::grant_us,
            ),
            renew_wire_bytes: CostModel::measure(
                "renewal, wire bytes by patches",
                &[0, 1, 10],
                benchmarks::renew_wire_bytes,
            ),
            swim_us_per_s: CostModel::fit("membership, µs/s by nodes", swim_points(|run| run.1)),
            swim_bytes_per_s: CostModel::fit(
                "membership, bytes/s by nodes",
                swim_points(|run| run.2),
            ),
            list_us: CostModel::measure(
                "target list, µs by targets",
                &[23, 220, 1_000, 4_600],
                benchmarks::list_us,
            ),
            list_bytes: CostModel::measure(
                "target list, bytes by targets",
                &[23, 220, 4_600],
                |targets| measure::json_bytes(&benchmarks::target_list(targets)),
            ),
            engine_view_bytes,
            report_bytes: CostModel::measure(
                "load reports, bytes by engines",
                &[1, 10, 100],
                |engines| {
                    engines as f64
                        * (measure::json_bytes(&benchmarks::load_report())
                            + benchmarks::HTTP_HEADER_BYTES)
                },
            ),
            plan_us: CostModel::measure(
                "planning load orders, µs by engines",
                &[23, 220, 1_000, 4_600],
                benchmarks::plan_us,
            ),
        })
    }

    /// All models, in the order of the printed table.
    pub fn all(&self) -> Vec<&CostModel> {
        vec![
            &self.decide_us,
            &self.chain_us,
            &self.catalog_us,
            &self.catalog_bytes,
            &self.context_wire_bytes,
            &self.claim_us,
            &self.claim_bytes,
            &self.claim_log_bytes,
            &self.sync_us,
            &self.patch_us,
            &self.document_bytes,
            &self.grant_us,
            &self.renew_wire_bytes,
            &self.swim_us_per_s,
            &self.swim_bytes_per_s,
            &self.list_us,
            &self.list_bytes,
            &self.engine_view_bytes,
            &self.report_bytes,
            &self.plan_us,
            &self.share_us,
            &self.share_wire_bytes,
        ]
    }
}
