//! Guards against an in-memory table, used by other tests, that behaves unlike the platform's table.

mod support;

use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{CommitResult, ReadQuery, RowPage, RowVersion, ScanQuery, TableTransaction};
use support::*;

fn table(keys: &[&str]) -> MemoryTable {
    let mut table = MemoryTable::default();
    for key in keys {
        table.commit(&TableTransaction::new(write_id(1)).put(*key, "{}"));
    }
    table
}

fn keys(page: &RowPage) -> Vec<&str> {
    page.rows.iter().map(|row| &*row.key).collect()
}

#[test]
fn all_or_nothing() {
    let mut table = table(&["a"]);
    let before = table.clone();
    let transaction = TableTransaction::new(write_id(2))
        .put("b", "{}")
        .check("a", RowVersion(1))
        .check("c", RowVersion(4));
    assert_eq!(
        table.commit(&transaction),
        CommitResult::Conflict { key: "c".into() }
    );
    assert_eq!(table, before);
}

/// A row that is deleted and recreated must not match a check of its first version.
#[test]
fn versions_grow() {
    let mut table = table(&["a"]);
    table.commit(&TableTransaction::new(write_id(2)).delete("a").put("b", "{}"));
    table.commit(&TableTransaction::new(write_id(3)).put("a", "{}"));
    assert_eq!(table.get("a").unwrap().version, RowVersion(3));
    assert_eq!(table.get("b").unwrap().version, RowVersion(2));
}

#[test]
fn read_rows() {
    let table = table(&["a", "b", "c"]);
    let query = ReadQuery {
        keys: vec!["c".into(), "x".into(), "a".into(), "c".into()],
    };
    assert_eq!(keys(&table.read(&query)), ["a", "c"]);
}

#[test]
fn scan_pages() {
    let table = table(&["a/1", "b/3", "b/1", "b/2", "b", "c/1"]);
    let mut query = ScanQuery {
        prefix: "b/".into(),
        after: None,
        limit: 2,
    };
    let page = table.scan(&query);
    assert_eq!((keys(&page), page.more), (vec!["b/1", "b/2"], true));
    query.after = Some("b/2".into());
    let page = table.scan(&query);
    assert_eq!((keys(&page), page.more), (vec!["b/3"], false));
}
