//! Header values of the upstream protocol.

use marigoldloom_records::service;
use marigoldloom_upstream::{message, protocol};
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against snapshots that change when they are formatted and parsed, including
    /// versions that contain the separator.
    fn snapshots_round_trip(version: String, epoch: u64) -> bool {
        let snapshot = service::Snapshot { version, epoch };
        let text = protocol::format_snapshot(&snapshot);
        protocol::parse_snapshot(&text) == Some(snapshot)
    }

    /// Guards against subquery ids that change when they are formatted and parsed.
    fn subquery_ids_round_trip(high: u64, low: u64) -> bool {
        let id = message::SubqueryId(u128::from(high) << 64 | u128::from(low));
        let text = id.to_string();
        text.len() == 32 && protocol::parse_subquery_id(&text) == Some(id)
    }
}
