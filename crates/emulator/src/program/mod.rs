//! The commands of the emulator's command line.

pub mod error;
pub mod files;
pub mod run;
pub mod soak;
