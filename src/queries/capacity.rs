//! `capacity`: measures slopes on this machine and works out each role at the two-year size.

use crate::capacity::{Role, Slope, Slopes, TwoYears, roles, total};
use crate::error::{Error, Result};

const MEBIBYTE: f64 = 1_048_576.0;
/// Roles that need another design at this size: docs/CAPACITY.md says which.
const NOT_FITTING: [&str; 2] = ["reading engines' reports", "reading the platform's list"];
/// Memory of a host set aside, assumed.
const SET_ASIDE_MEMORY_BYTES: f64 = 16_384.0 * MEBIBYTE;

/// Measures and prints the tables of docs/CAPACITY.md.
///
/// # Errors
/// If a measurement can't be made.
pub fn run() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("kumquatpost-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|source| {
        Error::start("capacity", source, "free the folder for temporary files")
    })?;
    let measured = Slopes::measure(&folder);
    drop(std::fs::remove_dir_all(&folder));
    let slopes = measured?;
    let size = TwoYears::default();
    println!("{}\n", slope_table(&slopes));
    let mut roles = roles(&slopes, &size);
    let sums = [total(&roles, &[]), total(&roles, &NOT_FITTING)];
    roles.extend(sums);
    println!("{}", role_table(&roles, &size));
    Ok(())
}

fn slope_table(slopes: &Slopes) -> String {
    let header = "| slope | points (size: cost) | base | each |\n|---|---|---|---|".to_string();
    let rows = slopes.all().into_iter().map(slope_row);
    std::iter::once(header).chain(rows).collect::<Vec<_>>().join("\n")
}

fn slope_row(slope: &Slope) -> String {
    let points: Vec<String> =
        slope.points.iter().map(|point| format!("{}: {:.1}", point.size, point.cost)).collect();
    format!("| {} | {} | {:.1} | {:.4} |", slope.name, points.join(", "), slope.base, slope.each)
}

fn role_table(roles: &[Role], size: &TwoYears) -> String {
    let mut lines = vec![
        "| role | messages/s | bytes/s | % of a core | MiB | verdict | formula | mechanism |"
            .to_string(),
        "|---|---|---|---|---|---|---|---|".to_string(),
    ];
    lines.extend(roles.iter().map(|role| role_row(role, size)));
    lines.join("\n")
}

fn role_row(role: &Role, size: &TwoYears) -> String {
    let percent = if role.core.is_nan() {
        "not measured".to_string()
    } else {
        format!("{:.3}", role.core * 100.0)
    };
    format!(
        "| {} | {:.1} | {:.0} | {percent} | {:.2} | {} | {} | {} |",
        role.name,
        role.messages_per_s,
        role.bytes_per_s,
        role.memory_bytes / MEBIBYTE,
        verdict(role, size),
        role.formula,
        role.mechanism,
    )
}

/// What does not fit, in plain words. The limits are those of control on one node; on hosts set
/// aside a whole core and the memory of the host may be used.
fn verdict(role: &Role, size: &TwoYears) -> String {
    if !role.control {
        return "serves requests".into();
    }
    let (cores, memory) = if role.set_aside {
        (1.0, SET_ASIDE_MEMORY_BYTES)
    } else {
        (size.limit_core, size.limit_memory_bytes)
    };
    let bytes = if role.set_aside { f64::INFINITY } else { size.limit_bytes_per_s };
    let over = [
        ("processor", role.core, cores),
        ("memory", role.memory_bytes, memory),
        ("bytes", role.bytes_per_s, bytes),
    ];
    let broken: Vec<String> = over
        .iter()
        .filter(|(_, value, limit)| value > limit)
        .map(|(what, value, limit)| format!("{what} {:.1} times the limit", value / limit))
        .collect();
    if broken.is_empty() { "fits".into() } else { format!("DOES NOT FIT: {}", broken.join(", ")) }
}
