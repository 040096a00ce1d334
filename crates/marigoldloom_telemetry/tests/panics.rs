//! Report of panics in the log.

use std::io::{self, Write};
use std::panic;
use std::sync::{Arc, Mutex, PoisonError};

use marigoldloom_telemetry::log;
use tracing::subscriber;

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a task that ends without a line in the log.
#[test]
fn panics_are_logged() {
    let buffer = Buffer::default();
    let writer = buffer.clone();
    let lines = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(move || writer.clone())
        .finish();
    log::report_panics();
    let caught = subscriber::with_default(lines, || panic::catch_unwind(|| panic!("a fault")));
    assert!(caught.is_err());
    let text = buffer.0.lock().unwrap().clone();
    let line: serde_json::Value = serde_json::from_slice(&text).expect("one line");
    let location = line["location"].as_str().unwrap_or_default();
    assert_eq!(
        (&line["level"], &line["panic"]),
        (&"ERROR".into(), &"a fault".into())
    );
    assert!(location.contains("panics.rs"), "{line}");
}
