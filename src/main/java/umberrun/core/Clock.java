package umberrun.core;

/**
 * Microseconds since the Unix epoch that never go back: the system's time at the start, then a
 * steady clock.
 */
public final class Clock {
  private final long origin = System.currentTimeMillis() * 1_000;
  private final long start = System.nanoTime();

  public long now() {
    return origin + (System.nanoTime() - start) / 1_000;
  }
}
