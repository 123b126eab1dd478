//! Regenerates the committed Rust code from the `.proto` files; to be run manually after changing one of them.

use std::{error::Error, fs, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files =
        protox::compile(["store.proto", "peer.proto", "entry.proto"], [root.join("proto")])?;
    let generated = root.join("src/generated");
    fs::create_dir_all(&generated)?;
    tonic_prost_build::configure().out_dir(generated).compile_fds(files)?;
    Ok(())
}
