//! Tests of transactions that come from several modules.

mod late_transactions;
