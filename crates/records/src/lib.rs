//! Rows of the platform's table and the conditional transactions that change them.

mod table;

pub use table::{
    CommitResult, ReadQuery, RowCheck, RowPage, RowVersion, RowWrite, ScanQuery, TableAnswer, TableRow,
    TableTransaction,
};
