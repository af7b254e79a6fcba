//! Output: an aligned table, or one JSON object a line.

use serde::Serialize;

/// One line of output.
pub trait Row: Serialize {
    /// The table's column heads.
    const HEADS: &'static [&'static str];

    /// The line's cells, as many as there are heads.
    fn cells(&self) -> Vec<String>;
}

/// Writes rows.
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
    print!("{}", table(rows));
}

fn table<R>(rows: &[R]) -> String
where
    R: Row,
{
    let heads = R::HEADS.iter().map(|head| (*head).to_owned()).collect();
    let mut lines: Vec<Vec<String>> = vec![heads];
    lines.extend(rows.iter().map(Row::cells));
    let width = |i: usize| {
        let cells = lines.iter().filter_map(|line| line.get(i));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..R::HEADS.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let padded = line.iter().zip(&widths);
        let padded: Vec<String> = padded.map(|(cell, w)| format!("{cell:w$}")).collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
