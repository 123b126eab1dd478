//! Output of results as Markdown tables or JSON.

use std::io::{self, Write};

use serde::Serialize;

/// Result table of one measurement, with the seed and the number of runs behind it.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) runs: u64,
    pub(crate) columns: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

/// Writes reports as JSON or as Markdown tables.
pub(crate) fn write_reports<Out>(reports: &[Report], is_json: bool, out: &mut Out) -> io::Result<()>
where
    Out: Write,
{
    if is_json {
        serde_json::to_writer_pretty(&mut *out, reports)?;
        return writeln!(out);
    }
    for report in reports {
        writeln!(out, "{}: seed {}, {} runs\n", report.name, report.seed, report.runs)?;
        write_row(&report.columns, out)?;
        write_row(&vec!["---".to_owned(); report.columns.len()], out)?;
        for row in &report.rows {
            write_row(row, out)?;
        }
    }
    Ok(())
}

fn write_row<Out>(cells: &[String], out: &mut Out) -> io::Result<()>
where
    Out: Write,
{
    writeln!(out, "| {} |", cells.join(" | "))
}
