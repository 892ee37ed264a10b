package umberrun.admission;

/**
 * Limits the memory for answers that wait to be sent to clients that read slowly, for the servers
 * of both protocols together. All processes of a front end share the limit. Does no I/O.
 */
public final class AnswerBudget {
  private final long maxBytes;
  private final ConnectionLimits connectionLimits;
  private long queuedBytes;

  /**
   * @param maxBytes limit for all processes of this front end together, in bytes
   * @param connectionLimits knows how many processes there are
   */
  public AnswerBudget(long maxBytes, ConnectionLimits connectionLimits) {
    this.maxBytes = maxBytes;
    this.connectionLimits = connectionLimits;
  }

  /** Whether an answer of so many bytes may be queued. */
  public boolean hasRoomFor(int bytes) {
    return queuedBytes + bytes <= maxBytes / connectionLimits.processes();
  }

  /** Counts an answer that is about to be written; short ones are written without asking. */
  public void charge(int bytes) {
    queuedBytes += bytes;
  }

  /** Counts an answer as sent, or as given up with its connection. */
  public void release(int bytes) {
    queuedBytes -= bytes;
  }
}
