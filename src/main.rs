//! Entry point of the daemon and its command line; the library contains the implementation.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollylanding::cli::main()
}
