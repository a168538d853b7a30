//! Values in the store that several slices read: they stand below `store` and below the slices that write them.

pub mod leadership;
