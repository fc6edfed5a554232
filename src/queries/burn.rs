//! `report burn`: error budget burn rates over all nodes, as text, JSON or an SVG plot.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::{Value, json};

use super::operator_client;
use crate::commands::block_on;
use crate::error::{Error, Result};
use crate::telemetry::burn::{BurnCounts, WINDOWS, WindowCounts};

/// Burn rate over 5 minutes and over 1 hour that needs attention at once: it uses up the error budget of 30 days in
/// about 2 days.
const URGENT_BURN_RATE: f64 = 14.4;
/// Burn rate over 6 hours and over 3 days that needs attention today: it uses up the error budget of 30 days in
/// 30 days.
const SUSTAINED_BURN_RATE: f64 = 1.0;
/// Maximum number of targets to list.
const MAX_WORST_TARGETS: usize = 5;

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Operators' addresses of the nodes.
    pub nodes: Vec<String>,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// File to write an SVG plot to.
    pub svg: Option<PathBuf>,
}

/// The counts of all nodes that responded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Sums over the nodes.
    pub counts: BurnCounts,
    /// Nodes without a valid response, with the reason.
    pub failed_nodes: Vec<(String, String)>,
}

/// Prints the report.
///
/// # Errors
/// If no node returned its counts, or the plot can't be written.
pub fn run(options: &Options) -> Result<()> {
    let report = block_on(collect(&options.nodes))?;
    if report.failed_nodes.len() == options.nodes.len() {
        let reason = report.failed_nodes.first().map_or("no node is given", |(_, reason)| reason);
        return Err(Error::request("report burn", reason, "name running nodes with --node"));
    }
    if let Some(file) = &options.svg {
        std::fs::write(file, report.svg())
            .map_err(|source| Error::start("--svg", source, "name a file to write"))?;
    }
    if options.json {
        println!("{:#}", report.json())
    } else {
        println!("{}", report.text())
    }
    Ok(())
}

async fn collect(nodes: &[String]) -> Result<Report> {
    let client = operator_client::http_client()?;
    let mut report = Report::default();
    for address in nodes {
        let request = client.get(format!("{address}/v1/burn"));
        let counts = match operator_client::send(address, request).await {
            Ok(text) => serde_json::from_str::<BurnCounts>(&text).map_err(|e| e.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match counts {
            Ok(counts) => report.counts.add(counts),
            Err(reason) => report.failed_nodes.push((address.clone(), reason)),
        }
    }
    Ok(report)
}

impl Report {
    /// Tables as plain text.
    pub fn text(&self) -> String {
        let mut lines = Vec::new();
        lines.extend(series_table("kind", &self.counts.kinds));
        lines.push(String::new());
        lines.extend(series_table("account", &self.counts.accounts));
        lines.push(String::new());
        lines.push("worst targets over 1h (bad of total):".into());
        for (target, windows) in self.worst_targets() {
            lines.push(format!("  {target}: {} of {}", windows[1].bad, windows[1].total));
        }
        if self.failed_nodes.is_empty() {
            lines.push("all nodes responded".into());
        }
        for (node, reason) in &self.failed_nodes {
            lines.push(format!("failed, not counted: {node}: {reason}"));
        }
        lines.join("\n")
    }

    /// The counts of all windows as JSON.
    pub fn json(&self) -> Value {
        let names: Vec<&str> = WINDOWS.iter().map(|window| window.name).collect();
        json!({"windows": names, "counts": self.counts, "not_asked": self.failed_nodes})
    }

    /// A bar chart of the burn rates of each kind and window, as SVG.
    pub fn svg(&self) -> String {
        const ROW_HEIGHT: usize = 18;
        const BAR_LEFT: usize = 160;
        const MAX_BAR_WIDTH: f64 = 400.0;
        let rows: Vec<(String, f64)> = self
            .counts
            .kinds
            .iter()
            .flat_map(|(kind, windows)| {
                let named_windows = windows.iter().zip(WINDOWS);
                named_windows.map(move |(count, window)| {
                    (format!("{kind} {}", window.name), count.burn_rate())
                })
            })
            .collect();
        let max_rate = rows.iter().map(|(_, rate)| *rate).fold(1.0, f64::max);
        let height = (rows.len() + 1) * ROW_HEIGHT;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"12\">\n"
        );
        for (row, (name, rate)) in rows.iter().enumerate() {
            let y = row * ROW_HEIGHT;
            let bar_width = rate / max_rate * MAX_BAR_WIDTH;
            let colour = if *rate > 1.0 { "#c0392b" } else { "#27ae60" };
            svg.push_str(&format!(
                "<text x=\"4\" y=\"{}\">{}</text>\
                 <rect x=\"{BAR_LEFT}\" y=\"{}\" width=\"{bar_width:.1}\" height=\"12\" fill=\"{colour}\"/>\
                 <text x=\"{:.1}\" y=\"{}\">{rate:.2}</text>\n",
                y + 13,
                escape_xml(name),
                y + 3,
                BAR_LEFT as f64 + bar_width + 4.0,
                y + 13,
            ));
        }
        svg.push_str(&format!(
            "<text x=\"4\" y=\"{}\">burn rate: 1 uses up the budget exactly</text>\n</svg>\n",
            rows.len() * ROW_HEIGHT + 13
        ));
        svg
    }

    fn worst_targets(&self) -> Vec<(&String, &WindowCounts)> {
        let mut targets: Vec<_> =
            self.counts.targets.iter().filter(|(_, windows)| windows[1].bad > 0).collect();
        targets.sort_by_key(|(_, windows)| std::cmp::Reverse(windows[1].bad));
        targets.truncate(MAX_WORST_TARGETS);
        targets
    }
}

fn series_table(label: &str, series: &BTreeMap<String, WindowCounts>) -> Vec<String> {
    let mut header = format!("{label:<20}");
    for window in WINDOWS {
        header.push_str(&format!(" {:>8}", window.name));
    }
    header.push_str("  budget left (3d)  verdict");
    let rows = series.iter().map(|(name, windows)| {
        let mut row = format!("{name:<20}");
        for count in windows {
            row.push_str(&format!(" {:>8.2}", count.burn_rate()));
        }
        let budget_left_percent = (1.0 - windows[3].burn_rate()) * 100.0;
        row.push_str(&format!(" {budget_left_percent:>16.1} %  {}", alert_level(windows)));
        row
    });
    std::iter::once(header).chain(rows).collect()
}

/// The urgency that the burn rates call for. A short and a long window must both exceed the threshold: this ignores
/// both short peaks and incidents that are over.
pub fn alert_level(windows: &WindowCounts) -> &'static str {
    let rate = |index: usize| windows[index].burn_rate();
    if rate(0) > URGENT_BURN_RATE && rate(1) > URGENT_BURN_RATE {
        "look at once"
    } else if rate(2) > SUSTAINED_BURN_RATE && rate(3) > SUSTAINED_BURN_RATE {
        "look today"
    } else {
        "fine"
    }
}

fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
