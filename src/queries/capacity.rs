//! `capacity`: measures costs on this machine and estimates the load of each role at the planned scale.

use crate::capacity::{CostModel, CostModels, PlannedScale, RoleLoad, role_loads, total_load};
use crate::error::{Error, Result};

const MEBIBYTE: f64 = 1_048_576.0;
/// Roles that need another design at the planned scale; see docs/CAPACITY.md.
const UNSCALABLE_ROLES: [&str; 2] = ["reading engines' reports", "reading the platform's list"];
/// Memory of a host that is set aside for a role.
const DEDICATED_HOST_MEMORY_BYTES: f64 = 16_384.0 * MEBIBYTE;

/// Measures the costs and prints the tables of docs/CAPACITY.md.
///
/// # Errors
/// If a measurement fails.
pub fn run() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("kumquatpost-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|source| {
        Error::start("capacity", source, "make the folder for temporary files writable")
    })?;
    let measured = CostModels::measure(&folder);
    drop(std::fs::remove_dir_all(&folder));
    let costs = measured?;
    let scale = PlannedScale::default();
    println!("{}\n", cost_table(&costs));
    let mut roles = role_loads(&costs, &scale);
    let sums = [total_load(&roles, &[]), total_load(&roles, &UNSCALABLE_ROLES)];
    roles.extend(sums);
    println!("{}", role_table(&roles, &scale));
    Ok(())
}

fn cost_table(costs: &CostModels) -> String {
    let header = "| cost | points (size: cost) | base | per unit |\n|---|---|---|---|".to_string();
    let rows = costs.all().into_iter().map(cost_row);
    std::iter::once(header).chain(rows).collect::<Vec<_>>().join("\n")
}

fn cost_row(model: &CostModel) -> String {
    let points: Vec<String> =
        model.points.iter().map(|point| format!("{}: {:.1}", point.size, point.cost)).collect();
    format!(
        "| {} | {} | {:.1} | {:.4} |",
        model.name,
        points.join(", "),
        model.base,
        model.per_unit
    )
}

fn role_table(roles: &[RoleLoad], scale: &PlannedScale) -> String {
    let mut lines = vec![
        "| role | messages/s | bytes/s | % of a core | MiB | verdict | formula | mechanism |"
            .to_string(),
        "|---|---|---|---|---|---|---|---|".to_string(),
    ];
    lines.extend(roles.iter().map(|role| role_row(role, scale)));
    lines.join("\n")
}

fn role_row(role: &RoleLoad, scale: &PlannedScale) -> String {
    let percent = if role.cores.is_nan() {
        "not measured".to_string()
    } else {
        format!("{:.3}", role.cores * 100.0)
    };
    format!(
        "| {} | {:.1} | {:.0} | {percent} | {:.2} | {} | {} | {} |",
        role.name,
        role.messages_per_s,
        role.bytes_per_s,
        role.memory_bytes / MEBIBYTE,
        limit_check(role, scale),
        role.formula,
        role.mechanism,
    )
}

/// Describes which limits a role exceeds. A control role on every node has the limits of the planned scale; one
/// on a dedicated host may use a whole core and the memory of the host.
fn limit_check(role: &RoleLoad, scale: &PlannedScale) -> String {
    if !role.is_control {
        return "serves requests".into();
    }
    let (cores, memory) = if role.on_dedicated_host {
        (1.0, DEDICATED_HOST_MEMORY_BYTES)
    } else {
        (scale.limit_cores, scale.limit_memory_bytes)
    };
    let bytes = if role.on_dedicated_host { f64::INFINITY } else { scale.limit_bytes_per_s };
    let checks = [
        ("processor", role.cores, cores),
        ("memory", role.memory_bytes, memory),
        ("bytes", role.bytes_per_s, bytes),
    ];
    let exceeded: Vec<String> = checks
        .iter()
        .filter(|(_, value, limit)| value > limit)
        .map(|(what, value, limit)| format!("{what} {:.1} times the limit", value / limit))
        .collect();
    if exceeded.is_empty() {
        "fits".into()
    } else {
        format!("DOES NOT FIT: {}", exceeded.join(", "))
    }
}
