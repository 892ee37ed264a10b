package umberrun.admission;

/**
 * Limits the memory for one purpose: answers that wait to be sent to clients that read slowly, or
 * what was received and is not handled yet. All processes of a front end share the limit. Does no
 * I/O.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private final ConnectionLimits connectionLimits;
  private long usedBytes;

  /**
   * @param maxBytes limit for all processes of this front end together, in bytes
   * @param connectionLimits knows how many processes there are
   */
  public MemoryBudget(long maxBytes, ConnectionLimits connectionLimits) {
    this.maxBytes = maxBytes;
    this.connectionLimits = connectionLimits;
  }

  /** Whether so many more bytes fit in. */
  public boolean hasRoomFor(long bytes) {
    return usedBytes + bytes <= maxBytes / connectionLimits.processes();
  }

  /** Counts bytes as used, whether or not there was room for them. */
  public void charge(long bytes) {
    usedBytes += bytes;
  }

  /** Counts bytes as no longer used. */
  public void release(long bytes) {
    usedBytes -= bytes;
  }
}
