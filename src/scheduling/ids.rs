//! Names of machines, and bounds on names that users choose.

use std::num::NonZeroUsize;
use std::sync::Arc;

/// The cloud's name of a machine, shared by all that refer to it.
pub type MachineId = Arc<str>;

/// Classes of jobs of which anything is remembered: users name them as they like.
pub const MAX_CLASSES: NonZeroUsize = NonZeroUsize::new(256).unwrap();
