package umberrun.core;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Deferred invocations that wait until they may run. Their number and the size of their bodies are
 * bounded, and so is the number of those that run at once, so that synchronous calls find room
 * however many deferred ones pile up. Free of I/O.
 */
final class DeferredQueue {
  private final int maxWaiting;
  private final long maxBytes;
  private final int maxRunning;
  private final ArrayDeque<Invocation> waiting = new ArrayDeque<>();

  /** Total size of the bodies of those that wait. */
  private long bytes;

  private int running;

  /**
   * @param maxWaiting how many invocations may wait
   * @param maxBytes total size of their bodies in bytes
   * @param maxRunning how many invocations may run at once
   */
  DeferredQueue(int maxWaiting, long maxBytes, int maxRunning) {
    this.maxWaiting = maxWaiting;
    this.maxBytes = maxBytes;
    this.maxRunning = maxRunning;
  }

  /** Whether an invocation may be added. */
  boolean hasRoomFor(Invocation invocation) {
    return waiting.size() < maxWaiting && bytes + invocation.requestBodyBytes() <= maxBytes;
  }

  /** Adds an invocation at the end. */
  void add(Invocation invocation) {
    waiting.add(invocation);
    bytes += invocation.requestBodyBytes();
  }

  /** Whether an invocation waits. */
  boolean contains(Invocation invocation) {
    return waiting.contains(invocation);
  }

  /** Takes out an invocation that is not to run; nothing happens if it does not wait. */
  void remove(Invocation invocation) {
    if (waiting.remove(invocation)) {
      bytes -= invocation.requestBodyBytes();
    }
  }

  /** Takes out the next invocation to run; null if none waits, or enough of them run. */
  Invocation startNext() {
    if (running >= maxRunning || waiting.isEmpty()) {
      return null;
    }
    Invocation next = waiting.peek();
    remove(next);
    running++;
    return next;
  }

  /** Records that an invocation of {@link #startNext} is over. */
  void onRunEnded() {
    running--;
  }

  /** Those that wait, the oldest first. */
  List<Invocation> waiting() {
    return List.copyOf(waiting);
  }
}
