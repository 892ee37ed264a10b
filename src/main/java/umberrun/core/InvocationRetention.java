package umberrun.core;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides which completed invocations are kept, within limits on their number and their memory. All
 * that is kept of an invocation is charged: its result, its key and a fixed part. Where room is
 * wanted, the owner that takes the most gives up its oldest, so that one owner's keys do not push
 * out those of the others. Free of I/O.
 */
final class InvocationRetention {
  /** What is kept for one owner. */
  private static final class Share {
    /** Completed invocations, the oldest first. */
    final Set<Invocation> completed = new LinkedHashSet<>();

    /** Those of them that still have the body of their result, the oldest first. */
    final Set<Invocation> withResult = new LinkedHashSet<>();

    long bytes;
  }

  private final int maxInvocations;
  private final long maxBytes;

  /** Time from the end of an invocation for which its key must be kept, in microseconds. */
  private final long dedupWindow;

  /** The shares by owner; in the order of their names, so that ties are decided alike. */
  private final Map<String, Share> shares = new TreeMap<>();

  private int size;
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
    return size;
  }

  /** What the invocations that are kept take, in bytes. */
  long bytes() {
    return bytes;
  }

  /** Whether another invocation can be kept without evicting one. */
  boolean hasRoom() {
    return size < maxInvocations && bytes < maxBytes;
  }

  /**
   * The invocation to evict for another one, or null if there is none: the oldest must keep its key
   * within the deduplication window, as a repeat would otherwise be sent to a worker.
   */
  Invocation evictable(long now) {
    boolean tooMany = size >= maxInvocations;
    Share largest =
        shares.values().stream()
            .max(Comparator.comparingLong(share -> tooMany ? share.completed.size() : share.bytes))
            .orElse(null);
    if (largest == null) {
      return null;
    }
    Invocation oldest = largest.completed.iterator().next();
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
    Share share = shares.computeIfAbsent(invocation.owner(), owner -> new Share());
    share.completed.add(invocation);
    size++;
    charge(share, invocation.memoryBytes());
    if (invocation.resultBytes() > 0) {
      share.withResult.add(invocation);
    }
    while (bytes > maxBytes && dropOldestResult()) {
      // Until they fit, or no results are left.
    }
  }

  private void charge(Share share, long change) {
    share.bytes += change;
    bytes += change;
  }

  /** Gives up the oldest result of the largest share; false if there is no result. */
  private boolean dropOldestResult() {
    Share largest =
        shares.values().stream()
            .filter(share -> !share.withResult.isEmpty())
            .max(Comparator.comparingLong(share -> share.bytes))
            .orElse(null);
    if (largest == null) {
      return false;
    }
    Invocation oldest = largest.withResult.iterator().next();
    largest.withResult.remove(oldest);
    charge(largest, -oldest.resultBytes());
    oldest.dropResult();
    return true;
  }

  /** Forgets an invocation; false if it is not kept. */
  boolean remove(Invocation invocation) {
    Share share = shares.get(invocation.owner());
    if (share == null || !share.completed.remove(invocation)) {
      return false;
    }
    share.withResult.remove(invocation);
    size--;
    charge(share, -invocation.memoryBytes());
    if (share.completed.isEmpty()) {
      shares.remove(invocation.owner());
    }
    return true;
  }
}
