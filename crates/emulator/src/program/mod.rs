//! The commands of the emulator's program.

pub mod error;
pub mod files;
pub mod run;
pub mod soak;
