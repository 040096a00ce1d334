//! Size of futures with a timeout.

use std::future;
use std::mem;
use std::time::Duration;

use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime;

/// Guards against a stack overflow: without boxing, nested timeouts make the futures of a
/// request 100 KB large, and debug builds overflow the executor's 2 MB stacks.
#[test]
fn nested_timeouts_do_not_grow_the_future() {
    let (rt, limit) = (AsyncStd::new(), Duration::from_secs(1));
    let large = future::ready([0_u8; 10_000]);
    let once = runtime::timeout(&rt, limit, large);
    let single = mem::size_of_val(&once);
    let twice = runtime::timeout(&rt, limit, once);
    let thrice = runtime::timeout(&rt, limit, twice);
    assert!(single < 200, "{single} bytes");
    assert_eq!(mem::size_of_val(&thrice), single);
}
