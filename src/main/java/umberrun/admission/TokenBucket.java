package umberrun.admission;

/**
 * A token bucket that limits the traffic with other front ends. Its unit is the byte, or the packet
 * where it limits the rate of packets. Does no I/O; times are in microseconds.
 */
public final class TokenBucket {
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final double bytesPerSecond;
  private final double capacityBytes;
  private double availableBytes;
  private long refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param bytesPerSecond refill rate
   * @param capacityBytes the most bytes the bucket can hold
   * @param now current time in microseconds
   */
  public TokenBucket(double bytesPerSecond, double capacityBytes, long now) {
    this.bytesPerSecond = bytesPerSecond;
    this.capacityBytes = capacityBytes;
    this.availableBytes = capacityBytes;
    this.refilledAt = now;
  }

  /**
   * Takes bytes from the bucket if it holds enough. A request above the capacity counts as the
   * capacity.
   *
   * @return 0 if the bytes were taken, otherwise the microseconds until enough will be available;
   *     nothing is taken then
   */
  public long take(double bytes, long now) {
    availableBytes =
        Math.min(
            capacityBytes,
            availableBytes + bytesPerSecond * (now - refilledAt) / MICROS_PER_SECOND);
    refilledAt = now;
    double wanted = Math.min(bytes, capacityBytes);
    if (availableBytes < wanted) {
      return (long) Math.ceil((wanted - availableBytes) / bytesPerSecond * MICROS_PER_SECOND);
    }
    availableBytes -= wanted;
    return 0;
  }
}
