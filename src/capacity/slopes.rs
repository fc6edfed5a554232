//! Slopes: what one more of something costs, measured on this machine at three sizes or more.

use std::path::Path;

use super::costs;
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
pub struct Slope {
    /// What was measured, with the unit.
    pub name: &'static str,
    /// The measured points, smallest first.
    pub points: Vec<Point>,
    /// Cost at size 0, by least squares; never below 0.
    pub base: f64,
    /// Cost of one more, by least squares; never below 0.
    pub each: f64,
}

/// All slopes.
#[derive(Clone, Debug, PartialEq)]
pub struct Slopes {
    /// Microseconds of a decision, by candidates.
    pub decide_us: Slope,
    /// Microseconds to cut a prompt into blocks, by tokens.
    pub chain_us: Slope,
    /// Microseconds of a lookup and a note of an owner, by contexts known.
    pub catalog_us: Slope,
    /// Bytes of memory of a catalog, by contexts.
    pub catalog_bytes: Slope,
    /// Bytes on the wire of a lookup, its answer, a note and its answer, by blocks.
    pub context_wire_bytes: Slope,
    /// Microseconds to apply a claim and its outcome, by claims held.
    pub claim_us: Slope,
    /// Bytes of memory of claims, by claims held.
    pub claim_bytes: Slope,
    /// Bytes of log entries of claims and outcomes, by claims.
    pub claim_log_bytes: Slope,
    /// Microseconds to write and sync entries, by entries in a batch.
    pub sync_us: Slope,
    /// Microseconds to take a patch, by accounts in the document.
    pub patch_us: Slope,
    /// Bytes of the document, by accounts.
    pub document_bytes: Slope,
    /// Microseconds to grant a lease, by leases granted.
    pub grant_us: Slope,
    /// Bytes on the wire of a renewal and its answer, by patches carried.
    pub renew_wire_bytes: Slope,
    /// Processor microseconds of membership a second, by nodes known.
    pub swim_us_per_s: Slope,
    /// Bytes sent for membership a second, by nodes known.
    pub swim_bytes_per_s: Slope,
    /// Microseconds to take the platform's list, by targets.
    pub list_us: Slope,
    /// Bytes of the platform's list, by targets.
    pub list_bytes: Slope,
    /// Bytes of memory of engine views, by engines watched.
    pub engine_view_bytes: Slope,
    /// Bytes of engines' load reports, by engines.
    pub report_bytes: Slope,
    /// Microseconds to plan orders, by engines.
    pub plan_us: Slope,
    /// Microseconds to lease a share of an account's limit, by nodes that hold one.
    pub share_us: Slope,
    /// Bytes on the wire of asking for shares, by asks.
    pub share_wire_bytes: Slope,
}

impl Slope {
    /// Fits a line through the points.
    pub fn fit(name: &'static str, points: Vec<Point>) -> Slope {
        let count = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_cost) = (mean(|p| p.size), mean(|p| p.cost));
        let covariance: f64 =
            points.iter().map(|p| (p.size - mean_size) * (p.cost - mean_cost)).sum();
        let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let each = if variance > 0.0 { (covariance / variance).max(0.0) } else { 0.0 };
        let base = (mean_cost - each * mean_size).max(0.0);
        Slope { name, points, base, each }
    }

    /// The cost at a size beyond those measured, if it grows with the logarithm of the size.
    pub fn at_by_logarithm(&self, size: f64) -> f64 {
        let Some(largest) = self.points.last() else { return 0.0 };
        largest.cost * (size.max(2.0).ln() / largest.size.max(2.0).ln()).max(1.0)
    }

    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.each * size
    }

    pub(super) fn measure(
        name: &'static str,
        sizes: &[usize],
        cost: impl Fn(usize) -> f64,
    ) -> Slope {
        let points = sizes.iter().map(|size| Point { size: *size as f64, cost: cost(*size) });
        Slope::fit(name, points.collect())
    }
}

