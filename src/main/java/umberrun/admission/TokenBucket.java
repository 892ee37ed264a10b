package umberrun.admission;

/** A token bucket of bytes: what answering others may cost. Free of I/O; times in microseconds. */
public final class TokenBucket {
  private static final double SECOND = 1_000_000;

  private final double perSecond;
  private final double most;
  private double left;
  private long at;

  public TokenBucket(double perSecond, double most, long now) {
    this.perSecond = perSecond;
    this.most = most;
    this.left = most;
    this.at = now;
  }

  /**
   * Takes so many bytes if they are there; else nothing, and how many microseconds it is until they
   * are.
   */
  public long take(double bytes, long now) {
    left = Math.min(most, left + perSecond * (now - at) / SECOND);
    at = now;
    double wanted = Math.min(bytes, most);
    if (left < wanted) {
      return (long) Math.ceil((wanted - left) / perSecond * SECOND);
    }
    left -= wanted;
    return 0;
  }
}
