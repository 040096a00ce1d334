//! Tests the idle timeouts of the connection pool on a machine that is suspended.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::task;
use marigoldloom_http::client;
use marigoldloom_http::pool::{self, Pool};
use marigoldloom_runtime::clock::{Clock, SystemClock};

/// Time for which the machine was suspended, in seconds.
static SUSPENDED_S: AtomicU64 = AtomicU64::new(0);

fn now() -> Duration {
    SystemClock.steady() + Duration::from_secs(SUSPENDED_S.load(Ordering::SeqCst))
}

/// A connection that is always usable, such as one whose server was lost without a reset.
struct Connection;

impl pool::Reusable for Connection {
    async fn open(
        _address: SocketAddr,
        _settings: &pool::Settings,
        _limit: Duration,
    ) -> Result<Self, client::Error> {
        Ok(Self)
    }

    fn is_usable(&self) -> bool {
        true
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    /// Number of connections that become idle.
    idle: usize,
    suspension_s: u64,
    /// Number of them that are used again.
    reused: usize,
}

/// Guards against connections that are used after a suspension longer than their idle timeout: their
/// servers may have closed them or handed the address to others meanwhile.
#[test]
fn suspension_counts_as_idle_time() {
    let case = |idle, suspension_s, reused| Case {
        idle,
        suspension_s,
        reused,
    };
    let cases = [
        case(1, 0, 1),
        case(3, 0, 3),
        case(1, 5, 1),
        case(3, 5, 1),
        case(1, 30, 0),
        case(3, 30, 0),
    ];
    let settings = pool::Settings {
        idle_timeout: Duration::from_secs(20),
        spare_timeout: Duration::from_secs(2),
        ..pool::Settings::default()
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let limit = Duration::from_secs(1);
    for case in cases {
        let pool: Pool<Connection> = Pool::with_clock(address, settings.clone(), now);
        let lease = || async {
            let mut leases = Vec::new();
            for _ in 0..case.idle {
                leases.push(pool.lease(limit).await.unwrap());
            }
            leases
        };
        let first = task::block_on(lease());
        first.into_iter().for_each(pool::Lease::return_to_pool);
        SUSPENDED_S.fetch_add(case.suspension_s, Ordering::SeqCst);
        let second = task::block_on(lease());
        let reused = second.iter().filter(|l| l.is_reused()).count();
        assert_eq!(reused, case.reused, "{case:?}");
    }
}