impl Slopes {
    /// Measures all of them; `folder` is on the disk whose syncs are measured.
    ///
    /// # Errors
    /// If the folder can't be used.
    pub fn measure(folder: &Path) -> Result<Slopes> {
        let share_us =
            Slope::measure("share of a limit, µs by holders", &[8, 64, 214], costs::share_us);
        let share_wire_bytes = Slope::measure(
            "shares of a limit, wire bytes by asks",
            &[1, 10, 100],
            costs::share_wire_bytes,
        );
        let swim: Vec<(f64, f64, f64)> = [8, 32, 107, 430]
            .map(|nodes| {
                let (us, bytes) = costs::swim(nodes);
                (nodes as f64, us, bytes)
            })
            .to_vec();
        let swim_points = |cost: fn(&(f64, f64, f64)) -> f64| {
            swim.iter().map(|one| Point { size: one.0, cost: cost(one) }).collect()
        };
        let few = [1_000, 10_000, 50_000, 100_000];
        // Memory first, while none that was freed can be used again.
        let engine_view_bytes = Slope::measure(
            "engine views, bytes by engines",
            &[16, 64, 256],
            costs::engine_view_bytes,
        );
        let catalog_bytes =
            Slope::measure("catalog, bytes by contexts", &few, costs::catalog_bytes);
        let claim_bytes = Slope::measure("claims, bytes by claims held", &few, costs::claim_bytes);
        Ok(Slopes {
            share_us,
            share_wire_bytes,
            decide_us: Slope::measure(
                "decision, µs by candidates",
                &[23, 220, 1_000, 4_600],
                costs::decide_us,
            ),
            chain_us: Slope::measure(
                "cutting a prompt, µs by tokens",
                &[500, 2_000, 8_000],
                costs::chain_us,
            ),
            catalog_us: Slope::measure("lookup and note, µs by contexts", &few, costs::catalog_us),
            catalog_bytes,
            context_wire_bytes: Slope::measure(
                "lookup and note, wire bytes by blocks",
                &[4, 16, 64],
                costs::context_wire_bytes,
            ),
            claim_us: Slope::measure("claim and outcome, µs by claims held", &few, costs::claim_us),
            claim_bytes,
            claim_log_bytes: Slope::measure(
                "claim and outcome, log bytes by claims",
                &[1, 10, 100],
                costs::claim_log_bytes,
            ),
            sync_us: Slope::fit("write and sync, µs by entries", costs::sync_points(folder)?),
            patch_us: Slope::measure(
                "patch, µs by accounts",
                &[10, 300, 1_000, 3_000],
                costs::patch_us,
            ),
            document_bytes: Slope::measure(
                "document, bytes by accounts",
                &[10, 300, 3_000],
                |accounts| costs::document(accounts).to_string().len() as f64,
            ),
            grant_us: Slope::measure("grant, µs by leases", &[8, 107, 500, 1_500], costs::grant_us),
            renew_wire_bytes: Slope::measure(
                "renewal, wire bytes by patches",
                &[0, 1, 10],
                costs::renew_wire_bytes,
            ),
            swim_us_per_s: Slope::fit("membership, µs/s by nodes", swim_points(|one| one.1)),
            swim_bytes_per_s: Slope::fit("membership, bytes/s by nodes", swim_points(|one| one.2)),
            list_us: Slope::measure(
                "target list, µs by targets",
                &[23, 220, 1_000, 4_600],
                costs::list_us,
            ),
            list_bytes: Slope::measure(
                "target list, bytes by targets",
                &[23, 220, 4_600],
                |targets| costs::json_bytes(&costs::target_list(targets)),
            ),
            engine_view_bytes,
            report_bytes: Slope::measure(
                "load reports, bytes by engines",
                &[1, 10, 100],
                |engines| {
                    engines as f64
                        * (costs::json_bytes(&costs::report()) + costs::HTTP_HEADER_BYTES)
                },
            ),
            plan_us: Slope::measure(
                "planning orders, µs by engines",
                &[23, 220, 1_000, 4_600],
                costs::plan_us,
            ),
        })
    }

    /// All of them, for a table.
    pub fn all(&self) -> Vec<&Slope> {
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
