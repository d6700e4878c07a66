//! Output of commands, as aligned columns or JSON.

use {serde::Serialize, std::io::Write};

/// Prints a value as JSON.
pub fn json<T: Serialize>(value: &T) {
    out(&serde_json::to_string(value).unwrap_or_default());
}

/// Prints rows in aligned columns, each as wide as its widest cell.
pub fn columns<const N: usize>(header: [&str; N], rows: &[[String; N]]) {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    line(&header.map(str::to_owned), &widths);
    for row in rows {
        line(row, &widths);
    }
}

fn line(cells: &[String], widths: &[usize]) {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        text.push_str(&format!("{cell:<width$}  "));
    }
    out(text.trim_end());
}

/// Prints a line. Exits the process with code 0 if standard output is closed, as by `head`.
pub fn out(text: &str) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

/// Formats an amount in thousandths as a number of units.
pub fn thousandths(amount: u32) -> String {
    (f64::from(amount) / 1000.0).to_string()
}
