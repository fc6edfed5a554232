//! `report burn`: service-level burn over all nodes, as text, JSON and a plot.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::{Value, json};

use super::node;
use crate::commands::block_on;
use crate::error::{Error, Result};
use crate::telemetry::burn::{BurnCounts, WINDOWS, Windows};

/// Burning this many times faster than allowed over both 5 minutes and 1 hour uses up the budget
/// of 30 days in 2 days: somebody must look at once.
const FAST_BURN: f64 = 14.4;
/// The same over 6 hours and 3 days uses it up in a month: somebody must look today.
const SLOW_BURN: f64 = 1.0;
/// Rows of the worst targets.
const WORST_TARGETS: usize = 5;

/// What to report.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Operators' addresses of the nodes.
    pub nodes: Vec<String>,
    /// Print JSON instead of text.
    pub json: bool,
    /// Where to write a plot.
    pub svg: Option<PathBuf>,
}

/// Burn over all nodes that could be asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Added counts.
    pub counts: BurnCounts,
    /// Nodes that could not be asked, with the reason.
    pub unasked: Vec<(String, String)>,
}

/// Prints the report.
///
/// # Errors
/// If no node could be asked, or the plot can't be written.
pub fn run(options: &Options) -> Result<()> {
    let report = block_on(collect(&options.nodes))?;
    if report.unasked.len() == options.nodes.len() {
        let reason = report.unasked.first().map_or("there is none", |(_, reason)| reason);
        return Err(Error::ask("report burn", reason, "name nodes that run with --node"));
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
    let client = node::client()?;
    let mut report = Report::default();
    for address in nodes {
        let request = client.get(format!("{address}/v1/burn"));
        let counts = match node::answer(address, request).await {
            Ok(text) => serde_json::from_str::<BurnCounts>(&text).map_err(|e| e.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match counts {
            Ok(counts) => report.counts.add(counts),
            Err(reason) => report.unasked.push((address.clone(), reason)),
        }
    }
    Ok(report)
}

impl Report {
    /// For people.
    pub fn text(&self) -> String {
        let mut lines = Vec::new();
        lines.extend(table("kind", &self.counts.kinds));
        lines.push(String::new());
        lines.extend(table("account", &self.counts.accounts));
        lines.push(String::new());
        lines.push("worst targets over 1h (bad of total):".into());
        for (target, windows) in self.worst_targets() {
            lines.push(format!("  {target}: {} of {}", windows[1].bad, windows[1].total));
        }
        if self.unasked.is_empty() {
            lines.push("all nodes were asked".into());
        }
        for (node, reason) in &self.unasked {
            lines.push(format!("not asked, so not counted: {node}: {reason}"));
        }
        lines.join("\n")
    }

    /// For programs.
    pub fn json(&self) -> Value {
        let names: Vec<&str> = WINDOWS.iter().map(|window| window.name).collect();
        json!({"windows": names, "counts": self.counts, "not_asked": self.unasked})
    }

    /// A bar for each kind and window, as SVG.
    pub fn svg(&self) -> String {
        const ROW: usize = 18;
        const LEFT: usize = 160;
        const WIDTH: f64 = 400.0;
        let rows: Vec<(String, f64)> = self
            .counts
            .kinds
            .iter()
            .flat_map(|(kind, windows)| {
                let named = windows.iter().zip(WINDOWS);
                named.map(move |(c, w)| (format!("{kind} {}", w.name), c.burn_rate()))
            })
            .collect();
        let most = rows.iter().map(|(_, rate)| *rate).fold(1.0, f64::max);
        let height = (rows.len() + 1) * ROW;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"12\">\n"
        );
        for (row, (name, rate)) in rows.iter().enumerate() {
            let y = row * ROW;
            let length = rate / most * WIDTH;
            let colour = if *rate > 1.0 { "#c0392b" } else { "#27ae60" };
            svg.push_str(&format!(
                "<text x=\"4\" y=\"{}\">{}</text>\
                 <rect x=\"{LEFT}\" y=\"{}\" width=\"{length:.1}\" height=\"12\" fill=\"{colour}\"/>\
                 <text x=\"{:.1}\" y=\"{}\">{rate:.2}</text>\n",
                y + 13,
                escaped(name),
                y + 3,
                LEFT as f64 + length + 4.0,
                y + 13,
            ));
        }
        svg.push_str(&format!(
            "<text x=\"4\" y=\"{}\">burn rate: 1 uses up the budget exactly</text>\n</svg>\n",
            rows.len() * ROW + 13
        ));
        svg
    }

    fn worst_targets(&self) -> Vec<(&String, &Windows)> {
        let mut targets: Vec<_> =
            self.counts.targets.iter().filter(|(_, windows)| windows[1].bad > 0).collect();
        targets.sort_by_key(|(_, windows)| std::cmp::Reverse(windows[1].bad));
        targets.truncate(WORST_TARGETS);
        targets
    }
}

fn table(what: &str, series: &BTreeMap<String, Windows>) -> Vec<String> {
    let mut header = format!("{what:<20}");
    for window in WINDOWS {
        header.push_str(&format!(" {:>8}", window.name));
    }
    header.push_str("  budget left (3d)  verdict");
    let rows = series.iter().map(|(name, windows)| {
        let mut row = format!("{name:<20}");
        for count in windows {
            row.push_str(&format!(" {:>8.2}", count.burn_rate()));
        }
        let left = (1.0 - windows[3].burn_rate()) * 100.0;
        row.push_str(&format!(" {left:>16.1} %  {}", verdict(windows)));
        row
    });
    std::iter::once(header).chain(rows).collect()
}

/// What the burn rates call for. Both a short and a long window must burn, so that neither a
/// blip nor what is over already raises an alarm.
pub fn verdict(windows: &Windows) -> &'static str {
    let rate = |index: usize| windows[index].burn_rate();
    if rate(0) > FAST_BURN && rate(1) > FAST_BURN {
        "look at once"
    } else if rate(2) > SLOW_BURN && rate(3) > SLOW_BURN {
        "look today"
    } else {
        "fine"
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
