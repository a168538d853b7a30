//! Stored values that several modules read. This module is below `store` and the modules that write the values.

pub mod leadership;
