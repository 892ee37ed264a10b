package umberrun.transport;

import java.util.concurrent.TimeUnit;

/**
 * How many bytes a connection may read in one turn: so many that handling them takes about the
 * target time, as the turns before have shown. What the bytes mean does not matter. Does no I/O.
 */
final class ReadQuantum {
  static final int MIN_BYTES = 512;

  /** Bounds what one turn can bring, and so what a connection can have in hand after it. */
  static final int MAX_BYTES = 16 << 10;

  private static final int INITIAL_BYTES = 2 << 10;
  private static final long TARGET_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

  private int bytes = INITIAL_BYTES;

  /** The number of bytes that may be read in the next turn. */
  int bytes() {
    return bytes;
  }

  /**
   * Adapts the quantum after a turn.
   *
   * @param filled whether as many bytes were read as were allowed
   * @param nanos how long the turn and the work that it led to took
   */
  void onTurnEnded(boolean filled, long nanos) {
    if (nanos > TARGET_NANOS) {
      bytes = Math.max(MIN_BYTES, bytes / 2);
    } else if (filled && nanos < TARGET_NANOS / 2) {
      bytes = Math.min(MAX_BYTES, 2 * bytes);
    }
  }
}
