//! Output of rows as an aligned table or as JSON lines.

use serde::Serialize;

/// Row of output.
pub trait Row: Serialize {
    /// Column names.
    const HEADERS: &'static [&'static str];

    /// Returns the cells of the row, one for each column.
    fn cells(&self) -> Vec<String>;
}

/// Prints rows in the chosen format.
pub fn print<R>(json: bool, rows: &[R])
where
    R: Row,
{
    if json {
        for row in rows {
            println!("{}", serde_json::to_string(row).unwrap_or_default());
        }
        return;
    }
    print!("{}", format_table(rows));
}

/// Formats rows in columns that are as wide as their widest cell.
fn format_table<R>(rows: &[R]) -> String
where
    R: Row,
{
    let headers = R::HEADERS
        .iter()
        .map(|header| (*header).to_owned())
        .collect();
    let mut lines: Vec<Vec<String>> = vec![headers];
    lines.extend(rows.iter().map(Row::cells));
    let width = |i: usize| {
        let cells = lines.iter().filter_map(|line| line.get(i));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..R::HEADERS.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let padded = line.iter().zip(&widths);
        let padded: Vec<String> = padded.map(|(cell, w)| format!("{cell:w$}")).collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
