//! Regenerates the committed tonic code from `peer.proto`.
//!
//! Run `cargo run -p marigoldloom_codegen` after a change of the protocol. The generated code is
//! committed so that a build needs no protobuf compiler.

use std::io;
use std::path;
use std::process;

use derive_more::derive;

/// Directory of the crate that contains the protocol and the generated code.
const PEERS_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../marigoldloom_peers");

#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Error {
    #[display("peer.proto: {_0}")]
    Proto(protox::Error),
    #[display("can't write the generated code: {_0}")]
    Write(io::Error),
}

fn main() -> process::ExitCode {
    match generate(path::Path::new(PEERS_DIR)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            tracing_subscriber::fmt().with_writer(io::stderr).init();
            tracing::error!("{e}");
            process::ExitCode::FAILURE
        }
    }
}

fn generate(peers_dir: &path::Path) -> Result<(), Error> {
    let proto = peers_dir.join("proto");
    let descriptors = protox::compile([proto.join("peer.proto")], [proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(peers_dir.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
