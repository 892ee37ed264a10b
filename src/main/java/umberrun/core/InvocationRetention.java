package umberrun.core;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Decides which completed invocations are kept, within limits on their number and their memory. All
 * that is kept of an invocation is charged: its result, its key and a fixed part. Free of I/O.
 */
final class InvocationRetention {
  private final int maxInvocations;
  private final long maxBytes;

  /** Time from the end of an invocation for which its key must be kept, in microseconds. */
  private final long dedupWindow;

  /** Completed invocations, the oldest first. */
  private final Set<Invocation> completed = new LinkedHashSet<>();

  /** Those of them that still have the body of their result, the oldest first. */
  private final Set<Invocation> withResult = new LinkedHashSet<>();

  private long bytes;

  /**
   * @param maxInvocations how many completed invocations are kept
   * @param maxBytes what they may take in all, in bytes
   * @param dedupWindow for how long after its end an invocation keeps its key, in microseconds
   */
  InvocationRetention(int maxInvocations, long maxBytes, long dedupWindow) {
    this.maxInvocations = maxInvocations;
    this.maxBytes = maxBytes;
    this.dedupWindow = dedupWindow;
  }

  /** How many invocations are kept. */
  int size() {
    return completed.size();
  }

  /** What the invocations that are kept take, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Whether another invocation can be kept without evicting one. */
  boolean hasRoom() {
    return completed.size() < maxInvocations && bytes < maxBytes;
  }

  /**
   * The invocation to evict for another one, or null if there is none: the oldest must keep its key
   * within the deduplication window, as a repeat would otherwise be sent to a worker.
   */
  Invocation evictable(long now) {
    if (completed.isEmpty()) {
      return null;
    }
    Invocation oldest = completed.iterator().next();
    return mustKeepKey(oldest, now) ? null : oldest;
  }

  /** Whether a repeat under the key of this invocation must still be recognized as one. */
  boolean mustKeepKey(Invocation invocation, long now) {
    return invocation.mayHaveRun() && now < keyKeptUntil(invocation);
  }

  /** Until when an invocation that may have run keeps its key, in microseconds. */
  long keyKeptUntil(Invocation invocation) {
    return invocation.endedAt + dedupWindow;
  }

  /**
   * Keeps an invocation that has just ended. Invocations that ran at the same time may end with
   * more than there is room for; then the oldest results are given up, and their keys are kept.
   */
  void add(Invocation invocation) {
    completed.add(invocation);
    bytes += invocation.memoryBytes();
    if (invocation.resultBytes() > 0) {
      withResult.add(invocation);
    }
    Iterator<Invocation> oldest = withResult.iterator();
    while (bytes > maxBytes && oldest.hasNext()) {
      Invocation dropped = oldest.next();
      bytes -= dropped.resultBytes();
      dropped.dropResult();
      oldest.remove();
    }
  }

  /** Forgets an invocation; false if it is not kept. */
  boolean remove(Invocation invocation) {
    if (!completed.remove(invocation)) {
      return false;
    }
    withResult.remove(invocation);
    bytes -= invocation.memoryBytes();
    return true;
  }
}
