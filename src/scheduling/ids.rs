//! Machine ids, and the limit on classes that users choose.

use std::num::NonZeroUsize;
use std::sync::Arc;

/// The cloud's name of a machine, shared by reference count.
pub type MachineId = Arc<str>;

/// Maximum number of job classes for which state is kept, since users choose class names freely.
pub const MAX_CLASSES: NonZeroUsize = NonZeroUsize::new(256).unwrap();
