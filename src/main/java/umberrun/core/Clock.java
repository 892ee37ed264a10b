package umberrun.core;

/**
 * A clock in microseconds since the Unix epoch that never goes back: the system time at
 * construction, advanced by the monotonic clock.
 */
public final class Clock {
  private final long origin = System.currentTimeMillis() * 1_000;
  private final long start = System.nanoTime();

  /** The current time in Unix microseconds. */
  public long now() {
    return origin + (System.nanoTime() - start) / 1_000;
  }
}
