//! Results as a table or JSON.

use std::io::{self, Write};

use serde::Serialize;

/// Results of one measurement.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) runs: u64,
    pub(crate) columns: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

/// Writes reports as JSON or as Markdown tables.
pub(crate) fn write<Out>(reports: &[Report], is_json: bool, out: &mut Out) -> io::Result<()>
where
    Out: Write,
{
    if is_json {
        serde_json::to_writer_pretty(&mut *out, reports)?;
        return writeln!(out);
    }
    for report in reports {
        writeln!(out, "{}: seed {}, {} runs\n", report.name, report.seed, report.runs)?;
        write_line(&report.columns, out)?;
        write_line(&vec!["---".to_owned(); report.columns.len()], out)?;
        for row in &report.rows {
            write_line(row, out)?;
        }
    }
    Ok(())
}

fn write_line<Out>(cells: &[String], out: &mut Out) -> io::Result<()>
where
    Out: Write,
{
    writeln!(out, "| {} |", cells.join(" | "))
}
