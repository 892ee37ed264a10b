package umberrun.transport;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Start-time fair queueing. Flows that wait are served in the order of their start tags: the
 * virtual time at which a flow came, or the end of its last service if that is later. Flows that
 * always ask get shares of the time in proportion to their weights, and one that asks for less than
 * its share is served next whenever it comes. Does no I/O.
 *
 * @param <T> what a flow stands for
 */
final class FairQueue<T> {
  /**
   * One of those who share the time, with its tags. It belongs to one queue.
   *
   * @param <T> what the flow stands for
   */
  static final class Flow<T> {
    private final T owner;
    private final int weight;
    private long startTag;
    private long finishTag;

    /** Serves flows with equal start tags in the order of their arrival. */
    private long arrival;

    private boolean waiting;

    /**
     * @param weight the flow gets this many times the share of a flow of weight 1
     */
    Flow(T owner, int weight) {
      this.owner = owner;
      this.weight = weight;
    }

    T owner() {
      return owner;
    }

    /** Charges the flow for a service, in units of any kind of cost. */
    void charge(long cost) {
      finishTag += cost / weight;
    }
  }

  private final PriorityQueue<Flow<T>> waiting =
      new PriorityQueue<>(
          Comparator.<Flow<T>>comparingLong(flow -> flow.startTag)
              .thenComparingLong(flow -> flow.arrival));

  private long virtualTime;
  private long arrivals;

  /** Adds a flow, unless it waits already. */
  void add(Flow<T> flow) {
    if (flow.waiting) {
      return;
    }
    flow.waiting = true;
    flow.startTag = Math.max(virtualTime, flow.finishTag);
    flow.arrival = ++arrivals;
    waiting.add(flow);
  }

  /** Removes and returns the flow to be served next; null if none waits. */
  Flow<T> poll() {
    Flow<T> next = waiting.poll();
    if (next != null) {
      next.waiting = false;
      virtualTime = next.startTag;
      // Charges while it waited count from its start.
      next.finishTag = Math.max(next.startTag, next.finishTag);
    }
    return next;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
