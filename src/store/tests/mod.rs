//! Tests of transactions of several modules together.

mod late_transactions;
