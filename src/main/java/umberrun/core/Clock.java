package umberrun.core;

/**
 * A clock in microseconds since the Unix epoch that never goes back: the system time at
 * construction, advanced by the monotonic clock.
 *
 * <p>Two processes whose clocks were constructed before and after the system time was stepped
 * differ by that step. What one process records for another is therefore converted to machine time:
 * the monotonic clock that all processes of a machine share.
 */
public final class Clock {
  private final long origin;
  private final long start = System.nanoTime() / 1_000;

  /** Creates a clock that agrees with the system time now. */
  public Clock() {
    this(System.currentTimeMillis() * 1_000);
  }

  /**
   * @param origin the Unix microsecond that the clock shows now
   */
  public Clock(long origin) {
    this.origin = origin;
  }

  /** The current time in Unix microseconds. */
  public long now() {
    return fromMachineTime(System.nanoTime() / 1_000);
  }

  /** A time of this clock in microseconds of the machine's monotonic clock. */
  public long toMachineTime(long time) {
    return time - origin + start;
  }

  /** A time of the machine's monotonic clock, in microseconds, as a time of this clock. */
  public long fromMachineTime(long machineTime) {
    return machineTime - start + origin;
  }
}
