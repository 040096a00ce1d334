//! Tests the layout of tables.

use marigoldloom_cli::table::Table;

/// Guards against text from other programs that breaks rows or is interpreted by the terminal.
#[test]
fn control_characters_are_escaped_and_columns_aligned() {
    let cases = [
        ("plain", "plain"),
        ("é", "é"),
        ("two\nlines", "two\\nlines"),
        ("\u{1b}[2Jred", "\\u{1b}[2Jred"),
    ];
    for (text, shown) in cases {
        let mut table = Table::new(["reason", "end"]);
        table.add_row([text.to_owned(), "x".to_owned()]);
        let rows: Vec<String> = table.to_string().lines().map(str::to_owned).collect();
        assert_eq!(rows.len(), 2);
        let cell = rows[1].trim_end_matches('x').trim_end();
        assert_eq!(cell, shown);
        assert_eq!(rows[0].find("end"), rows[1].chars().position(|c| c == 'x'));
    }
}
