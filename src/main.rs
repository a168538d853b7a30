//! The daemon and its command line: everything of substance lives in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollylanding::cli::main()
}
