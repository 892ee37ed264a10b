package umberrun.admission;

/**
 * Limits the memory for what was received and is not handled yet: parts of messages whose rest is
 * missing, and whole requests that are held. All processes of a front end share the limit. Does no
 * I/O.
 */
public final class InputBudget {
  private final long maxBytes;
  private final ConnectionLimits connectionLimits;
  private long usedBytes;

  /**
   * @param maxBytes limit for all processes of this front end together, in bytes
   * @param connectionLimits knows how many processes there are
   */
  public InputBudget(long maxBytes, ConnectionLimits connectionLimits) {
    this.maxBytes = maxBytes;
    this.connectionLimits = connectionLimits;
  }

  /** Whether so many more bytes fit in. */
  public boolean hasRoomFor(long bytes) {
    return usedBytes + bytes <= maxBytes / connectionLimits.processes();
  }

  /** Changes what is used; negative where memory is released. */
  public void charge(long bytes) {
    usedBytes += bytes;
  }
}
