//! Rows of figures, printed as a table and kept as JSON, with the lines through them.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Serialize;

use super::fit::Line;

/// One measured size.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What was varied.
    pub section: &'static str,
    /// Size that was varied.
    pub size: f64,
    /// Load of the machine, which makes times long but not processor time.
    pub load: f64,
    /// Figures by name.
    pub figures: BTreeMap<&'static str, f64>,
}

/// All rows.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    rows: Vec<Row>,
    lines: BTreeMap<String, Line>,
}

impl Report {
    /// Adds a row and prints it.
    pub fn push(&mut self, row: Row) {
        let figures = row.figures.iter().map(|(name, value)| format!("{name}={value:.3}"));
        let figures = figures.collect::<Vec<_>>().join(" ");
        println!("{} size={} load={:.0} {figures}", row.section, row.size, row.load);
        self.rows.push(row);
    }

    /// Fits and prints a line for each figure of a section.
    pub fn fit(&mut self, section: &'static str) {
        let rows: Vec<_> = self.rows.iter().filter(|row| row.section == section).collect();
        let Some(first) = rows.first() else { return };
        println!("{section}: figure | slope | intercept | residual | points");
        for name in first.figures.keys() {
            let point = |row: &&Row| Some((row.size, *row.figures.get(name)?));
            let points: Vec<_> = rows.iter().filter_map(point).collect();
            let Some(line) = Line::through(&points) else { continue };
            let Line { slope, intercept, residual, points } = line;
            println!("  {name} | {slope:.5} | {intercept:.3} | {residual:.3} | {points}");
            self.lines.insert(format!("{section}/{name}"), line);
        }
    }

    /// Writes everything as JSON.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        std::fs::write(path, serde_json::to_vec_pretty(self)?)
    }
}
