//! Slopes: what one more of something costs, measured on this machine at three sizes or more.

use std::path::Path;

use super::benchmarks;
use crate::error::Result;

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// How many of something there were.
    pub size: f64,
    /// What it cost.
    pub cost: f64,
}

/// A cost that grows with a size.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModel {
    /// What was measured, with the unit.
    pub name: &'static str,
    /// The measured points, smallest first.
    pub points: Vec<Point>,
    /// Cost at size 0, by least squares; never below 0.
    pub base: f64,
    /// Cost of one more, by least squares; never below 0.
    pub per_unit: f64,
}

/// All slopes.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModels {
    /// Microseconds of a decision, by candidates.
    pub decide_us: CostModel,
    /// Microseconds to cut a prompt into blocks, by tokens.
    pub chain_us: CostModel,
    /// Microseconds of a lookup and a note of an owner, by contexts known.
    pub catalog_us: CostModel,
    /// Bytes of memory of a catalog, by contexts.
    pub catalog_bytes: CostModel,
    /// Bytes on the wire of a lookup, its answer, a note and its answer, by blocks.
    pub context_wire_bytes: CostModel,
    /// Microseconds to apply a claim and its outcome, by claims held.
    pub claim_us: CostModel,
    /// Bytes of memory of claims, by claims held.
    pub claim_bytes: CostModel,
    /// Bytes of log entries of claims and outcomes, by claims.
    pub claim_log_bytes: CostModel,
    /// Microseconds to write and sync entries, by entries in a batch.
    pub sync_us: CostModel,
    /// Microseconds to take a patch, by accounts in the document.
    pub patch_us: CostModel,
    /// Bytes of the document, by accounts.
    pub document_bytes: CostModel,
    /// Microseconds to grant a lease, by leases granted.
    pub grant_us: CostModel,
    /// Bytes on the wire of a renewal and its answer, by patches carried.
    pub renew_wire_bytes: CostModel,
    /// Processor microseconds of membership a second, by nodes known.
    pub swim_us_per_s: CostModel,
    /// Bytes sent for membership a second, by nodes known.
    pub swim_bytes_per_s: CostModel,
    /// Microseconds to take the platform's list, by targets.
    pub list_us: CostModel,
    /// Bytes of the platform's list, by targets.
    pub list_bytes: CostModel,
    /// Bytes of memory of engine views, by engines watched.
    pub engine_view_bytes: CostModel,
    /// Bytes of engines' load reports, by engines.
    pub report_bytes: CostModel,
    /// Microseconds to plan orders, by engines.
    pub plan_us: CostModel,
    /// Microseconds to lease a share of an account's limit, by nodes that hold one.
    pub share_us: CostModel,
    /// Bytes on the wire of asking for shares, by asks.
    pub share_wire_bytes: CostModel,
}

impl CostModel {
    /// Fits a line through the points.
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

    /// The cost at a size beyond those measured, if it grows with the logarithm of the size.
    pub fn at_log_growth(&self, size: f64) -> f64 {
        let Some(largest) = self.points.last() else { return 0.0 };
        largest.cost * (size.max(2.0).ln() / largest.size.max(2.0).ln()).max(1.0)
    }

    /// The cost at a size.
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
    /// Measures all of them; `folder` is on the disk whose syncs are measured.
    ///
    /// # Errors
    /// If the folder can't be used.
    pub fn measure(folder: &Path) -> Result<CostModels> {
        let share_us = CostModel::measure(
            "share of a limit, µs by holders",
            &[8, 64, 214],
            benchmarks::share_us,
        );
        let share_wire_bytes = CostModel::measure(
            "shares of a limit, wire bytes by asks",
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
        // Memory first, while none that was freed can be used again.
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
            "claims, bytes by claims held",
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
                "cutting a prompt, µs by tokens",
                &[500, 2_000, 8_000],
                benchmarks::chain_us,
            ),
            catalog_us: CostModel::measure(
                "lookup and note, µs by contexts",
                &growth_sizes,
                benchmarks::catalog_us,
            ),
            catalog_bytes,
            context_wire_bytes: CostModel::measure(
                "lookup and note, wire bytes by blocks",
                &[4, 16, 64],
                benchmarks::context_wire_bytes,
            ),
            claim_us: CostModel::measure(
                "claim and outcome, µs by claims held",
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
                |targets| benchmarks::json_bytes(&benchmarks::target_list(targets)),
            ),
            engine_view_bytes,
            report_bytes: CostModel::measure(
                "load reports, bytes by engines",
                &[1, 10, 100],
                |engines| {
                    engines as f64
                        * (benchmarks::json_bytes(&benchmarks::load_report())
                            + benchmarks::HTTP_HEADER_BYTES)
                },
            ),
            plan_us: CostModel::measure(
                "planning orders, µs by engines",
                &[23, 220, 1_000, 4_600],
                benchmarks::plan_us,
            ),
        })
    }

    /// All of them, for a table.
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
