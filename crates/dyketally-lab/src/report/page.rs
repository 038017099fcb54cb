//! The page itself.

use std::fmt::Write;

use crate::experiment::{ExperimentResult, Figure};

const HEAD: &str = "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
<title>dyketally: measurements</title>\n<style>\n\
body { font-family: sans-serif; max-width: 960px; margin: 2em auto; }\n\
table { border-collapse: collapse; margin: 1em 0; }\n\
td, th { border: 1px solid #bbb; padding: 4px 10px; text-align: left; }\n\
td.number { text-align: right; }\n.met { color: #176b2c; }\n.missed { color: #a11d1d; }\n\
</style>\n</head>\n<body>\n<h1>dyketally: measurements</h1>\n";

/// One HTML page of results; each with the SVG text of its plot.
pub fn page(results: &[ExperimentResult], plots: &[String]) -> String {
    let mut page = String::from(HEAD);
    for (result, plot) in results.iter().zip(plots) {
        page.push_str(&section(result, plot));
    }
    page.push_str("</body>\n</html>\n");
    page
}

fn section(result: &ExperimentResult, plot: &str) -> String {
    let rows: String = result.figures.iter().map(row).collect();
    let commit = result.commit.as_deref().unwrap_or("not told");
    format!(
        "<h2>{}</h2>\n<p>{}</p>\n<p>Site {}, commit {}, seeds {:?}.</p>\n<table>\n\
         <tr><th>measure</th><th>variant</th><th>median</th><th>least</th><th>most</th>\
         <th>unit</th><th>values</th><th>goal</th></tr>\n{rows}</table>\n{}\n",
        escape(&result.name),
        escape(&result.summary),
        escape(&result.site.name),
        escape(commit),
        result.seeds,
        without_declaration(plot),
    )
}

fn row(figure: &Figure) -> String {
    let mut row = format!(
        "<tr><td>{}</td><td>{}</td>",
        escape(&figure.name),
        escape(&figure.variant)
    );
    for value in [figure.median(), figure.least(), figure.most()] {
        let text = value.map_or(String::from("none"), |value| format!("{value:.3}"));
        // Writing to a string can't fail.
        let _ = write!(row, "<td class=\"number\">{text}</td>");
    }
    let goal = figure.goal.map_or(String::new(), |goal| goal.to_string());
    let class = match figure.is_met() {
        Some(true) => "met",
        Some(false) => "missed",
        None => "",
    };
    let _ = writeln!(
        row,
        "<td>{}</td><td class=\"number\">{}</td><td class=\"{class}\">{goal}</td></tr>",
        escape(&figure.unit),
        figure.values.len(),
    );
    row
}

/// Inside a page, an SVG picture stands without its XML declaration.
fn without_declaration(plot: &str) -> &str {
    plot.find("<svg").map_or("", |start| &plot[start..])
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
